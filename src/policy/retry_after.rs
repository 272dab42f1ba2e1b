//! Retry-After: received from destinations, and sent to clients.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{CircuitScope, DestinationId, EndpointId};
use crate::state::CircuitBreaker;

impl DeliveryPolicy {
    /// Records a Retry-After from a response that rejected no message.
    pub fn retry_after_received(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        let known = self.endpoints.get(endpoint);
        if let Some(scope) = known.map(|known| self.endpoints.scope_of(endpoint, known)) {
            self.apply_retry_after(now, scope, wait);
        }
    }

    /// Records the rest of a Retry-After that an endpoint set before the endpoint list named it: a request to the
    /// former endpoint at its address had reached it.
    pub fn retry_after_inherited(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        let known = self.endpoints.get(endpoint);
        if let Some(scope) = known.map(|known| self.endpoints.scope_of(endpoint, known)) {
            // No request was sent to the endpoint yet, so it may have no circuit.
            self.circuits.get_or_insert(scope);
            self.apply_retry_after(now, scope, wait);
        }
    }

    /// Returns the endpoints to which a Retry-After of this endpoint applies.
    #[must_use]
    pub fn endpoints_sharing_circuit(&self, id: EndpointId) -> Vec<EndpointId> {
        self.endpoints.endpoints_sharing_circuit(id)
    }

    /// Records a Retry-After for a circuit. A request with several messages may receive one for each message
    /// or one for all.
    pub(super) fn apply_retry_after(&mut self, now: Duration, scope: CircuitScope, wait: Duration) {
        if let Some(destination) = self.endpoints.destination_of(scope) {
            self.remove_stale_records(destination, now);
        }
        self.wake_destination_of(scope);
        // A long Retry-After opens the circuit, so that the wait ends with one trial. All queued messages
        // together would overload a destination that is warming up.
        let min_wait_to_open = if self.parameters.has_sparse_traffic {
            self.parameters.overload_window
        } else {
            self.parameters.recovery_delay
        };
        let Some(circuit) = self.circuits.get_mut(scope) else { return };
        circuit.extend_retry_after(now + wait);
        circuit.set_last_retry_after(wait);
        if wait >= min_wait_to_open {
            circuit.reopen(now, wait);
        }
    }

    /// Returns the Retry-After for a client: the expected time until the destination accepts messages again.
    /// `None` if rejections carry no Retry-After.
    pub(super) fn retry_after_for_client(
        &self,
        destination: DestinationId,
        now: Duration,
    ) -> Option<Duration> {
        let max_retry_after = self.parameters.max_retry_after?;
        let admits_from = |circuit: &CircuitBreaker| {
            circuit.retry_after_until().max(circuit.open_until().unwrap_or_default())
        };
        let available_at = self.circuits_of(destination).map(admits_from).min().unwrap_or_default();
        Some(available_at.saturating_sub(now).max(self.parameters.recovery_delay).min(max_retry_after))
    }

    /// Returns the time at which the first Retry-After of the destination's endpoints ends; zero if there is
    /// none.
    pub(super) fn earliest_retry_after_end(&self, destination: DestinationId) -> Duration {
        self.circuits_of(destination).map(|circuit| circuit.retry_after_until()).min().unwrap_or_default()
    }
}
