//! How a baseline differs from the others: which endpoint it chooses, and when it retries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use reeddock::{
    AttemptNumber, AttemptOutcome, DestinationId, EndpointId, MessageId, OrderingKey, PreviousAttempt,
    RequestId,
};

use crate::distribution::RandomSource;
use crate::policy::WorldView;

/// Interval at which a baseline looks for work: circuits close and capacity becomes free without a call that says so.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Attempts for a message at most, where a baseline retries with backoff.
const MAX_ATTEMPTS: u32 = 5;
/// Backoff before the first retry, in seconds.
const FIRST_BACKOFF: f64 = 0.1;
/// Longest backoff, in seconds.
const MAX_BACKOFF: f64 = 5.0;
/// Doublings of the backoff at most.
const MAX_DOUBLINGS: u32 = 10;

/// An attempt that a baseline has started.
#[derive(Clone, Copy)]
pub(super) struct StartedAttempt {
    pub(super) endpoint: EndpointId,
    pub(super) at: Duration,
    /// The request that carries it; none where it was started before a restart.
    pub(super) request: Option<RequestId>,
}

/// A message without a final answer, queued or in flight.
pub struct PendingMessage {
    pub(super) id: MessageId,
    /// Index of its class in the settings.
    pub(super) class: usize,
    pub(super) ordering_key: Option<OrderingKey>,
    pub(super) destination: DestinationId,
    pub(super) deadline: Duration,
    pub(super) objective_at: Duration,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// No retry before this.
    pub(super) not_before: Duration,
    pub(super) in_flight: BTreeSet<AttemptNumber>,
    /// The attempts started, by attempt number.
    pub(super) started: Vec<StartedAttempt>,
    /// Start of the first attempt that may have been executed.
    pub(super) possibly_executed_at: Option<Duration>,
}

impl PendingMessage {
    /// Takes over the attempts before a restart.
    pub(super) fn restore(&mut self, previous: &[PreviousAttempt]) {
        self.attempts = previous.len() as u32;
        let started =
            |p: &PreviousAttempt| StartedAttempt { endpoint: p.endpoint, at: p.started_at, request: None };
        self.started = previous.iter().map(started).collect();
        let possibly_executed = previous.iter().filter(|p| !p.proves_not_executed);
        self.possibly_executed_at = possibly_executed.map(|p| p.started_at).min();
    }
}

/// What a baseline may look at when it chooses an endpoint.
pub struct SelectionView<'v> {
    /// Endpoints that the rules let the message go to.
    pub(super) candidates: &'v [EndpointId],
    /// Free places in the batches that are being filled now.
    pub(super) batches: &'v BTreeMap<EndpointId, usize>,
    pub(super) now: Duration,
    /// The true state; only [`UpperBound`](super::BuiltInPolicy::UpperBound) looks.
    pub(super) world: &'v dyn WorldView,
}

/// What the baselines decide by themselves. One that implements nothing of it sends each message to any endpoint, in
/// the order of submission, retries with backoff, and learns nothing from outcomes.
pub trait BaselinePolicy: Send {
    /// Selects the endpoint that gets the message now; the message stays queued where none is selected.
    fn select(
        &mut self,
        _message: &PendingMessage,
        view: &SelectionView,
        random: &mut RandomSource,
    ) -> Option<EndpointId> {
        any_endpoint(view.candidates, random)
    }

    /// Learns from the outcome of an attempt.
    fn attempt_finished(&mut self, _endpoint: EndpointId, _outcome: AttemptOutcome, _now: Duration) {}

    /// The delay until the retry of a message whose attempt has this outcome; none where it is not retried.
    fn retry_after(
        &mut self,
        message: &PendingMessage,
        _outcome: AttemptOutcome,
        random: &mut RandomSource,
    ) -> Option<Duration> {
        (message.attempts < MAX_ATTEMPTS).then(|| backoff(message.attempts, random))
    }

    /// The order in which messages are sent: the least value first, equal ones in the order of submission.
    fn urgency(&self, _message: &PendingMessage) -> Duration {
        Duration::ZERO
    }

    /// Timeout of an attempt for a message with this latency objective.
    fn attempt_timeout(&self, latency_objective: Duration) -> Duration {
        latency_objective
    }

    /// The interval at which it looks for work while anything is queued.
    fn poll_interval(&self) -> Duration {
        POLL_INTERVAL
    }
}

/// Any of these endpoints, drawn at random; none where there are none.
pub(super) fn any_endpoint(candidates: &[EndpointId], random: &mut RandomSource) -> Option<EndpointId> {
    (!candidates.is_empty()).then(|| candidates[random.random_range(0..candidates.len())])
}

/// The backoff after this number of attempts: doubled with each, and drawn from the upper half of that.
pub(super) fn backoff(attempts: u32, random: &mut RandomSource) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let longest = (FIRST_BACKOFF * 2.0_f64.powi(doublings as i32)).min(MAX_BACKOFF);
    Duration::from_secs_f64(longest * (0.5 + 0.5 * random.random::<f64>()))
}
