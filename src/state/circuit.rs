//! State of a circuit breaker.

use std::collections::VecDeque;
use std::time::Duration;

use super::{AttemptKey, Pacing, RequestInFlight};
use crate::interface::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitState {
    /// The circuit does not restrict requests.
    Closed,
    /// No request is sent before `until`.
    Open {
        /// Time at which the circuit becomes half-open.
        until: Duration,
    },
    /// One trial request is sent at a time.
    HalfOpen,
}

/// Circuit breaker with its failures, pacing and requests in flight. The decisions are made in
/// [`policy::circuit_breaker`](crate::policy).
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    /// Times of recent failures, oldest first.
    failure_times: Vec<Duration>,
    /// Time at which the circuit becomes, or became, half-open; `None` while the circuit is closed.
    open_until: Option<Duration>,
    /// Time at which the circuit last recorded a failure, opened or closed; [`CircuitBreaker::reset`] does
    /// not set it.
    last_failure_or_state_change: Duration,
    /// Half-open trial in flight; `None` if there is none.
    trial: Option<AttemptKey>,
    /// Maximum number of requests in flight after a recovery; `None` if not limited.
    recovery_request_limit: Option<usize>,
    retry_after_until: Duration,
    last_retry_after: Duration,
    pacing: Pacing,
    /// Timeouts since the last completion.
    consecutive_timeouts: u32,
    last_sent: Duration,
    /// Requests in the order in which they were sent.
    in_flight: VecDeque<RequestInFlight>,
    /// Running mean of response times; `None` before the first completion.
    mean_latency_seconds: Option<f64>,
    last_completion: Duration,
    /// Unused share of the rate limit in the last load report; `None` if no limit is reported.
    remaining_limit_share: Option<f64>,
}

// Failures and circuit state.
impl CircuitBreaker {
    pub(crate) fn state(&self, now: Duration) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open { until },
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Returns whether the circuit is closed, that is, neither open nor half-open.
    pub(crate) fn is_closed(&self) -> bool {
        self.open_until.is_none()
    }

    /// Returns the time at which the circuit becomes, or became, half-open; `None` while the circuit is
    /// closed.
    pub(crate) fn open_until(&self) -> Option<Duration> {
        self.open_until
    }

    /// Returns the time at which the circuit last recorded a failure, opened or closed.
    pub(crate) fn last_failure_or_state_change(&self) -> Duration {
        self.last_failure_or_state_change
    }

    pub(crate) fn failure_count(&self) -> usize {
        self.failure_times.len()
    }

    /// Adds a failure. Removes failures that are older than `window`, and the oldest ones beyond `max_kept`.
    pub(crate) fn add_failure(&mut self, now: Duration, window: Duration, max_kept: usize) {
        self.failure_times.push(now);
        self.failure_times.retain(|failed_at| now.saturating_sub(*failed_at) <= window);
        self.failure_times.drain(..self.failure_times.len().saturating_sub(max_kept));
        self.last_failure_or_state_change = now;
    }

    /// Opens the circuit until the given time, which replaces any previous one.
    pub(crate) fn open(&mut self, now: Duration, until: Duration) {
        self.open_until = Some(until);
        self.last_failure_or_state_change = now;
    }

    /// Opens the circuit until the given time, unless it is already open for longer.
    pub(crate) fn extend_open(&mut self, now: Duration, until: Duration) {
        self.open_until = self.open_until.max(Some(until));
        self.last_failure_or_state_change = now;
    }

    /// Closes the circuit and removes its failures.
    pub(crate) fn close(&mut self, now: Duration) {
        self.reset();
        self.last_failure_or_state_change = now;
    }

    /// Closes the circuit and removes its failures, without a change of
    /// [`CircuitBreaker::last_failure_or_state_change`].
    pub(crate) fn reset(&mut self) {
        self.failure_times.clear();
        self.open_until = None;
    }

    /// Returns whether a half-open trial is in flight.
    pub(crate) fn has_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Records that a half-open trial was sent.
    pub(crate) fn begin_trial(&mut self, attempt: AttemptKey) {
        self.trial = Some(attempt);
    }

    /// Clears the half-open trial if `attempt` is the trial.
    pub(crate) fn end_trial(&mut self, attempt: &AttemptKey) {
        self.trial.take_if(|trial| trial == attempt);
    }

    /// Returns the maximum number of requests in flight after a recovery; `None` if not limited.
    pub(crate) fn recovery_request_limit(&self) -> Option<usize> {
        self.recovery_request_limit
    }

    pub(crate) fn set_recovery_request_limit(&mut self, limit: Option<usize>) {
        self.recovery_request_limit = limit;
    }
}

// Retry-After, rate limit and pacing.
impl CircuitBreaker {
    /// Returns the time before which no request is sent, because of a Retry-After or because an attempt ended
    /// without being sent.
    pub(crate) fn retry_after_until(&self) -> Duration {
        self.retry_after_until
    }

    /// Postpones requests until the given time, unless they are already postponed for longer.
    pub(crate) fn extend_retry_after(&mut self, until: Duration) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// Returns the last Retry-After, which is the estimate for rejections without a Retry-After.
    pub(crate) fn last_retry_after(&self) -> Duration {
        self.last_retry_after
    }

    pub(crate) fn set_last_retry_after(&mut self, wait: Duration) {
        self.last_retry_after = wait;
    }

    /// Returns the unused share of the rate limit in the last load report; `None` if no limit is reported.
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

// Requests and response times.
impl CircuitBreaker {
    pub(crate) fn record_request(&mut self, request: RequestInFlight) {
        self.in_flight.push_back(request);
        self.last_sent = request.started_at;
    }

    /// Removes a request that ended with any outcome.
    pub(crate) fn end_request(&mut self, id: RequestId) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// Records a completed request and the running mean of response times that includes it.
    pub(crate) fn record_completion(&mut self, now: Duration, mean_latency_seconds: f64) {
        self.last_completion = now;
        self.mean_latency_seconds = Some(mean_latency_seconds);
        self.consecutive_timeouts = 0;
    }

    pub(crate) fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// Returns the requests in flight, in the order in which they were sent.
    pub(crate) fn in_flight(&self) -> &VecDeque<RequestInFlight> {
        &self.in_flight
    }

    /// Returns the number of requests in flight that were sent at `since` or later.
    pub(crate) fn requests_since(&self, since: Duration) -> usize {
        self.in_flight.iter().rev().take_while(|request| request.started_at >= since).count()
    }

    /// Returns the time of the last request; zero if none was sent.
    pub(crate) fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// Returns the time of the last completion; zero before the first.
    pub(crate) fn last_completion(&self) -> Duration {
        self.last_completion
    }

    /// Returns the running mean of response times; `None` before the first completion.
    pub(crate) fn mean_latency_seconds(&self) -> Option<f64> {
        self.mean_latency_seconds
    }

    /// Returns the number of timeouts since the last completion.
    pub(crate) fn consecutive_timeouts(&self) -> u32 {
        self.consecutive_timeouts
    }

    /// Returns the time until which the circuit counts as in use: the latest of the last request, the last
    /// failure or change of state, and the time until which requests are postponed.
    pub(crate) fn in_use_until(&self) -> Duration {
        let used = self.last_sent.max(self.last_failure_or_state_change).max(self.pacing.postponed_until());
        used.max(self.retry_after_until).max(self.open_until.unwrap_or_default())
    }
}
