//! What follows from a rejection: a destination over its rate limit or with a full queue, or one that is down.

use std::time::Duration;

use super::capacity_share::{MIN_DESTINATION_CAPACITY, MIN_RATE};
use super::pacing::{APPROXIMATE_RATE_MARGIN, PACING_GROWTH};
use super::{seconds, DeliveryPolicy};
use crate::interface::EndpointId;
use crate::state::{Attempt, CircuitBreaker, Pacing, PolicyParameters};

/// Growth of the pacing interval for rejections that no limit explains: a full queue, or a destination that is down
/// and will have to warm up.
const UNEXPLAINED_REJECTION_GROWTH: f64 = 4.0;
/// A rejection comes from a limit where less than this share of it was left. Reports are up to a second old.
const LIMIT_USED_UP: f64 = 0.5;
/// The first pacing interval, as a multiple of the mean interval between a forwarder's requests to the circuit.
const FIRST_INTERVAL: f64 = 0.5;
/// The longest pacing interval in a large fleet, as a multiple of the interval at this forwarder's share.
const MAX_PACING_INTERVALS: f64 = 8.0;

/// What had been sent to a circuit when it rejected a request.
struct LoadAtRejection {
    /// The endpoints that share the circuit.
    in_scope: Vec<EndpointId>,
    recovery_delay: Duration,
    /// Long-term rate of requests, in requests a second.
    baseline_rate: f64,
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
        let follows_last_change = attempt.started_at >= circuit.pacing().widened_at();
        if parameters.has_sparse_traffic && follows_last_change {
            // Symptom: many forwarders are rejected at about the same time, or have Retry-After waits that end
            // together, and all send again at once, over the limit again. Each is put off by chance.
            let pacing = circuit.pacing_mut();
            pacing.widen_sparse(load.fair_share, limit_used_up, parameters, now);
            let jitter = self.random.draw_jitter();
            pacing.postpone(now + wait + seconds(jitter * pacing.interval_seconds()));
        }
        // A short wait comes from a limit, which is no outage: there is capacity at its end.
        let is_limited = parameters.has_sparse_traffic
            && (limit_used_up || !wait.is_zero())
            && wait < parameters.overload_window;
        let paced_for = circuit.pacing().postponed_until().saturating_sub(now);
        circuit.record_failure(now, if is_limited { paced_for } else { load.recovery_delay }, parameters);
        let all_faulty = circuit.shows_outage(now, retry_after, parameters);
        if retry_after.is_none() {
            // A missing Retry-After is estimated by the last one received: at a destination whose rejected
            // requests use up its limit, each early request makes the wait longer for all.
            circuit.extend_retry_after(now + circuit.last_retry_after());
            if !parameters.has_sparse_traffic && follows_last_change {
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
        let in_scope = self.endpoints.endpoints_in_scope(attempt.scope);
        let messages = self.baseline_rate(endpoint, now);
        let baseline_rate = messages * in_scope.len() as f64 / self.endpoints.max_batch(endpoint) as f64;
        let endpoints = in_scope.iter().filter_map(|id| self.endpoints.get(*id));
        let recent_load = endpoints.flat_map(|endpoint| endpoint.usage().recent_load());
        let is_recent = |at: Duration| now.saturating_sub(at) < self.parameters.overload_window;
        Some(LoadAtRejection {
            recovery_delay: self.recovery_delay(endpoint, now),
            baseline_rate,
            fair_share: self.fair_share(endpoint, now),
            recent_requests: recent_load.filter(|sent| is_recent(sent.at)).count(),
            in_scope,
        })
    }
}

impl CircuitBreaker {
    /// Whether a rejection is explained by a rate limit. A destination that rejects again and again may be down,
    /// however much of its limit is left.
    fn limit_is_used_up(&self) -> bool {
        self.failure_count() == 0 && self.remaining_limit_share().is_some_and(|left| left < LIMIT_USED_UP)
    }

    /// Whether a rejection shows an outage. With a rate limit some requests pass, or the Retry-After is short; a
    /// destination that rejects all for long, or with a long Retry-After, is down.
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
        // Where responses report that there is capacity again, the interval need not be long at first.
        let (longest_first, growth) = if !parameters.responses_carry_load_reports {
            (parameters.longest_deadline, PACING_GROWTH)
        } else if limit_used_up {
            (parameters.recovery_delay, PACING_GROWTH)
        } else {
            (parameters.recovery_delay, UNEXPLAINED_REJECTION_GROWTH)
        };
        let wider = (self.interval_seconds() * growth).max(first.min(longest_first.as_secs_f64()));
        // An interval longer than the deadline of a message would stop delivery, not pace it.
        let interval =
            wider.min(MAX_PACING_INTERVALS / fair_share).min(parameters.longest_deadline.as_secs_f64() / 2.0);
        self.set_interval_after_rejection(interval, now);
    }

    /// Widens the interval where a forwarder's own requests show much of the destination.
    fn widen(&mut self, load: &LoadAtRejection, parameters: &PolicyParameters, now: Duration) {
        let recent_gap = if load.recent_requests > 1 {
            parameters.overload_window.as_secs_f64() / load.recent_requests as f64
        } else {
            0.0
        };
        let baseline_rate = load.baseline_rate.max(MIN_RATE);
        let first = (PACING_GROWTH * recent_gap).max(FIRST_INTERVAL / baseline_rate);
        // A destination is assumed to accept at least half of its long-term rate, in as many requests or in fewer
        // with larger batches.
        let longest = (parameters.forwarders / MIN_DESTINATION_CAPACITY).min(2.0 / baseline_rate);
        let interval = (self.interval_seconds() * PACING_GROWTH).max(first).min(longest);
        self.set_interval_after_rejection(interval, now);
    }
}
