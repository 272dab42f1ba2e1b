//! Cancels stragglers: overdue requests, while the limit of requests in flight keeps others waiting.

use std::time::Duration;

use super::admission::Admission;
use super::timeouts::response_timeout_factor;
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{PolicyHost, RequestId};
use crate::state::{Attempt, CircuitBreaker, EarliestTime};

/// Fixed part of the straggler threshold, in mean response times.
const STRAGGLER_LATENCY_FACTOR: f64 = 1.5;
/// Variable part of the straggler threshold, in mean response times, which is divided by the number of
/// requests in flight.
const STRAGGLER_SHARED_LATENCY_FACTOR: f64 = 4.0;
/// The minimum straggler threshold is the time from a circuit's opening to its half-open trial, divided by
/// this number.
const MIN_STRAGGLER_THRESHOLD_DIVISOR: u32 = 4;

/// Request in flight that has taken longer than its allowed time.
struct Straggler {
    /// Time taken divided by the time allowed; at least 1.
    overdue_ratio: f64,
    request: RequestId,
}

impl DeliveryPolicy {
    /// Returns how long a circuit may go without a completion before its requests are stragglers. The
    /// threshold is lower with more requests in flight.
    pub(super) fn straggler_threshold(&self, circuit: &CircuitBreaker) -> Duration {
        let mean = circuit
            .mean_latency_seconds()
            .or(self.response_times.mean_latency_seconds())
            .unwrap_or(self.parameters.recovery_delay.as_secs_f64() / 2.0);
        let sharing = circuit.in_flight().len().max(1) as f64;
        duration_from_seconds(mean * (STRAGGLER_LATENCY_FACTOR + STRAGGLER_SHARED_LATENCY_FACTOR / sharing))
            .max(self.parameters.recovery_delay / MIN_STRAGGLER_THRESHOLD_DIVISOR)
    }

    /// Cancels the request that is most overdue. Adds the times at which other requests become overdue to
    /// `wake`.
    ///
    /// Prevents requests to unresponsive or very slow destinations from using up the limit of requests in
    /// flight. Non-idempotent messages are allowed more time. Work that would still have been answered may be
    /// repeated.
    pub(super) fn cancel_straggler(
        &mut self,
        now: Duration,
        host: &mut dyn PolicyHost,
        wake: &mut EarliestTime,
    ) {
        let relevant_completion = self.last_relevant_completion(now);
        let mut most_overdue: Option<Straggler> = None;
        let attempts = self.in_flight.attempts().map(|(_, attempt)| attempt);
        for attempt in attempts.filter(|a| !a.cancelled && a.started_at < relevant_completion) {
            let Some(allowed_time) = self.allowed_time(attempt) else { continue };
            let time_taken = now.saturating_sub(attempt.started_at);
            let overdue_ratio = time_taken.as_secs_f64() / allowed_time.as_secs_f64();
            if overdue_ratio < 1.0 {
                wake.include(Some(attempt.started_at + allowed_time));
            } else if most_overdue
                .as_ref()
                .is_none_or(|most_overdue| overdue_ratio > most_overdue.overdue_ratio)
            {
                most_overdue = Some(Straggler { overdue_ratio, request: attempt.request });
            }
        }
        if let Some(most_overdue) = most_overdue {
            self.cancel_request(most_overdue.request, host);
        }
    }

    /// Returns the time of the latest completion among the circuits that admit requests for queued messages.
    /// A circuit without a recent completion counts with the latest completion of all circuits.
    ///
    /// Only requests sent before this time can be stragglers: if all destinations are equally slow, none is.
    fn last_relevant_completion(&self, now: Duration) -> Duration {
        let mut latest_completion = Duration::ZERO;
        for destination in self.queue.awake_destinations() {
            for (id, endpoint) in self.endpoints.active_endpoints(*destination) {
                let scope = self.endpoints.scope_of(id, endpoint);
                if self.admit(scope, endpoint, now) != Admission::Admit {
                    continue;
                }
                let own_completion =
                    self.circuits.get(scope).map_or(Duration::ZERO, |circuit| circuit.last_completion());
                let is_recent = own_completion > Duration::ZERO
                    && now.saturating_sub(own_completion) < self.parameters.failure_window;
                latest_completion = latest_completion.max(if is_recent {
                    own_completion
                } else {
                    self.response_times.last_completion()
                });
            }
        }
        latest_completion
    }

    /// Returns how long an attempt may take before it is a straggler; `None` if its circuit has completed a
    /// request since the attempt started, or if its message is finished.
    fn allowed_time(&self, attempt: &Attempt) -> Option<Duration> {
        let circuit = self.circuits.get(attempt.scope)?;
        if circuit.last_completion() > attempt.started_at {
            return None;
        }
        let message = self.messages.get(attempt.message)?;
        // A non-idempotent message is lost if its attempt is cancelled, and is therefore allowed more time.
        Some(self.straggler_threshold(circuit).mul_f64(response_timeout_factor(self.idempotency(message))))
    }
}
