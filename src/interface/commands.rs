//! Commands from the delivery policy to its host.

use std::time::Duration;

use super::events::PolicyEvent;
use super::ids::{AttemptNumber, EndpointId, MessageId, PeerId, RequestId};

/// Time limits of an attempt, and the request that carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// Attempts with the same request id may be sent as one batch; others are sent separately.
    pub request: RequestId,
    /// Maximum delay until the first byte is written. Attempts that cannot start by then end as
    /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent), because a later start may be unsafe: an
    /// idempotency key expires, or the program stops.
    pub start_within: Duration,
    /// Response timeout; attempts without a response by then end as
    /// [`AttemptOutcome::TimedOut`](crate::AttemptOutcome::TimedOut).
    pub response_within: Duration,
}

/// Carries out the policy's commands. Each command takes effect at the time of the call.
pub trait PolicyHost {
    /// Starts the next attempt of a message. The attempts of a message are numbered from 0.
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts);
    /// Cancels an attempt; the host stops waiting for its response.
    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber);
    /// Gives the final answer that the message was not delivered and can be submitted again safely.
    /// `retry_after` is the Retry-After for the client; `None` if the client is given none.
    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>);
    /// Gives the final answer that the message was not delivered, although it may have been executed.
    fn fail_message(&mut self, message: &MessageId);
    /// Schedules a call of [`DeliveryPolicy::timer_fired`](crate::DeliveryPolicy::timer_fired) after the
    /// given time.
    fn set_timer(&mut self, after: Duration);
    /// Starts a health check of an endpoint.
    fn start_health_check(&mut self, endpoint: EndpointId);
    /// Sends gossip to another forwarder, or to all other forwarders if `peer` is `None`.
    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]);
    /// Starts watching the endpoint list if `on` is set, and stops watching it otherwise.
    fn watch_endpoint_list(&mut self, on: bool);
    /// Requests the full endpoint list once.
    fn fetch_endpoint_list(&mut self);
    /// Records an event in the log.
    fn report_event(&mut self, event: &PolicyEvent);
}
