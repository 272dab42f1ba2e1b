//! Circuit breaker: a circuit opens after several failures within a window, and closes after a successful
//! trial. The state is derived from the times of the failures and the end of the open period. The rules are
//! those of the paper that `docs/design.md` cites.

use std::time::Duration;

use super::admission::Admission;
use crate::state::{CircuitBreaker, CircuitState, PolicyParameters};

/// Maximum number of failure times kept for a circuit.
const MAX_FAILURES_KEPT: usize = 5;
/// Number of failures within the window that opens a circuit.
const FAILURE_THRESHOLD: usize = 3;
/// Margin added to the retention times of circuit failures and removed endpoints. Prevents an early removal
/// if the times that the host reports differ slightly.
pub(super) const RECORD_EXPIRY_MARGIN: Duration = Duration::from_secs(5);

impl CircuitBreaker {
    /// Decides whether the circuit admits a request, without a change of its state.
    ///
    /// [`CircuitBreaker::reopen`] is called only when a trial is sent, so that a destination without a
    /// message for the trial does not have to wait for the next trial.
    pub(super) fn admission(&self, now: Duration) -> Admission {
        match self.state(now) {
            CircuitState::Closed => Admission::Admit,
            CircuitState::Open { until } => Admission::Wait(Some(until)),
            // Only one trial is in flight at a time.
            CircuitState::HalfOpen if self.has_trial() => Admission::Wait(None),
            CircuitState::HalfOpen => Admission::HalfOpenTrial,
        }
    }

    /// Opens the circuit for the given delay, whatever its state.
    pub(super) fn reopen(&mut self, now: Duration, recovery_delay: Duration) {
        self.open(now, now + recovery_delay);
    }

    /// Records a failure. A closed circuit opens at the threshold, an open or half-open one at each failure,
    /// for at least `recovery_delay`.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        recovery_delay: Duration,
        parameters: &PolicyParameters,
    ) {
        self.add_failure(now, parameters.failure_window, MAX_FAILURES_KEPT);
        if !self.is_closed() || self.failure_count() >= FAILURE_THRESHOLD {
            // A Retry-After that was received may keep the circuit open for longer.
            self.extend_open(now, now + recovery_delay);
        }
    }

    /// Closes the circuit, removes its failures, and sets or doubles its limit of requests in flight after a
    /// recovery.
    pub(super) fn record_success(&mut self, now: Duration) {
        if !self.is_closed() {
            // After a recovery, one request may be in flight at first; each success doubles the number.
            self.set_recovery_request_limit(Some(1));
        } else if let Some(requests) = self.recovery_request_limit() {
            self.set_recovery_request_limit(Some(requests.saturating_mul(2)));
        }
        self.close(now);
    }

    /// Closes the circuit and removes its failures once the failure window and the open period have ended,
    /// because they no longer affect a decision. With one recovery delay, that is the longer of delay and window
    /// after the last change; a Retry-After may make it longer.
    pub(super) fn reset_if_outdated(&mut self, now: Duration, parameters: &PolicyParameters) {
        let relevant_until = self
            .open_until()
            .unwrap_or_default()
            .max(self.last_failure_or_state_change() + parameters.failure_window);
        if !self.has_trial() && now > relevant_until + RECORD_EXPIRY_MARGIN {
            self.reset();
        }
    }
}
