//! Removal of records that no longer affect any decision, which limits memory use.

use std::time::Duration;

use super::circuit_breaker::RECORD_EXPIRY_MARGIN;
use super::DeliveryPolicy;
use crate::interface::{CircuitScope, DestinationId, EndpointId};

/// Time for which an unused circuit is kept, as a multiple of the longest deadline.
const IDLE_RETENTION_FACTOR: u32 = 10;
/// Maximum number of endpoints whose records one run removes, so that the removal of many endpoints does
/// not delay the run.
const MAX_ENDPOINTS_REMOVED_PER_RUN: usize = 1_000;

impl DeliveryPolicy {
    /// Returns the endpoints whose records were removed since the last call. The host can remove its own
    /// records of these endpoints.
    #[must_use]
    pub fn take_removed_endpoints(&mut self) -> Vec<EndpointId> {
        self.endpoints.take_deleted_endpoints()
    }

    /// Removes the records of removed endpoints, idle circuits and idle ordering keys.
    pub(super) fn remove_expired_records(&mut self, now: Duration) {
        self.remove_expired_endpoints(now, self.parameters.longest_deadline + RECORD_EXPIRY_MARGIN);
        self.remove_idle_circuits(now, self.parameters.longest_deadline * IDLE_RETENTION_FACTOR);
        self.ordering_queues.remove_idle(now);
    }

    /// Removes the records of endpoints that left the list at least `retention` ago, with their circuits, and
    /// destinations without endpoints and messages.
    ///
    /// Limits memory use where endpoints are replaced continuously.
    fn remove_expired_endpoints(&mut self, now: Duration, retention: Duration) {
        for id in self.endpoints.expired_endpoints(now, retention, MAX_ENDPOINTS_REMOVED_PER_RUN) {
            let Some(destination) = self.endpoints.delete_endpoint(id) else { continue };
            self.circuits.remove(CircuitScope::Endpoint(id));
            self.queue.mark_changed(destination);
            if self.endpoints.destination_has_no_endpoints(destination)
                && self.queue.destination_queue(destination).is_none()
            {
                self.endpoints.delete_destination(destination);
                self.circuits.remove(CircuitScope::Destination(destination));
            }
        }
    }

    /// Removes circuits that were unused for `retention`, and the usage records of their endpoints.
    ///
    /// Limits memory use in a large fleet, where a forwarder seldom sends to most destinations.
    fn remove_idle_circuits(&mut self, now: Duration, retention: Duration) {
        self.circuits.schedule_first_removal_checks(now + retention);
        while let Some(scope) = self.circuits.take_due_removal_check(now) {
            let Some(circuit) = self.circuits.get(scope) else { continue };
            let in_use_until = circuit.in_use_until();
            let is_used = in_use_until + retention > now || !circuit.in_flight().is_empty();
            if is_used || self.has_queued(scope) {
                self.circuits.schedule_removal_check(scope, now.max(in_use_until) + retention);
                continue;
            }
            self.circuits.remove(scope);
            for id in self.endpoints.endpoints_in_scope(scope) {
                self.endpoints.remove_idle_usage(id);
            }
        }
    }

    /// Returns whether messages are queued for the destination of a circuit.
    fn has_queued(&self, scope: CircuitScope) -> bool {
        self.endpoints
            .destination_of(scope)
            .is_some_and(|destination| self.queue.destination_queue(destination).is_some())
    }

    /// Removes outdated parts of a destination's records before these are read.
    pub(super) fn remove_stale_records(&mut self, destination: DestinationId, now: Duration) {
        let load_retention = self.parameters.overload_window;
        let fault_retention = self.parameters.overload_window + 2 * self.parameters.slow_start_duration;
        let endpoints = self.endpoints.destination(destination).map(|known| known.endpoints().clone());
        for id in endpoints.unwrap_or_default() {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if let Some(circuit) = self.circuits.get_mut(self.endpoints.scope_of(id, endpoint)) {
                circuit.reset_if_outdated(now, &self.parameters);
            }
            if let Some(usage) = self.endpoints.existing_usage_mut(id) {
                usage.remove_outdated_load_and_fault(now, load_retention, fault_retention);
            }
        }
    }
}
