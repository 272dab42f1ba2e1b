//! The circuit breaker, as the design page has it from its source: a circuit opens after some failures within a
//! window, and closes again with a trial that succeeds. Only the failure times and until when it is open matter;
//! all else is derived from them.

use std::time::Duration;

use super::admission::Admission;
use crate::state::{CircuitBreaker, CircuitState, PolicyParameters};

/// Most failure times kept for a circuit.
const MAX_FAILURES_KEPT: usize = 5;
/// Failures within the window that open a circuit; measured at 2, 3 and 5.
const FAILURE_THRESHOLD: usize = 3;
/// Added to a record's lifetime against clocks that are read at different moments.
pub(super) const RECORD_MARGIN: Duration = Duration::from_secs(5);

impl CircuitBreaker {
    /// The design's question before each request. It changes nothing: [`CircuitBreaker::reopen`] follows when
    /// the trial is sent, as a trial that finds no message to carry it must not put the next one off.
    pub(super) fn admission(&self, now: Duration) -> Admission {
        match self.state(now) {
            CircuitState::Closed => Admission::Admit,
            CircuitState::Open { until } => Admission::Wait(Some(until)),
            // Added to the design: no new trial while one is in flight.
            CircuitState::HalfOpen if self.has_trial() => Admission::Wait(None),
            CircuitState::HalfOpen => Admission::HalfOpenTrial,
        }
    }

    /// Opens the circuit until the delay has passed, whatever it was.
    pub(super) fn reopen(&mut self, now: Duration, recovery_delay: Duration) {
        self.open(now, now + recovery_delay);
    }

    /// Counts a failure. It opens the circuit at the threshold, and keeps one open that was not closed.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        recovery_delay: Duration,
        parameters: &PolicyParameters,
    ) {
        self.add_failure(now, parameters.failure_window, MAX_FAILURES_KEPT);
        if !self.is_closed() || self.failure_count() >= FAILURE_THRESHOLD {
            // Never sooner than a Retry-After that was received.
            self.extend_open(now, now + recovery_delay);
        }
    }

    /// Closes the circuit and forgets its failures.
    pub(super) fn record_success(&mut self, now: Duration) {
        if !self.is_closed() {
            // Added to the design: queued messages return one request in flight at a time, then twice as many.
            self.set_recovery_request_limit(Some(1));
        } else if let Some(requests) = self.recovery_request_limit() {
            self.set_recovery_request_limit(Some(requests.saturating_mul(2)));
        }
        self.close(now);
    }

    /// The design's expiry, derived: a record that can no longer matter is as good as none. With one recovery
    /// delay it is max(delay, window) + margin after the last change; a Retry-After may make that longer.
    pub(super) fn expire_if_stale(&mut self, now: Duration, parameters: &PolicyParameters) {
        let matters_until =
            self.open_until().unwrap_or_default().max(self.changed_at() + parameters.failure_window);
        if !self.has_trial() && now > matters_until + RECORD_MARGIN {
            self.reset();
        }
    }
}
