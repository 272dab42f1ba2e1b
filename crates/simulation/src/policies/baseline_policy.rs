//! Decisions in which baselines differ: which endpoint gets a message, and when a message is retried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use reeddock::{
    AttemptNumber, AttemptOutcome, DestinationId, EndpointId, MessageId, OrderingKey, PreviousAttempt,
    RequestId,
};

use crate::distribution::RandomSource;
use crate::policy::WorldView;

/// Interval at which a baseline checks queued messages, because circuits close and capacity becomes free
/// without a call to the policy.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of attempts for a message in the default [`BaselinePolicy::retry_after`].
const MAX_ATTEMPTS: u32 = 5;
/// Maximum delay of the first retry; each further retry doubles the maximum.
const FIRST_BACKOFF_S: f64 = 0.1;
const MAX_BACKOFF_S: f64 = 5.0;
const MAX_DOUBLINGS: u32 = 10;

/// An attempt that a baseline has started.
#[derive(Clone, Copy)]
pub(super) struct StartedAttempt {
    pub(super) endpoint: EndpointId,
    pub(super) at: Duration,
    /// Request that contains the attempt; `None` if it was started before a restart.
    pub(super) request: Option<RequestId>,
}

/// A queued or in-flight message of a baseline, without a final answer.
pub struct PendingMessage {
    pub(super) id: MessageId,
    /// Index of the message class in the settings.
    pub(super) class: usize,
    pub(super) ordering_key: Option<OrderingKey>,
    pub(super) destination: DestinationId,
    pub(super) deadline: Duration,
    pub(super) objective_at: Duration,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// Earliest time of the next attempt.
    pub(super) next_attempt_at: Duration,
    pub(super) in_flight: BTreeSet<AttemptNumber>,
    /// Started attempts, by attempt number.
    pub(super) started: Vec<StartedAttempt>,
    /// Start of the first attempt that may have been executed; `None` if there is none.
    pub(super) possibly_executed_at: Option<Duration>,
}

impl PendingMessage {
    /// Restores the attempts that were started before a restart.
    pub(super) fn restore(&mut self, previous: &[PreviousAttempt]) {
        self.attempts = previous.len() as u32;
        let started =
            |p: &PreviousAttempt| StartedAttempt { endpoint: p.endpoint, at: p.started_at, request: None };
        self.started = previous.iter().map(started).collect();
        let possibly_executed = previous.iter().filter(|p| !p.proves_not_executed);
        self.possibly_executed_at = possibly_executed.map(|p| p.started_at).min();
    }
}

/// Information by which a baseline selects an endpoint for a message.
pub struct SelectionView<'v> {
    /// Endpoints that the endpoint list and Retry-After allow for the message.
    pub(super) candidates: &'v [EndpointId],
    /// Number of messages that still fit into the requests being filled, by endpoint.
    pub(super) free_places: &'v BTreeMap<EndpointId, usize>,
    pub(super) now: Duration,
    /// True state of the world; only [`UpperBound`](super::BuiltInPolicy::UpperBound) may use it.
    pub(super) world: &'v dyn WorldView,
}

/// Decisions of a baseline. The default methods send each message to a random endpoint in the order of
/// submission, retry with backoff, and ignore outcomes.
pub trait BaselinePolicy: Send {
    /// Selects the endpoint that gets the message now; with `None` the message stays queued.
    fn select(
        &mut self,
        _message: &PendingMessage,
        view: &SelectionView,
        random: &mut RandomSource,
    ) -> Option<EndpointId> {
        random_endpoint(view.candidates, random)
    }

    /// Updates the state of the baseline with the outcome of an attempt.
    fn attempt_finished(&mut self, _endpoint: EndpointId, _outcome: AttemptOutcome, _now: Duration) {}

    /// Returns the delay until a message is retried after an attempt with this outcome; `None` for no retry.
    fn retry_after(
        &mut self,
        message: &PendingMessage,
        _outcome: AttemptOutcome,
        random: &mut RandomSource,
    ) -> Option<Duration> {
        (message.attempts < MAX_ATTEMPTS).then(|| backoff(message.attempts, random))
    }

    /// Returns the sort key of a message: messages are sent in ascending order, and with equal keys in the
    /// order of the queue.
    fn sort_key(&self, _message: &PendingMessage) -> Duration {
        Duration::ZERO
    }

    /// Returns the timeout of an attempt for a message with this latency objective.
    fn attempt_timeout(&self, latency_objective: Duration) -> Duration {
        latency_objective
    }

    /// Returns the interval at which queued messages are checked.
    fn poll_interval(&self) -> Duration {
        POLL_INTERVAL
    }
}

/// Returns a random candidate; `None` if there are none.
pub(super) fn random_endpoint(candidates: &[EndpointId], random: &mut RandomSource) -> Option<EndpointId> {
    (!candidates.is_empty()).then(|| candidates[random.random_range(0..candidates.len())])
}

/// Returns the delay of the retry after this number of attempts: drawn from the upper half of a range whose
/// maximum grows exponentially.
pub(super) fn backoff(attempts: u32, random: &mut RandomSource) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let longest = (FIRST_BACKOFF_S * 2.0_f64.powi(doublings as i32)).min(MAX_BACKOFF_S);
    Duration::from_secs_f64(longest * (0.5 + 0.5 * random.random::<f64>()))
}
