//! Circuit breakers: the record of each, and the table of those in use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{AttemptKey, RequestInFlight};
use crate::interface::CircuitScope;

/// The state of a circuit breaker at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitState {
    /// Requests pass.
    Closed,
    /// No request passes before this time.
    Open {
        /// When it becomes half-open.
        until: Duration,
    },
    /// One trial request passes at a time.
    HalfOpen,
}

/// What rejections have shown of how far apart requests have to be.
#[derive(Default)]
pub(crate) struct Pacing {
    /// Least seconds between two requests.
    pub(crate) interval: f64,
    /// The last time at which a rejection widened it.
    pub(crate) changed_at: Duration,
    /// Until when the next request is put off by chance after a rejection.
    pub(crate) put_off_until: Duration,
}

/// The record of one circuit breaker, and what the guards around it remember. The decisions on it are in
/// [`policy::circuit_breaker`](crate::policy).
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    /// Times of the latest failures, oldest first.
    pub(crate) failures: Vec<Duration>,
    /// None while the circuit is closed.
    pub(crate) open_until: Option<Duration>,
    /// The last change of the two fields above.
    pub(crate) changed_at: Duration,
    /// The trial that is in flight.
    pub(crate) trial: Option<AttemptKey>,
    /// Most requests in flight at once while traffic returns after a recovery; none: no such limit.
    pub(crate) recovery_ramp: Option<usize>,
    /// No request before this time, as the destination asked.
    pub(crate) retry_after_until: Duration,
    /// The last Retry-After received, halved with each later completion.
    pub(crate) last_retry_after: Duration,
    pub(crate) pacing: Pacing,
    pub(crate) consecutive_timeouts: u32,
    pub(crate) last_sent: Duration,
    /// Requests in flight, in the order in which they were sent.
    pub(crate) in_flight: VecDeque<RequestInFlight>,
    /// Running mean of its response times, in seconds.
    pub(crate) mean_latency: Option<f64>,
    /// The last completion.
    pub(crate) last_answer: Duration,
    /// Share of its rate limit that was left by the last report; none where no limit is reported.
    pub(crate) limit_left: Option<f64>,
}

impl CircuitBreaker {
    /// The state at this time.
    pub(crate) fn state(&self, now: Duration) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open { until },
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Whether requests pass; otherwise it is open or half-open.
    pub(crate) fn is_closed(&self) -> bool {
        self.open_until.is_none()
    }

    /// How many requests in flight were sent at this time or later.
    pub(crate) fn requests_since(&self, since: Duration) -> usize {
        self.in_flight.iter().rev().take_while(|request| request.started_at >= since).count()
    }

    /// The last time at which the record was used, or until which it holds requests back.
    pub(crate) fn used_until(&self) -> Duration {
        let used = self.last_sent.max(self.changed_at).max(self.pacing.put_off_until);
        used.max(self.retry_after_until).max(self.open_until.unwrap_or_default())
    }
}

/// The circuit breakers in use. One is made when it is first changed and removed when idle for long.
#[derive(Default)]
pub(crate) struct CircuitTable {
    circuits: BTreeMap<CircuitScope, CircuitBreaker>,
    /// When each is next looked at for its removal.
    review_at: BTreeSet<(Duration, CircuitScope)>,
    /// Made since reviews were last scheduled.
    without_review: Vec<CircuitScope>,
}

impl CircuitTable {
    pub(crate) fn len(&self) -> usize {
        self.circuits.len()
    }

    pub(crate) fn get(&self, scope: CircuitScope) -> Option<&CircuitBreaker> {
        self.circuits.get(&scope)
    }

    pub(crate) fn get_mut(&mut self, scope: CircuitScope) -> Option<&mut CircuitBreaker> {
        self.circuits.get_mut(&scope)
    }

    /// The circuit breaker of a scope, made if there is none.
    pub(crate) fn get_or_insert(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.circuits.entry(scope).or_insert_with(|| {
            self.without_review.push(scope);
            CircuitBreaker::default()
        })
    }

    pub(crate) fn remove(&mut self, scope: CircuitScope) {
        self.circuits.remove(&scope);
    }

    /// All, in the order of their scopes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CircuitScope, &CircuitBreaker)> {
        self.circuits.iter().map(|(scope, circuit)| (*scope, circuit))
    }

    /// Schedules the first review of those that were made since the last call.
    pub(crate) fn schedule_first_reviews(&mut self, at: Duration) {
        for scope in std::mem::take(&mut self.without_review) {
            self.schedule_review(scope, at);
        }
    }

    pub(crate) fn schedule_review(&mut self, scope: CircuitScope, at: Duration) {
        self.review_at.insert((at, scope));
    }

    /// Takes the next scope whose review is due.
    pub(crate) fn take_due_review(&mut self, now: Duration) -> Option<CircuitScope> {
        let (_, scope) = self.review_at.first().copied().filter(|(due, _)| *due <= now)?;
        self.review_at.pop_first();
        Some(scope)
    }
}
