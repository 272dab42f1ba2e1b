//! Applies the `Retry-After` of endpoints, also where an address passes from one endpoint to another.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::EndpointId;
use reeddock_protocol::{AttemptResult, ListEntry};

use super::commands::AttemptKey;
use super::EventLoop;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

impl EventLoop {
    /// Handles a `Retry-After` header from an endpoint that accepted messages.
    pub(super) fn pause_endpoint(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        pause: Duration,
        now: Duration,
    ) {
        self.record_pause(endpoint, address, pause, now);
        self.policy.retry_after_received(now, endpoint, pause);
    }

    /// Handles the `Retry-After` of a rejection, if the result of the attempt is one with a `Retry-After`. Must
    /// be called before the attempt is finished, with which the policy receives the `Retry-After` itself.
    pub(super) fn pause_after_rejection(
        &mut self,
        attempt: &AttemptKey,
        address: SocketAddr,
        result: AttemptResult,
        now: Duration,
    ) {
        let AttemptResult::Rejected { retry_after: Some(pause) } = result else { return };
        if let Some(endpoint) = self.policy.attempt_endpoint(&attempt.message, attempt.number) {
            self.record_pause(endpoint, address, pause, now);
        }
    }

    /// Postpones requests to an endpoint that has set a `Retry-After`, and records the pause for the address
    /// that sent it. If the endpoint of the request has lost the address meanwhile, the pause also applies to
    /// the endpoints that have the address now.
    fn record_pause(&mut self, endpoint: EndpointId, address: SocketAddr, pause: Duration, now: Duration) {
        self.postpone_requests(endpoint, now + pause);
        self.address_pauses.record(address, pause, now);
        if self.connections.may_send_to(endpoint, address) {
            return;
        }
        for successor in self.state.endpoints().endpoints_at(address) {
            if successor != endpoint {
                self.apply_inherited_pause(successor, pause, now);
            }
        }
    }

    /// Postpones requests to an endpoint that are still waiting for a connection, because the policy can't
    /// postpone them itself.
    fn postpone_requests(&self, endpoint: EndpointId, until: Duration) {
        for endpoint in self.policy.endpoints_sharing_circuit(endpoint) {
            self.connections.set_retry_after(endpoint, self.clock.instant_at(until));
        }
    }

    /// Applies the `Retry-After` that the endpoint of a list entry has set before it was listed at an address.
    pub(super) fn inherit_address_pause(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        entry: &ListEntry,
    ) {
        if self.address_pauses.is_empty() {
            return;
        }
        let now = self.clock.now();
        let started_at_micros = entry.started_at_unix_ms.saturating_mul(MICROS_PER_MILLI);
        let started_at = self.clock.from_unix_micros(started_at_micros);
        if let Some(pause) = self.address_pauses.remaining(address, started_at, now) {
            self.apply_inherited_pause(endpoint, pause, now);
        }
    }

    fn apply_inherited_pause(&mut self, endpoint: EndpointId, pause: Duration, now: Duration) {
        tracing::debug!(?endpoint, ?pause, "Retry-After of the address applies to its new endpoint");
        self.postpone_requests(endpoint, now + pause);
        self.policy.retry_after_inherited(now, endpoint, pause);
    }
}
