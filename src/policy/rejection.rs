//! Handles rejections by a destination that is over its rate limit, has a full queue, or is in an outage.

use std::time::Duration;

use super::capacity_share::{MIN_DESTINATION_CAPACITY, MIN_RATE};
use super::pacing::{APPROXIMATE_RATE_MARGIN, PACING_INTERVAL_GROWTH_FACTOR};
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::EndpointId;
use crate::state::{Attempt, CircuitBreaker, Pacing, PolicyParameters};

/// Factor by which the pacing interval grows with a rejection that is not caused by a rate limit, but by a
/// full queue or an outage.
const UNEXPLAINED_REJECTION_GROWTH_FACTOR: f64 = 4.0;
/// A rejection is attributed to a rate limit if less than this share of the limit was left. Load reports may
/// be up to a second old.
const LIMIT_USED_UP_THRESHOLD: f64 = 0.5;
/// First pacing interval, as a multiple of the mean interval between this forwarder's requests to the
/// circuit.
const FIRST_INTERVAL_FACTOR: f64 = 0.5;
/// Maximum pacing interval in a large fleet, as a multiple of the interval at this forwarder's fair share.
const MAX_PACING_INTERVAL_FACTOR: f64 = 8.0;

/// Load on the destination of a circuit when a request was rejected.
struct LoadAtRejection {
    /// Endpoints that share the circuit.
    in_scope: Vec<EndpointId>,
    recovery_delay: Duration,
    /// Sum of [`DeliveryPolicy::baseline_rate`] over the endpoints of the circuit, in requests with full
    /// batches a second.
    baseline_rate: f64,
    /// This forwarder's share of the rate that the endpoints of the circuit accept, in requests a second.
    fair_share: f64,
    /// Number of this forwarder's requests to the endpoints of the circuit within the last overload window.
    recent_requests: usize,
}

impl DeliveryPolicy {
    /// Updates the circuit and its endpoints after a rejection.
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
        let limit_used_up = circuit.is_explained_by_limit();
        // Concurrent requests that are rejected together count once.
        let follows_last_change = attempt.started_at >= circuit.pacing().last_widened_at();
        if parameters.has_sparse_traffic && follows_last_change {
            // Random delays prevent many forwarders that were rejected at the same time, or whose Retry-After
            // ends together, from sending again at once.
            let pacing = circuit.pacing_mut();
            pacing.widen_for_sparse_traffic(load.fair_share, limit_used_up, parameters, now);
            let jitter = self.random.draw_jitter();
            pacing.postpone(now + wait + duration_from_seconds(jitter * pacing.interval_seconds()));
        }
        // A short Retry-After indicates a rate limit and no outage: the destination has capacity when the
        // wait ends.
        let is_rate_limited = parameters.has_sparse_traffic
            && (limit_used_up || !wait.is_zero())
            && wait < parameters.overload_window;
        let pacing_wait = circuit.pacing().postponed_until().saturating_sub(now);
        circuit.record_failure(
            now,
            if is_rate_limited { pacing_wait } else { load.recovery_delay },
            parameters,
        );
        let is_outage = circuit.shows_outage(now, retry_after, parameters);
        if retry_after.is_none() {
            // The last Retry-After replaces a missing one. If rejected requests count against the rate limit,
            // early requests would extend the wait for all forwarders.
            circuit.extend_retry_after(now + circuit.last_retry_after());
            if !parameters.has_sparse_traffic && follows_last_change {
                circuit.pacing_mut().widen(&load, parameters, now);
            }
        }
        if is_outage {
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
    /// Returns whether a rejection is attributed to a rate limit. A destination that rejects repeatedly may
    /// be down, whatever share of its limit is unused.
    fn is_explained_by_limit(&self) -> bool {
        self.failure_count() == 0
            && self.unused_rate_limit_share().is_some_and(|left| left < LIMIT_USED_UP_THRESHOLD)
    }

    /// Returns whether a rejection indicates an outage: its Retry-After is long, or a circuit that is not
    /// closed has completed no request for some time. Under a rate limit some requests pass, or the Retry-After
    /// is short.
    fn shows_outage(
        &self,
        now: Duration,
        retry_after: Option<Duration>,
        parameters: &PolicyParameters,
    ) -> bool {
        let without_completion = now.saturating_sub(self.last_completion()) >= parameters.overload_window / 2;
        let rejects_all = !self.is_closed() && without_completion;
        retry_after.map_or(rejects_all, |wait| wait >= parameters.overload_window)
    }
}

impl Pacing {
    /// Widens the pacing interval under sparse traffic, when this forwarder sends only a small part of the
    /// destination's requests.
    fn widen_for_sparse_traffic(
        &mut self,
        fair_share: f64,
        limit_used_up: bool,
        parameters: &PolicyParameters,
        now: Duration,
    ) {
        let first_interval = parameters.listed_rate_margin.unwrap_or(APPROXIMATE_RATE_MARGIN) / fair_share;
        // With load reports, the first interval can be short, because the reports show when the destination
        // has capacity.
        let (max_first_interval, growth) = if !parameters.responses_carry_load_reports {
            (parameters.longest_deadline, PACING_INTERVAL_GROWTH_FACTOR)
        } else if limit_used_up {
            (parameters.recovery_delay, PACING_INTERVAL_GROWTH_FACTOR)
        } else {
            (parameters.recovery_delay, UNEXPLAINED_REJECTION_GROWTH_FACTOR)
        };
        let grown_interval =
            (self.interval_seconds() * growth).max(first_interval.min(max_first_interval.as_secs_f64()));
        // An interval longer than the deadline of a message would stop delivery.
        let interval = grown_interval
            .min(MAX_PACING_INTERVAL_FACTOR / fair_share)
            .min(parameters.longest_deadline.as_secs_f64() / 2.0);
        self.set_interval_after_rejection(interval, now);
    }

    /// Widens the pacing interval based on the rate of this forwarder's recent requests, when they are a
    /// large part of the destination's requests.
    fn widen(&mut self, load: &LoadAtRejection, parameters: &PolicyParameters, now: Duration) {
        let mean_recent_interval = if load.recent_requests > 1 {
            parameters.overload_window.as_secs_f64() / load.recent_requests as f64
        } else {
            0.0
        };
        let baseline_rate = load.baseline_rate.max(MIN_RATE);
        let first_interval =
            (PACING_INTERVAL_GROWTH_FACTOR * mean_recent_interval).max(FIRST_INTERVAL_FACTOR / baseline_rate);
        // A destination is assumed to accept at least half of its long-term rate, in as many requests or in
        // fewer with larger batches.
        let max_interval = (parameters.forwarders / MIN_DESTINATION_CAPACITY).min(2.0 / baseline_rate);
        let interval =
            (self.interval_seconds() * PACING_INTERVAL_GROWTH_FACTOR).max(first_interval).min(max_interval);
        self.set_interval_after_rejection(interval, now);
    }
}
