//! The endpoint list: keeping up with it, and polling it after failures.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{DestinationId, EndpointId, EndpointUpdate};

impl DeliveryPolicy {
    /// Entries of the endpoint list follow: all of them, or only those that changed.
    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.polls.reset_backoff();
        self.endpoints.begin_list(whole);
    }

    /// One entry of the endpoint list, between [`DeliveryPolicy::begin_endpoint_list`] and
    /// [`DeliveryPolicy::finish_endpoint_list`].
    pub fn update_endpoint(&mut self, update: EndpointUpdate) {
        let slot_phase = self.random.draw();
        let queue = &mut self.queue;
        self.endpoints.apply_update(&update, slot_phase, |destination| queue.mark_changed(destination));
    }

    /// The endpoint list is complete; what a whole one did not name is removed. Returns the endpoints that went
    /// with it.
    pub fn finish_endpoint_list(&mut self) -> Vec<EndpointId> {
        let queue = &mut self.queue;
        self.endpoints.finish_list(|destination| queue.mark_changed(destination))
    }

    /// The endpoint list broke off before its end: what it named so far holds, and what it did not name stays.
    pub fn abort_endpoint_list(&mut self) {
        self.endpoints.abort_list();
    }

    /// Whether the endpoint list has named a destination. While it has named no endpoint, every one counts as
    /// named.
    #[must_use]
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.endpoints.knows_destination(destination)
    }

    /// A poll of the endpoint list failed; the old list stays. Symptom: all forwarders poll again at once, and
    /// discovery, which rejects polls while too many wait, answers none. Each polls with exponential backoff and
    /// jitter.
    pub fn discovery_failed(&mut self, now: Duration) {
        let Some(longest) = self.parameters.max_poll_interval else { return };
        let shortest = self.parameters.recovery_delay.min(longest);
        let backoff = (2 * self.polls.backoff()).clamp(shortest, longest);
        let jitter = self.random.draw_jitter();
        self.polls.schedule(now + backoff.mul_f64(jitter), backoff);
    }
}
