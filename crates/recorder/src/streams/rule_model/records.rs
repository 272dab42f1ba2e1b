//! State that the model keeps of settings, messages, attempts and endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{
    AttemptNumber, DestinationId, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, RequestId,
};

/// Properties of a message class that the rules depend on.
#[derive(Clone, Copy)]
pub struct ClassRules {
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered one after another.
    pub ordered: bool,
}

impl ClassRules {
    /// Properties of classes that the settings don't contain: the most restrictive ones.
    pub(super) const UNKNOWN: ClassRules =
        ClassRules { idempotency: Idempotency::NonIdempotent, ordered: false };
}

/// Limits and classes from the settings that the rules depend on.
pub struct Rules {
    /// Rules by class name.
    pub classes: BTreeMap<String, ClassRules>,
    pub max_in_flight: u64,
    pub max_pending_messages: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
}

/// An attempt without an outcome.
pub(super) struct SentAttempt {
    pub(super) endpoint: EndpointId,
    /// [`KnownEndpoint::reassignments`] at the start of the attempt.
    pub(super) endpoint_reassignments: u64,
    pub(super) started_at: Duration,
    pub(super) request: RequestId,
}

/// Summary of a message's attempts that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// Start of the first attempt that may have been executed.
    pub(super) first_started_at: Duration,
    /// Endpoint of the attempt that was reported last among those that may have been executed.
    pub(super) endpoint: EndpointId,
}

/// A message without a final answer or with an attempt in flight.
pub(super) struct PendingMessage {
    /// Number of the message in the order of submission, starting at 1.
    pub(super) submission_number: u64,
    pub(super) idempotency: Idempotency,
    /// Ordering key of the message; `None` if its class isn't ordered.
    pub(super) ordering_key: Option<u64>,
    pub(super) destination: DestinationId,
    pub(super) deadline: Duration,
    pub(super) attempts: u64,
    pub(super) in_flight: BTreeMap<AttemptNumber, SentAttempt>,
    pub(super) possibly_executed: Option<PossibleExecution>,
    /// Whether the message has its final answer.
    pub(super) finished: bool,
}

impl PendingMessage {
    pub(super) fn is_queued(&self) -> bool {
        !self.finished && self.in_flight.is_empty()
    }

    /// Returns the end of the window in which destinations recognize the idempotency key; `None` if the class
    /// has no idempotency keys or no attempt may have been executed.
    pub(super) fn key_valid_until(&self) -> Option<Duration> {
        match (self.idempotency, self.possibly_executed) {
            (Idempotency::WithKey { window, .. }, Some(executed)) => Some(executed.first_started_at + window),
            _ => None,
        }
    }

    /// Returns whether the client can submit the message again without the risk of a second execution.
    pub(super) fn may_be_rejected(&self, now: Duration) -> bool {
        let not_executed = self.possibly_executed.is_none() && self.in_flight.is_empty();
        let is_safe_to_repeat = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => {
                scope == IdempotencyKeyScope::Region
                    && self.key_valid_until().is_some_and(|until| now < until)
            }
            Idempotency::NonIdempotent => false,
        };
        (not_executed || is_safe_to_repeat) && now < self.deadline
    }
}

/// The entry of an endpoint in the endpoint list, and its Retry-After.
pub(super) struct KnownEndpoint {
    pub(super) destination: DestinationId,
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) state: EndpointState,
    /// Number of times that the endpoint changed its destination or kind, or was listed again after a
    /// removal.
    pub(super) reassignments: u64,
    /// Whether the endpoint has received an attempt since the last reassignment.
    pub(super) has_received_attempt: bool,
    /// End of the endpoint's Retry-After.
    pub(super) retry_after_until: Duration,
}

impl KnownEndpoint {
    /// Extends the Retry-After. Endpoints without an attempt since their last reassignment are unaffected.
    pub(super) fn extend_retry_after(&mut self, until: Duration) {
        if self.has_received_attempt {
            self.retry_after_until = self.retry_after_until.max(until);
        }
    }
}

/// Hold-off of an ordering key after an attempt that the destination may still be executing.
pub(super) struct HoldOff {
    pub(super) until: Duration,
    /// Number of the message of that attempt, whose retries the hold-off doesn't affect.
    pub(super) message_number: u64,
}
