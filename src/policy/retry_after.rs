//! Retry-After: what destinations ask for, and what clients are given.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{CircuitScope, DestinationId, EndpointId};
use crate::state::CircuitBreaker;

impl DeliveryPolicy {
    /// A response that rejected no message carried a Retry-After.
    pub fn retry_after_received(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        let known = self.endpoints.get(endpoint);
        if let Some(scope) = known.map(|known| self.endpoints.scope_of(endpoint, known)) {
            self.apply_retry_after(now, scope, wait);
        }
    }

    /// The endpoints that a Retry-After of this one holds for.
    #[must_use]
    pub fn endpoints_sharing_circuit(&self, id: EndpointId) -> Vec<EndpointId> {
        self.endpoints.endpoints_sharing_circuit(id)
    }

    /// Rule 6. Each message of a request may be the one that is asked to wait, or its response speaks for them
    /// all.
    pub(super) fn apply_retry_after(&mut self, now: Duration, scope: CircuitScope, wait: Duration) {
        if let Some(destination) = self.endpoints.destination_of(scope) {
            self.forget_stale_records(destination, now);
        }
        self.wake_scope(scope);
        // Symptom: all that was queued goes at once when a long wait ends, to a destination that was down and is
        // cold. A wait as long as the recovery delay opens the circuit, and ends with a trial.
        let opens_from = if self.parameters.has_sparse_traffic {
            self.parameters.overload_window
        } else {
            self.parameters.recovery_delay
        };
        let Some(circuit) = self.circuits.get_mut(scope) else { return };
        circuit.extend_retry_after(now + wait);
        circuit.set_last_retry_after(wait);
        if wait >= opens_from {
            circuit.reopen(now, wait);
        }
    }

    /// The Retry-After for a client: when a destination may take a message again, as far as that is known.
    pub(super) fn retry_after_for_client(
        &self,
        destination: DestinationId,
        now: Duration,
    ) -> Option<Duration> {
        let most = self.parameters.max_retry_after?;
        let closed_at = |circuit: &CircuitBreaker| {
            circuit.retry_after_until().max(circuit.open_until().unwrap_or_default())
        };
        let available_at = self.circuits_of(destination).map(closed_at).min().unwrap_or_default();
        Some(available_at.saturating_sub(now).max(self.parameters.recovery_delay).min(most))
    }

    /// When the first of a destination's endpoints may be called again, as far as Retry-After goes.
    pub(super) fn retry_after_ends(&self, destination: DestinationId) -> Duration {
        self.circuits_of(destination).map(|circuit| circuit.retry_after_until()).min().unwrap_or_default()
    }
}
