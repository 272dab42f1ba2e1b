//! When records are forgotten: once no decision can depend on them any more, they only fill the memory.

use std::time::Duration;

use super::circuit_breaker::RECORD_MARGIN;
use super::DeliveryPolicy;
use crate::interface::{CircuitScope, DestinationId, EndpointId};

/// A circuit that was not used for so many times the longest deadline is forgotten.
const IDLE_RETENTION_FACTOR: u32 = 10;
/// Removed endpoints that one run forgets at most, so that a list which drops many does not hold the run up.
const MAX_FORGOTTEN_PER_RUN: usize = 1_000;

impl DeliveryPolicy {
    /// Endpoints that were forgotten since the last call; a host need not know them any longer.
    #[must_use]
    pub fn take_removed_endpoints(&mut self) -> Vec<EndpointId> {
        self.endpoints.take_forgotten()
    }

    /// Forgets removed endpoints, idle circuits and idle ordering keys.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.remove_endpoints(now, self.parameters.longest_deadline + RECORD_MARGIN);
        self.remove_idle_circuits(now, self.parameters.longest_deadline * IDLE_RETENTION_FACTOR);
        self.ordering.remove_idle(now);
    }

    /// Forgets endpoints that were removed that long ago, with their circuits, and destinations that have none
    /// left and no message: where endpoints are replaced all day, these would fill the memory.
    fn remove_endpoints(&mut self, now: Duration, keep: Duration) {
        for id in self.endpoints.expired_endpoints(now, keep, MAX_FORGOTTEN_PER_RUN) {
            let Some(destination) = self.endpoints.forget_endpoint(id) else { continue };
            self.circuits.remove(CircuitScope::Endpoint(id));
            self.queue.mark_changed(destination);
            if self.endpoints.is_without_endpoints(destination)
                && self.queue.destination_queue(destination).is_none()
            {
                self.endpoints.forget_destination(destination);
                self.circuits.remove(CircuitScope::Destination(destination));
            }
        }
    }

    /// Forgets circuits, and what is known of their endpoints, that were not used for long: a forwarder of a
    /// large fleet sends to most destinations seldom, and would otherwise keep a record of each.
    fn remove_idle_circuits(&mut self, now: Duration, keep: Duration) {
        self.circuits.schedule_first_reviews(now + keep);
        while let Some(scope) = self.circuits.take_due_review(now) {
            let Some(circuit) = self.circuits.get(scope) else { continue };
            let in_use_until = circuit.in_use_until();
            let is_used = in_use_until + keep > now || !circuit.in_flight().is_empty();
            if is_used || self.has_queued(scope) {
                self.circuits.schedule_review(scope, now.max(in_use_until) + keep);
                continue;
            }
            self.circuits.remove(scope);
            for id in self.endpoints.endpoints_in_scope(scope) {
                self.endpoints.forget_idle_usage(id);
            }
        }
    }

    /// Whether messages are queued for the destination of a circuit.
    fn has_queued(&self, scope: CircuitScope) -> bool {
        self.endpoints
            .destination_of(scope)
            .is_some_and(|destination| self.queue.destination_queue(destination).is_some())
    }

    /// Drops what is too old to matter of a destination's records, before they are read.
    pub(super) fn forget_stale_records(&mut self, destination: DestinationId, now: Duration) {
        let load_for = self.parameters.overload_window;
        let fault_for = self.parameters.overload_window + 2 * self.parameters.slow_start_duration;
        let endpoints = self.endpoints.destination(destination).map(|known| known.endpoints().clone());
        for id in endpoints.unwrap_or_default() {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if let Some(circuit) = self.circuits.get_mut(self.endpoints.scope_of(id, endpoint)) {
                circuit.expire_if_stale(now, &self.parameters);
            }
            if let Some(usage) = self.endpoints.existing_usage_mut(id) {
                usage.forget_stale(now, load_for, fault_for);
            }
        }
    }
}
