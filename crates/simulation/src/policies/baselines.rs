//! The baselines: one attempt, retries with backoff, circuit breakers, and an upper bound that sees the true state.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{AttemptOutcome, DestinationId, EndpointId};

use super::baseline_policy::{BaselinePolicy, PendingMessage, SelectionView};
use crate::distribution::RandomSource;

/// Until the retry of an attempt that never left the forwarder.
const NOT_SENT_RETRY: Duration = Duration::from_millis(50);
/// Until a retry of the baseline that sees the true state.
const UPPER_BOUND_RETRY: Duration = Duration::from_millis(20);

/// One attempt for each message.
pub(super) struct OneAttempt;

impl BaselinePolicy for OneAttempt {
    fn retry_after(
        &mut self,
        _: &PendingMessage,
        outcome: AttemptOutcome,
        _: &mut RandomSource,
    ) -> Option<Duration> {
        // What never left the forwarder does not count.
        (outcome == AttemptOutcome::NotSent).then_some(NOT_SENT_RETRY)
    }

    fn attempt_timeout(&self, _: Duration) -> Duration {
        Duration::MAX
    }
}

/// Retries with exponential, jittered backoff, to any endpoint.
pub(super) struct ExponentialBackoff;

impl BaselinePolicy for ExponentialBackoff {}

/// Failures in a row that open a circuit.
const FAILURES_TO_OPEN: u32 = 5;
/// How long a circuit is open.
const OPEN_DURATION: Duration = Duration::from_secs(5);

/// Round robin with a circuit breaker for each endpoint, half-open for one attempt at a time, and retries with
/// backoff.
#[derive(Default)]
pub(super) struct RoundRobinBreaker {
    circuits: BTreeMap<EndpointId, Circuit>,
    /// By destination: where the next round starts.
    next: BTreeMap<DestinationId, usize>,
}

/// The circuit of one endpoint; half-open once its time as an open one has passed.
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
        let next = self.next.entry(message.destination).or_default();
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

/// Sends only where the request will be accepted and answered, to the endpoint that is done soonest, the message
/// whose latency objective ends first in front.
#[derive(Default)]
pub(super) struct UpperBound {
    /// Requests sent to each destination at this time, which the world has not seen yet.
    just_sent: BTreeMap<DestinationId, u32>,
    at: Duration,
}

impl BaselinePolicy for UpperBound {
    fn select(
        &mut self,
        message: &PendingMessage,
        view: &SelectionView,
        _: &mut RandomSource,
    ) -> Option<EndpointId> {
        let (candidates, now, world) = (view.candidates, view.now, view.world);
        let has_room = |endpoint: &&EndpointId| view.batches.get(*endpoint).is_some_and(|places| *places > 0);
        if let Some(endpoint) = candidates.iter().find(has_room) {
            return Some(*endpoint);
        }
        if now != self.at {
            self.just_sent.clear();
            self.at = now;
        }
        let just_sent = self.just_sent.entry(message.destination).or_default();
        let accepting =
            candidates.iter().filter(|endpoint| world.would_accept(**endpoint, message.class, *just_sent));
        let cost = |endpoint: &EndpointId| (world.load(*endpoint) + 1.0) * world.slowdown(*endpoint);
        let selected = accepting.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied();
        *just_sent += u32::from(selected.is_some());
        selected
    }

    fn retry_after(
        &mut self,
        _: &PendingMessage,
        _: AttemptOutcome,
        _: &mut RandomSource,
    ) -> Option<Duration> {
        Some(UPPER_BOUND_RETRY)
    }

    fn urgency(&self, message: &PendingMessage) -> Duration {
        message.objective_at
    }

    fn attempt_timeout(&self, _: Duration) -> Duration {
        Duration::MAX
    }
}
