//! What follows from a rejection: a destination over its rate limit or with a full queue, or one that is down.

use std::time::Duration;

use super::capacity_share::{MIN_DESTINATION_CAPACITY, MIN_RATE};
use super::pacing::{APPROXIMATE_RATE_MARGIN, PACING_GROWTH};
use super::{seconds, DeliveryPolicy};
use crate::interface::EndpointId;
use crate::state::{Attempt, CircuitBreaker, Pacing, PolicyParameters};

/// Growth of the pacing interval for rejections that no limit explains: a full queue, or what is down and will
/// come back cold.
const UNEXPLAINED_REJECTION_GROWTH: f64 = 4.0;
/// A rejection comes from a limit where less than this share of it was left. Reports are up to a second old.
const LIMIT_USED_UP: f64 = 0.5;
/// The first pacing interval, in usual gaps between a forwarder's requests to the circuit.
const FIRST_GAP: f64 = 0.5;
/// The longest pacing interval in a large fleet, in gaps between the requests that are one's share.
const MAX_PACING_GAPS: f64 = 8.0;

/// What had been sent to a circuit when it rejected a request.
struct LoadAtRejection {
    /// The endpoints that share the circuit.
    in_scope: Vec<EndpointId>,
    recovery_delay: Duration,
    /// Requests a second that are usual.
    usual_rate: f64,
    /// Requests a second that are this forwarder's share.
    fair_share: f64,
    /// Requests within the last overload window.
    recent_requests: usize,
}

impl DeliveryPolicy {
    /// What a rejection shows of the circuit and its endpoints.
    pub(super) fn record_rejection(
        &mut self,
        attempt: &Attempt,
        now: Duration,
        retry_after: Option<Duration>,
    ) {
        let Some(load) = self.load_at_rejection(attempt, now) else { return };
        let parameters = &self.parameters;
        let Some(circuit) = self.circuits.get_mut(attempt.scope) else { return };
        let wait = retry_after.unwrap_or(circuit.last_retry_after());
        let limit_used_up = circuit.limit_is_used_up();
        // Requests in flight together that are rejected together count once.
        let follows_last_change = attempt.started_at >= circuit.pacing().changed_at();
        if parameters.sparse_traffic && follows_last_change {
            // Symptom: many forwarders are rejected at about the same time, or have Retry-After waits that end
            // together, and all send again at once, over the limit again. Each is put off by chance.
            let pacing = circuit.pacing_mut();
            pacing.widen_sparse(load.fair_share, limit_used_up, parameters, now);
            let jitter = self.random.draw_jitter();
            pacing.put_off(now + wait + seconds(jitter * pacing.interval()));
        }
        // A short wait comes from a limit, which is no outage: there is capacity at its end.
        let is_limited = parameters.sparse_traffic
            && (limit_used_up || !wait.is_zero())
            && wait < parameters.overload_window;
        let paced_for = circuit.pacing().put_off_until().saturating_sub(now);
        circuit.record_failure(now, if is_limited { paced_for } else { load.recovery_delay }, parameters);
        let all_faulty = circuit.shows_outage(now, retry_after, parameters);
        if retry_after.is_none() {
            // Where some waits are received, the others are guessed from them: at a destination whose rejected
            // requests use up its limit, each early request makes the wait longer for all.
            circuit.extend_retry_after(now + circuit.last_retry_after());
            if !parameters.sparse_traffic && follows_last_change {
                circuit.pacing_mut().widen(&load, parameters, now);
            }
        }
        if all_faulty {
            let until = now + retry_after.unwrap_or_default();
            self.endpoints.update_usage(&load.in_scope, |usage| usage.record_fault(until));
        }
    }

    fn load_at_rejection(&self, attempt: &Attempt, now: Duration) -> Option<LoadAtRejection> {
        let endpoint = self.endpoints.get(attempt.endpoint)?;
        let in_scope = self.endpoints.in_scope(attempt.scope);
        let usual = self.baseline_rate(endpoint, now);
        let usual_rate = usual * in_scope.len() as f64 / self.endpoints.max_batch(endpoint) as f64;
        let endpoints = in_scope.iter().filter_map(|id| self.endpoints.get(*id));
        let recent_load = endpoints.flat_map(|endpoint| endpoint.usage().recent_load());
        let is_recent = |at: Duration| now.saturating_sub(at) < self.parameters.overload_window;
        Some(LoadAtRejection {
            recovery_delay: self.recovery_delay(endpoint, now),
            usual_rate,
            fair_share: self.fair_share(endpoint, now),
            recent_requests: recent_load.filter(|sent| is_recent(sent.at)).count(),
            in_scope,
        })
    }
}

impl CircuitBreaker {
    /// Whether a rejection is explained by a rate limit. What rejects again and again may be down, whatever is
    /// left.
    fn limit_is_used_up(&self) -> bool {
        self.failure_count() == 0 && self.limit_left().is_some_and(|left| left < LIMIT_USED_UP)
    }

    /// Whether a rejection shows an outage. A limit lets some requests through, or asks for a short wait; what
    /// rejects all for long, or asks for a long wait, is down.
    fn shows_outage(
        &self,
        now: Duration,
        retry_after: Option<Duration>,
        parameters: &PolicyParameters,
    ) -> bool {
        let silent = now.saturating_sub(self.last_completion()) >= parameters.overload_window / 2;
        let rejects_all = !self.is_closed() && silent;
        retry_after.map_or(rejects_all, |wait| wait >= parameters.overload_window)
    }
}

impl Pacing {
    /// Widens the interval where a forwarder sees little of the destination.
    fn widen_sparse(
        &mut self,
        fair_share: f64,
        limit_used_up: bool,
        parameters: &PolicyParameters,
        now: Duration,
    ) {
        let first = parameters.listed_rate_margin.unwrap_or(APPROXIMATE_RATE_MARGIN) / fair_share;
        // Where responses report that there is capacity again, no rejection need be the last word on it.
        let (longest_first, growth) = if !parameters.responses_carry_load_reports {
            (parameters.longest_deadline, PACING_GROWTH)
        } else if limit_used_up {
            (parameters.recovery_delay, PACING_GROWTH)
        } else {
            (parameters.recovery_delay, UNEXPLAINED_REJECTION_GROWTH)
        };
        let wider = (self.interval() * growth).max(first.min(longest_first.as_secs_f64()));
        // Longer than a message lasts it would be no pacing but an end.
        let interval =
            wider.min(MAX_PACING_GAPS / fair_share).min(parameters.longest_deadline.as_secs_f64() / 2.0);
        self.set_interval_after_rejection(interval, now);
    }

    /// Widens the interval where a forwarder's own requests show much of the destination.
    fn widen(&mut self, load: &LoadAtRejection, parameters: &PolicyParameters, now: Duration) {
        let recent_gap = if load.recent_requests > 1 {
            parameters.overload_window.as_secs_f64() / load.recent_requests as f64
        } else {
            0.0
        };
        let usual_rate = load.usual_rate.max(MIN_RATE);
        let first = (PACING_GROWTH * recent_gap).max(FIRST_GAP / usual_rate);
        // A destination takes at least half of what it is usually sent, in so many requests or in fewer, fuller
        // ones.
        let longest = (parameters.forwarders / MIN_DESTINATION_CAPACITY).min(2.0 / usual_rate);
        let interval = (self.interval() * PACING_GROWTH).max(first).min(longest);
        self.set_interval_after_rejection(interval, now);
    }
}
