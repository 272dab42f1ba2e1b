//! For how long idle connections can be trusted, learned from their reuse. Pure state without I/O.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A connection that was idle for less than this is always reused.
const ALWAYS_TRUSTED: Duration = Duration::from_millis(50);
/// How many of the last reuses of connections that were idle for longer are remembered.
const REUSES_REMEMBERED: usize = 64;
/// With this many failures among them, idle connections are distrusted. Resets of one connection or of one endpoint
/// cause fewer.
const FAILURES_TO_DISTRUST: usize = 6;
/// With this many failures or fewer, they are trusted again.
const FAILURES_TO_TRUST: usize = 1;
/// After a failure, connections are trusted for up to half of the time for which the failed one was idle; the trusted
/// time doubles each time this has passed since the failure.
const TRUST_DOUBLES_EVERY: Duration = Duration::from_secs(4);
/// Doublings at most: 65,536 times the time is as good as no limit, and a larger factor could overflow a duration.
const MAX_DOUBLINGS: f64 = 16.0;
/// How many of the last failures are remembered with their idle time.
const FAILURES_REMEMBERED: usize = 16;

/// How the first request on a reused connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseOutcome {
    /// The endpoint responded, at least with the first byte of a response.
    Answered,
    /// The connection broke before any byte of a response.
    Failed,
}

/// One reuse that failed.
struct ReuseFailure {
    at: Instant,
    /// How long the connection was idle.
    idle: Duration,
}

impl ReuseFailure {
    /// How long a connection may have been idle, considering this failure alone.
    fn trusted_idle(&self) -> Duration {
        let elapsed = self.at.elapsed().as_secs_f64();
        let doublings = (elapsed / TRUST_DOUBLES_EVERY.as_secs_f64()).min(MAX_DOUBLINGS);
        (self.idle / 2).max(ALWAYS_TRUSTED).mul_f64(doublings.exp2())
    }
}

/// How reuses of idle connections ended.
///
/// Some are dead without any sign, for instance because a firewall on the path has dropped their state: they break on
/// the next request, before any byte of a response. That request may have been executed, so that each such
/// connection costs a message that is not idempotent.
#[derive(Default)]
pub(super) struct ReuseHistory {
    /// The last reuses, the oldest first.
    outcomes: VecDeque<ReuseOutcome>,
    distrusted: bool,
    failures: VecDeque<ReuseFailure>,
}

impl ReuseHistory {
    /// Records a reuse of a connection that was idle for this long.
    pub(super) fn record(&mut self, idle: Duration, outcome: ReuseOutcome) {
        if idle < ALWAYS_TRUSTED {
            return;
        }
        push_bounded(&mut self.outcomes, outcome, REUSES_REMEMBERED);
        let failures = self.outcomes.iter().filter(|outcome| **outcome == ReuseOutcome::Failed).count();
        self.distrusted = failures >= FAILURES_TO_DISTRUST || self.distrusted && failures > FAILURES_TO_TRUST;
        if outcome == ReuseOutcome::Failed {
            push_bounded(&mut self.failures, ReuseFailure { at: Instant::now(), idle }, FAILURES_REMEMBERED);
        }
    }

    /// How long a connection may have been idle and still be reused.
    pub(super) fn trusted_idle(&self) -> Duration {
        if !self.distrusted {
            return Duration::MAX;
        }
        self.failures.iter().map(ReuseFailure::trusted_idle).min().unwrap_or(Duration::MAX)
    }
}

/// Appends an item and drops the oldest ones beyond the limit.
fn push_bounded<T>(items: &mut VecDeque<T>, item: T, limit: usize) {
    items.push_back(item);
    items.drain(..items.len().saturating_sub(limit));
}
