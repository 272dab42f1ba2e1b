//! The idle time after which connections are not reused, learned from earlier reuses. Contains no I/O.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The lowest limit that failures set on the idle time of reused connections.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);
/// The maximum number of recorded reuses. Reuses after an idle time below `MIN_IDLE_LIMIT` are not
/// recorded.
const MAX_RECORDED_REUSES: usize = 64;
/// The minimum number of failures among the recorded reuses at which reuse is limited. Resets of a single
/// connection or endpoint cause fewer failures.
const FAILURES_TO_LIMIT_REUSE: usize = 6;
/// The maximum number of failures among the recorded reuses at which the limit on reuse ends.
const FAILURES_TO_LIFT_LIMIT: usize = 1;
/// The period after which the idle limit set by a failure doubles. The limit starts at half of the idle time
/// of the failed connection.
const IDLE_LIMIT_DOUBLING_PERIOD: Duration = Duration::from_secs(4);
/// The maximum number of doublings, so that the idle limit does not overflow a `Duration`.
const MAX_DOUBLINGS: f64 = 16.0;
const MAX_RECORDED_FAILURES: usize = 16;

/// The outcome of a request on a reused connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseOutcome {
    /// At least one byte of a response was received.
    ResponseReceived,
    /// The connection broke before any byte of a response was received.
    Broken,
}

struct ReuseFailure {
    at: Instant,
    /// How long the connection was idle before the reuse.
    idle_time: Duration,
}

impl ReuseFailure {
    /// Returns the idle time below which a connection may be reused, considering only this failure.
    fn reusable_idle_time(&self) -> Duration {
        let elapsed = self.at.elapsed().as_secs_f64();
        let doublings = (elapsed / IDLE_LIMIT_DOUBLING_PERIOD.as_secs_f64()).min(MAX_DOUBLINGS);
        (self.idle_time / 2).max(MIN_IDLE_LIMIT).mul_f64(doublings.exp2())
    }
}

/// The outcomes of recent reuses of idle connections.
///
/// An idle connection can be lost without notice, for example when a firewall drops its state. The next
/// request fails after it was sent and may have been executed, so a message that is not idempotent can't be
/// retried.
#[derive(Default)]
pub(super) struct ReuseHistory {
    /// The most recent reuses, oldest first.
    outcomes: VecDeque<ReuseOutcome>,
    reuse_limited: bool,
    failures: VecDeque<ReuseFailure>,
}

impl ReuseHistory {
    /// Records a reuse of a connection that was idle for `idle_time`.
    pub(super) fn record(&mut self, idle_time: Duration, outcome: ReuseOutcome) {
        if idle_time < MIN_IDLE_LIMIT {
            return;
        }
        push_bounded(&mut self.outcomes, outcome, MAX_RECORDED_REUSES);
        let failures = self.outcomes.iter().filter(|outcome| **outcome == ReuseOutcome::Broken).count();
        self.reuse_limited =
            failures >= FAILURES_TO_LIMIT_REUSE || self.reuse_limited && failures > FAILURES_TO_LIFT_LIMIT;
        if outcome == ReuseOutcome::Broken {
            push_bounded(
                &mut self.failures,
                ReuseFailure { at: Instant::now(), idle_time },
                MAX_RECORDED_FAILURES,
            );
        }
    }

    /// Returns the idle time below which a connection may be reused. `Duration::MAX` means no limit.
    pub(super) fn reusable_idle_time(&self) -> Duration {
        if !self.reuse_limited {
            return Duration::MAX;
        }
        self.failures.iter().map(ReuseFailure::reusable_idle_time).min().unwrap_or(Duration::MAX)
    }
}

/// Appends an item and removes the oldest items beyond the limit.
fn push_bounded<T>(items: &mut VecDeque<T>, item: T, limit: usize) {
    items.push_back(item);
    items.drain(..items.len().saturating_sub(limit));
}
