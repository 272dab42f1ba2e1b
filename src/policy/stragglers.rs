//! Stragglers: requests that are overdue while the limit of requests in flight keeps others waiting.

use std::time::Duration;

use super::admission::Admission;
use super::timeouts::timeout_factor;
use super::{seconds, DeliveryPolicy};
use crate::interface::{PolicyHost, RequestId};
use crate::state::{Attempt, CircuitBreaker, EarliestTime};

/// A circuit is silent when no answer came for so many mean response times, plus so many more divided by the
/// requests in flight.
const STRAGGLER_MEANS: f64 = 1.5;
const STRAGGLER_SHARED_MEANS: f64 = 4.0;
/// No request is a straggler before the recovery delay divided by this has passed.
const MIN_STRAGGLER_DIVISOR: u32 = 4;

/// The attempt that is overdue most.
struct Straggler {
    /// How long it has taken against what is allowed.
    overdue_ratio: f64,
    request: RequestId,
}

impl DeliveryPolicy {
    /// How long no answer may come before the circuit counts as silent: the more requests are in flight, the
    /// sooner.
    pub(super) fn straggler_after(&self, circuit: &CircuitBreaker) -> Duration {
        let mean = circuit
            .mean_latency_seconds()
            .or(self.response_times.mean_latency_seconds())
            .unwrap_or(self.parameters.recovery_delay.as_secs_f64() / 2.0);
        let sharing = circuit.in_flight().len().max(1) as f64;
        seconds(mean * (STRAGGLER_MEANS + STRAGGLER_SHARED_MEANS / sharing))
            .max(self.parameters.recovery_delay / MIN_STRAGGLER_DIVISOR)
    }

    /// Cancels the request that is overdue most, if any is; otherwise wakes when the first will be.
    ///
    /// Symptom: the limit of requests in flight is reached, partly by requests to silent endpoints, while others
    /// could send. The request that is overdue most is cancelled; a non-idempotent one later. Covers hanging, silent
    /// and very slow destinations; it can harm by repeating work that would still have been answered.
    pub(super) fn cancel_straggler(
        &mut self,
        now: Duration,
        host: &mut dyn PolicyHost,
        wake: &mut EarliestTime,
    ) {
        let completed_at = self.last_relevant_completion(now);
        let mut worst: Option<Straggler> = None;
        let attempts = self.in_flight.attempts().map(|(_, attempt)| attempt);
        for attempt in attempts.filter(|a| !a.cancelled && a.started_at < completed_at) {
            let Some(allowed) = self.allowed_time(attempt) else { continue };
            let taken = now.saturating_sub(attempt.started_at);
            let overdue_ratio = taken.as_secs_f64() / allowed.as_secs_f64();
            if overdue_ratio < 1.0 {
                wake.include(Some(attempt.started_at + allowed));
            } else if worst.as_ref().is_none_or(|worst| overdue_ratio > worst.overdue_ratio) {
                worst = Some(Straggler { overdue_ratio, request: attempt.request });
            }
        }
        if let Some(worst) = worst {
            self.cancel_request(worst.request, host);
        }
    }

    /// The last completion of a circuit that could send a queued message, or the last of all where that circuit has
    /// completed none recently. Only requests sent before it can be stragglers: where all destinations are equally
    /// slow, none is.
    fn last_relevant_completion(&self, now: Duration) -> Duration {
        let mut newest = Duration::ZERO;
        for destination in self.queue.awake_destinations() {
            for (id, endpoint) in self.endpoints.active_endpoints(*destination) {
                let scope = self.endpoints.scope_of(id, endpoint);
                if self.admit(scope, endpoint, now) != Admission::Admit {
                    continue;
                }
                let own =
                    self.circuits.get(scope).map_or(Duration::ZERO, |circuit| circuit.last_completion());
                let is_recent =
                    own > Duration::ZERO && now.saturating_sub(own) < self.parameters.failure_window;
                newest = newest.max(if is_recent { own } else { self.response_times.last_completion() });
            }
        }
        newest
    }

    /// How long an attempt may take before it is a straggler; none if its circuit has completed a request since, or
    /// its message is finished.
    fn allowed_time(&self, attempt: &Attempt) -> Option<Duration> {
        let circuit = self.circuits.get(attempt.scope)?;
        if circuit.last_completion() > attempt.started_at {
            return None;
        }
        let message = self.messages.get(attempt.message)?;
        // To cancel a non-idempotent one loses it, so that it may take longer.
        Some(self.straggler_after(circuit).mul_f64(timeout_factor(self.idempotency(message))))
    }
}
