//! What the model keeps of settings, messages, attempts and endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{
    AttemptNumber, DestinationId, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, RequestId,
};

/// What the rules need to know of a message class.
#[derive(Clone, Copy)]
pub struct ClassRules {
    pub idempotency: Idempotency,
    /// Messages of one ordering key go one after the other.
    pub ordered: bool,
}

impl ClassRules {
    /// The rules of a class that the settings do not have: those that allow least.
    pub(super) const UNKNOWN: ClassRules =
        ClassRules { idempotency: Idempotency::NonIdempotent, ordered: false };
}

/// What the settings promise, in the form that rules need.
pub struct Rules {
    /// By the name of the class.
    pub classes: BTreeMap<String, ClassRules>,
    pub max_in_flight: u64,
    pub capacity: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
}

/// An attempt that has no outcome yet.
pub(super) struct AttemptSent {
    pub(super) endpoint: EndpointId,
    /// [`KnownEndpoint::moves`] when it was sent.
    pub(super) moves: u64,
    pub(super) at: Duration,
    pub(super) request: RequestId,
}

/// The attempts of a message that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// Start of the first of them.
    pub(super) first_started_at: Duration,
    /// Endpoint of the last one that was reported.
    pub(super) endpoint: EndpointId,
}

/// A message that has no final answer yet, or still has an attempt in flight.
pub(super) struct PendingMessage {
    /// Messages are numbered in the order of their submission.
    pub(super) number: u64,
    pub(super) idempotency: Idempotency,
    /// Its ordering key, where its class is ordered.
    pub(super) key: Option<u64>,
    pub(super) destination: DestinationId,
    pub(super) deadline: Duration,
    pub(super) attempts: u64,
    pub(super) in_flight: BTreeMap<AttemptNumber, AttemptSent>,
    pub(super) possibly_executed: Option<PossibleExecution>,
    /// It has its final answer.
    pub(super) finished: bool,
}

impl PendingMessage {
    pub(super) fn is_queued(&self) -> bool {
        !self.finished && self.in_flight.is_empty()
    }

    /// Until when a destination recognizes a repeat by its idempotency key, if it needs to.
    pub(super) fn key_valid_until(&self) -> Option<Duration> {
        match (self.idempotency, self.possibly_executed) {
            (Idempotency::WithKey { window, .. }, Some(executed)) => Some(executed.first_started_at + window),
            _ => None,
        }
    }

    /// Whether its client may submit it again without harm.
    pub(super) fn may_be_rejected(&self, now: Duration) -> bool {
        let not_executed = self.possibly_executed.is_none() && self.in_flight.is_empty();
        let repeatable = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => {
                scope == IdempotencyKeyScope::Region
                    && self.key_valid_until().is_some_and(|until| now < until)
            }
            Idempotency::NonIdempotent => false,
        };
        (not_executed || repeatable) && now < self.deadline
    }
}

/// What the endpoint list says of an endpoint, and what the policy has learned from its responses.
pub(super) struct KnownEndpoint {
    pub(super) destination: DestinationId,
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) state: EndpointState,
    /// How often it has moved to another destination or kind, or was removed and listed again.
    pub(super) moves: u64,
    /// An attempt was sent to it since its last move.
    pub(super) attempted: bool,
    /// End of its Retry-After.
    pub(super) retry_after: Duration,
}

impl KnownEndpoint {
    /// A Retry-After holds for an endpoint that was sent an attempt since it moved last.
    pub(super) fn extend_retry_after(&mut self, until: Duration) {
        if self.attempted {
            self.retry_after = self.retry_after.max(until);
        }
    }
}

/// An ordering key that is held after an attempt that may still be running.
pub(super) struct HoldOff {
    pub(super) until: Duration,
    /// Number of the message of that attempt; its own retries pass.
    pub(super) holder: u64,
}
