//! The commands that the policy gives its host.

use std::time::Duration;

use super::events::PolicyEvent;
use super::ids::{AttemptNumber, EndpointId, MessageId, PeerId, RequestId};

/// The request that an attempt travels in, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// Attempts of the same request may travel as a batch; those of different requests never travel together.
    pub request: RequestId,
    /// The first byte is written within this span or never; an attempt that is too late ends as
    /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent). Later the attempt might not be safe any more:
    /// an idempotency key expires, or the program stops.
    pub start_within: Duration,
    /// The response timeout.
    pub response_within: Duration,
}

/// What a program has to do for the policy that it hosts. Each command takes effect at the time of its call.
pub trait PolicyHost {
    /// Starts the next attempt of a message.
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts);
    /// Cancels an attempt: its response is no longer awaited.
    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber);
    /// Gives the final answer that the message was not delivered and that submitting it again is harmless.
    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>);
    /// Gives the final answer that the message was not delivered; it may have been executed.
    fn fail_message(&mut self, message: &MessageId);
    /// Calls [`DeliveryPolicy::timer_fired`](crate::DeliveryPolicy::timer_fired) once this span has passed.
    fn set_timer(&mut self, after: Duration);
    /// Starts a health check of an endpoint.
    fn start_health_check(&mut self, endpoint: EndpointId);
    /// Sends gossip to another forwarder, or to all if none is named.
    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]);
    /// Starts or stops watching the endpoint list.
    fn watch_endpoint_list(&mut self, on: bool);
    /// Fetches the whole endpoint list once.
    fn fetch_endpoint_list(&mut self);
    /// Reports an event for the log.
    fn report_event(&mut self, event: &PolicyEvent);
}
