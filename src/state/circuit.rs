//! The record of one circuit breaker.

use std::collections::VecDeque;
use std::time::Duration;

use super::{AttemptKey, Pacing, RequestInFlight};
use crate::interface::RequestId;

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

/// The record of one circuit breaker, and what the guards around it remember. The decisions on it are in
/// [`policy::circuit_breaker`](crate::policy).
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    /// Times of the latest failures, oldest first.
    failures: Vec<Duration>,
    /// None while the circuit is closed.
    open_until: Option<Duration>,
    /// The last change of the two fields above, but for a reset.
    changed_at: Duration,
    /// The half-open trial that is in flight.
    trial: Option<AttemptKey>,
    /// Most requests in flight at once while traffic returns after a recovery; none: no such limit.
    recovery_request_limit: Option<usize>,
    retry_after_until: Duration,
    last_retry_after: Duration,
    pacing: Pacing,
    /// Since the last completion.
    consecutive_timeouts: u32,
    last_sent: Duration,
    /// Requests in flight, in the order in which they were sent.
    in_flight: VecDeque<RequestInFlight>,
    /// Running mean of its response times, in seconds.
    mean_latency_seconds: Option<f64>,
    last_completion: Duration,
    /// Share of its rate limit that was left by the last report; none where no limit is reported.
    remaining_limit_share: Option<f64>,
}

// Failures, and the state that follows from them.
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

    /// When an open circuit becomes half-open, or has become so; none while it is closed.
    pub(crate) fn open_until(&self) -> Option<Duration> {
        self.open_until
    }

    /// The last failure, opening or closing.
    pub(crate) fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// How many failures are kept.
    pub(crate) fn failure_count(&self) -> usize {
        self.failures.len()
    }

    /// Adds a failure, and drops those that are older than the window, or the oldest if there are too many.
    pub(crate) fn add_failure(&mut self, now: Duration, window: Duration, max_kept: usize) {
        self.failures.push(now);
        self.failures.retain(|failure| now.saturating_sub(*failure) <= window);
        self.failures.drain(..self.failures.len().saturating_sub(max_kept));
        self.changed_at = now;
    }

    /// Opens the circuit until this time, in place of an earlier or a later one.
    pub(crate) fn open(&mut self, now: Duration, until: Duration) {
        self.open_until = Some(until);
        self.changed_at = now;
    }

    /// Opens the circuit until this time, unless it is open for longer.
    pub(crate) fn extend_open(&mut self, now: Duration, until: Duration) {
        self.open_until = self.open_until.max(Some(until));
        self.changed_at = now;
    }

    /// Closes the circuit and drops its failures.
    pub(crate) fn close(&mut self, now: Duration) {
        self.reset();
        self.changed_at = now;
    }

    /// Closes the circuit and drops its failures, which counts as no change of the record.
    pub(crate) fn reset(&mut self) {
        self.failures.clear();
        self.open_until = None;
    }

    /// Whether a half-open trial is in flight.
    pub(crate) fn has_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// A half-open trial has been sent.
    pub(crate) fn begin_trial(&mut self, attempt: AttemptKey) {
        self.trial = Some(attempt);
    }

    /// An attempt has ended, which may be the trial.
    pub(crate) fn end_trial(&mut self, attempt: &AttemptKey) {
        self.trial.take_if(|trial| trial == attempt);
    }

    /// Most requests in flight at once while traffic returns after a recovery; none: no such limit.
    pub(crate) fn recovery_request_limit(&self) -> Option<usize> {
        self.recovery_request_limit
    }

    pub(crate) fn set_recovery_request_limit(&mut self, most: Option<usize>) {
        self.recovery_request_limit = most;
    }
}

// Retry-After, rate limit and pacing.
impl CircuitBreaker {
    /// No request is sent before this time, as a Retry-After or a pause demands.
    pub(crate) fn retry_after_until(&self) -> Duration {
        self.retry_after_until
    }

    /// Holds requests back until this time, unless they are held back for longer.
    pub(crate) fn extend_retry_after(&mut self, until: Duration) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// The last Retry-After, by which missing ones are estimated.
    pub(crate) fn last_retry_after(&self) -> Duration {
        self.last_retry_after
    }

    pub(crate) fn set_last_retry_after(&mut self, wait: Duration) {
        self.last_retry_after = wait;
    }

    /// Share of its rate limit that was left by the last report; none where no limit is reported.
    pub(crate) fn remaining_limit_share(&self) -> Option<f64> {
        self.remaining_limit_share
    }

    pub(crate) fn set_remaining_limit_share(&mut self, share: Option<f64>) {
        self.remaining_limit_share = share;
    }

    pub(crate) fn pacing(&self) -> &Pacing {
        &self.pacing
    }

    pub(crate) fn pacing_mut(&mut self) -> &mut Pacing {
        &mut self.pacing
    }
}

// Its requests, and how long they take.
impl CircuitBreaker {
    /// A request has been sent.
    pub(crate) fn record_request(&mut self, request: RequestInFlight) {
        self.in_flight.push_back(request);
        self.last_sent = request.started_at;
    }

    /// A request has ended, with whatever outcome.
    pub(crate) fn end_request(&mut self, id: RequestId) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// A request was completed; `mean_latency_seconds` is the running mean of response times with this one, in seconds.
    pub(crate) fn record_completion(&mut self, now: Duration, mean_latency_seconds: f64) {
        self.last_completion = now;
        self.mean_latency_seconds = Some(mean_latency_seconds);
        self.consecutive_timeouts = 0;
    }

    /// A request has timed out.
    pub(crate) fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// Requests in flight, in the order in which they were sent.
    pub(crate) fn in_flight(&self) -> &VecDeque<RequestInFlight> {
        &self.in_flight
    }

    /// How many requests in flight were sent at this time or later.
    pub(crate) fn requests_since(&self, since: Duration) -> usize {
        self.in_flight.iter().rev().take_while(|request| request.started_at >= since).count()
    }

    /// When the last request was sent; zero if none was.
    pub(crate) fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// When the last request was completed; zero if none was.
    pub(crate) fn last_completion(&self) -> Duration {
        self.last_completion
    }

    /// Running mean of its response times, in seconds; none before the first completion.
    pub(crate) fn mean_latency_seconds(&self) -> Option<f64> {
        self.mean_latency_seconds
    }

    /// Timeouts since the last completion.
    pub(crate) fn consecutive_timeouts(&self) -> u32 {
        self.consecutive_timeouts
    }

    /// The last time at which the record was used, or until which it holds requests back.
    pub(crate) fn in_use_until(&self) -> Duration {
        let used = self.last_sent.max(self.changed_at).max(self.pacing.postponed_until());
        used.max(self.retry_after_until).max(self.open_until.unwrap_or_default())
    }
}
