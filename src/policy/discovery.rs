//! Applies updates of the endpoint list, withholds requests until discovery has confirmed the list, and
//! schedules the next poll of the list after a failed one.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{DestinationId, EndpointId, EndpointUpdate};

/// Maximum time that requests wait for discovery to confirm the endpoint list. A discovery that has not
/// answered by then counts as unavailable, and the last list is used.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(1);

impl DeliveryPolicy {
    /// Begins an endpoint list: a complete one, or one with only the entries that changed.
    pub fn begin_endpoint_list(&mut self, complete: bool) {
        self.poll_schedule.reset_backoff();
        self.endpoints.begin_list(complete);
    }

    /// Applies one entry of the endpoint list, between [`DeliveryPolicy::begin_endpoint_list`] and
    /// [`DeliveryPolicy::finish_endpoint_list`].
    pub fn update_endpoint(&mut self, update: EndpointUpdate) {
        let slot_phase = self.random.draw();
        let queue = &mut self.queue;
        self.endpoints.apply_update(&update, slot_phase, |destination| queue.mark_changed(destination));
    }

    /// Finishes the endpoint list, which confirms it. Removes the endpoints that a complete list did not name,
    /// and returns them.
    pub fn finish_endpoint_list(&mut self) -> Vec<EndpointId> {
        self.endpoints.confirm();
        let queue = &mut self.queue;
        self.endpoints.finish_list(|destination| queue.mark_changed(destination))
    }

    /// Aborts an endpoint list that ended early. The entries received so far stay in effect, and no endpoint
    /// is removed.
    pub fn abort_endpoint_list(&mut self) {
        self.endpoints.abort_list();
    }

    /// Withholds requests until discovery confirms the endpoint list, for a limited time. The host calls this
    /// method when the list may be outdated: after a start with a cached list, when discovery has moved, and
    /// while a list is being received.
    ///
    /// An address in an outdated list may belong to an endpoint of another destination by now.
    pub fn await_list_confirmation(&mut self, now: Duration) {
        self.endpoints.await_confirmation(now + MAX_CONFIRMATION_WAIT);
    }

    /// Records that discovery has confirmed the endpoint list without changes.
    pub fn confirm_endpoint_list(&mut self) {
        self.endpoints.confirm();
    }

    /// Returns whether the endpoint list has named a destination; true for all destinations while no endpoint
    /// is known.
    #[must_use]
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.endpoints.knows_destination(destination)
    }

    /// Records a failed poll of the endpoint list and schedules the next one with exponential backoff and
    /// jitter. The previous list stays in effect.
    ///
    /// Prevents all forwarders from polling again at once, which would overload discovery.
    pub fn discovery_failed(&mut self, now: Duration) {
        let Some(max_backoff) = self.parameters.max_poll_interval else { return };
        let min_backoff = self.parameters.recovery_delay.min(max_backoff);
        let backoff = (2 * self.poll_schedule.backoff()).clamp(min_backoff, max_backoff);
        let jitter = self.random.draw_jitter();
        self.poll_schedule.schedule(now + backoff.mul_f64(jitter), backoff);
    }
}
