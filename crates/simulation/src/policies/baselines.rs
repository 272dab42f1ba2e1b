//! Baselines: one attempt, retries with backoff, circuit breakers, and an upper bound by the true state.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{AttemptOutcome, DestinationId, EndpointId};

use super::baseline_policy::{BaselinePolicy, PendingMessage, SelectionView};
use crate::distribution::RandomSource;

/// Delay of the retry after an attempt that was not sent.
const NOT_SENT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay of all retries of [`UpperBound`].
const UPPER_BOUND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// One attempt for each message.
pub(super) struct OneAttempt;

impl BaselinePolicy for OneAttempt {
    fn retry_after(
        &mut self,
        _: &PendingMessage,
        outcome: AttemptOutcome,
        _: &mut RandomSource,
    ) -> Option<Duration> {
        // An attempt that was not sent does not count as the one attempt.
        (outcome == AttemptOutcome::NotSent).then_some(NOT_SENT_RETRY_DELAY)
    }

    fn attempt_timeout(&self, _: Duration) -> Duration {
        Duration::MAX
    }
}

/// Sends each message to a random endpoint, and retries with exponential, jittered backoff.
pub(super) struct ExponentialBackoff;

impl BaselinePolicy for ExponentialBackoff {}

/// Number of consecutive failures that open a circuit.
const FAILURES_TO_OPEN: u32 = 5;
/// Time until an open circuit becomes half-open.
const OPEN_DURATION: Duration = Duration::from_secs(5);

/// Round robin with a circuit breaker for each endpoint, and retries with backoff. A half-open circuit admits
/// one trial at a time.
#[derive(Default)]
pub(super) struct RoundRobinBreaker {
    circuits: BTreeMap<EndpointId, Circuit>,
    /// Position of the first candidate of the next selection, by destination.
    next_positions: BTreeMap<DestinationId, usize>,
}

/// Circuit of one endpoint: closed if `open_until` is `None`, open until that time, and half-open afterwards.
#[derive(Default)]
struct Circuit {
    consecutive_failures: u32,
    open_until: Option<Duration>,
    half_open_trial: bool,
}

impl BaselinePolicy for RoundRobinBreaker {
    fn select(
        &mut self,
        message: &PendingMessage,
        view: &SelectionView,
        _: &mut RandomSource,
    ) -> Option<EndpointId> {
        let (candidates, now) = (view.candidates, view.now);
        let next = self.next_positions.entry(message.destination).or_default();
        for step in 0..candidates.len() {
            let endpoint = candidates[(*next + step) % candidates.len()];
            let circuit = self.circuits.entry(endpoint).or_default();
            if circuit.open_until.is_none_or(|until| now >= until && !circuit.half_open_trial) {
                circuit.half_open_trial = circuit.open_until.is_some();
                *next = (*next + step + 1) % candidates.len();
                return Some(endpoint);
            }
        }
        None
    }

    fn attempt_finished(&mut self, endpoint: EndpointId, outcome: AttemptOutcome, now: Duration) {
        let circuit = self.circuits.entry(endpoint).or_default();
        match outcome {
            AttemptOutcome::Completed => *circuit = Circuit::default(),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Malformed => {
                circuit.half_open_trial = false;
            }
            AttemptOutcome::Error
            | AttemptOutcome::Rejected { .. }
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionReset => {
                circuit.consecutive_failures += 1;
                if circuit.half_open_trial || circuit.consecutive_failures >= FAILURES_TO_OPEN {
                    circuit.open_until = Some(now + OPEN_DURATION);
                    circuit.half_open_trial = false;
                }
            }
        }
    }
}

/// Sends a message only if its request will be accepted and answered, to the endpoint with the least load.
/// Messages whose latency objective ends first are sent first.
#[derive(Default)]
pub(super) struct UpperBound {
    /// Number of requests sent to each destination at `sent_at`, which the state of the world does not include
    /// yet.
    sent_requests: BTreeMap<DestinationId, u32>,
    sent_at: Duration,
}

impl BaselinePolicy for UpperBound {
    fn select(
        &mut self,
        message: &PendingMessage,
        view: &SelectionView,
        _: &mut RandomSource,
    ) -> Option<EndpointId> {
        let (candidates, now, world) = (view.candidates, view.now, view.world);
        let has_free_place =
            |endpoint: &&EndpointId| view.free_places.get(*endpoint).is_some_and(|places| *places > 0);
        if let Some(endpoint) = candidates.iter().find(has_free_place) {
            return Some(*endpoint);
        }
        if now != self.sent_at {
            self.sent_requests.clear();
            self.sent_at = now;
        }
        let sent = self.sent_requests.entry(message.destination).or_default();
        let accepting =
            candidates.iter().filter(|endpoint| world.would_accept(**endpoint, message.class, *sent));
        let cost = |endpoint: &EndpointId| (world.load(*endpoint) + 1.0) * world.slowdown(*endpoint);
        let selected = accepting.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied();
        *sent += u32::from(selected.is_some());
        selected
    }

    fn retry_after(
        &mut self,
        _: &PendingMessage,
        _: AttemptOutcome,
        _: &mut RandomSource,
    ) -> Option<Duration> {
        Some(UPPER_BOUND_RETRY_DELAY)
    }

    fn sort_key(&self, message: &PendingMessage) -> Duration {
        message.objective_at
    }

    fn attempt_timeout(&self, _: Duration) -> Duration {
        Duration::MAX
    }
}
