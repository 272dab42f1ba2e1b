//! The rate that a destination or an endpoint accepts, and this forwarder's share of it.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{EndpointId, LoadReport};
use crate::state::Endpoint;

/// Assumed capacity of the smallest destination, in messages a second, where nothing else is known.
pub(super) const MIN_DESTINATION_CAPACITY: f64 = 2.0;
/// The least rate in messages or requests a second, so that intervals derived from it stay finite.
pub(super) const MIN_RATE: f64 = 0.01;
/// The least share in requests a second, so that intervals derived from it stay finite.
const MIN_FAIR_SHARE: f64 = 0.001;
/// The least span in seconds that a rate is counted over.
const MIN_RATE_SPAN: f64 = 0.001;

impl DeliveryPolicy {
    /// What a response or a health check reports of the rate limit of its endpoint; to be reported before the
    /// outcome.
    pub fn load_reported(&mut self, endpoint: EndpointId, report: LoadReport) {
        let known = self.endpoints.get(endpoint).filter(|_| self.parameters.responses_carry_load_reports);
        let Some(scope) = known.map(|known| self.endpoints.scope_of(endpoint, known)) else { return };
        let limit = Some(report.limit_per_second).filter(|limit| *limit > 0.0);
        self.endpoints
            .update_usage(&self.endpoints.endpoints_in_scope(scope), |usage| usage.set_limit(limit));
        self.circuit_mut(scope).set_remaining_limit_share(limit.map(|_| report.remaining_share));
    }

    /// The long-term rate, in messages a second, that this forwarder has for an endpoint. All forwarders together
    /// have no more than the destination accepts on an ordinary day, so that their rates add up to no more than
    /// its capacity, however unevenly the traffic is spread over them.
    pub(super) fn baseline_rate(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(destination) = self.endpoints.destination(endpoint.destination) else { return 0.0 };
        let traffic = destination.traffic();
        let elapsed = now
            .saturating_sub(traffic.first_arrival_at())
            .max(self.parameters.slow_start_duration)
            .as_secs_f64();
        let endpoints = self.endpoints.active_endpoints(endpoint.destination).count().max(1) as f64;
        let observed = traffic.arrivals() as f64 / elapsed / endpoints;
        // A listed rate may be half too high, but the capacity is higher still, and a small sample errs by more.
        let endpoints_in_scope = if self.endpoints.has_own_circuit(endpoint) { 1.0 } else { endpoints };
        self.listed_rate(endpoint)
            .map_or(observed, |listed| observed.max(listed / self.parameters.forwarders / endpoints_in_scope))
    }

    /// Requests a second that an endpoint accepts from all forwarders: as listed, or less if it reports less.
    pub(super) fn listed_rate(&self, endpoint: &Endpoint) -> Option<f64> {
        let listed = endpoint.weight().filter(|_| self.parameters.listed_rate_margin.is_some())?;
        Some(endpoint.usage().limit().map_or(listed, |limit| listed.min(limit)))
    }

    /// Whether the listed rate of an endpoint counts requests that carry a batch, and not single messages.
    pub(super) fn listed_rate_counts_batches(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.has_own_circuit(endpoint)
            && self.endpoints.max_batch(endpoint) > 1
            && self.listed_rate(endpoint).is_some()
    }

    /// This forwarder's share, in requests a second, of what an endpoint's circuit accepts.
    pub(super) fn fair_share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let endpoints = self.endpoints.active_endpoints(endpoint.destination).count().max(1) as f64;
        let endpoints_in_scope = if self.endpoints.has_own_circuit(endpoint) { 1.0 } else { endpoints };
        let baseline = self.baseline_rate(endpoint, now) * endpoints_in_scope;
        // Where most other forwarders are down, the share grows with the traffic that comes here in their place.
        // The message that is being sent is left out.
        let span = self.recent_span();
        let destination = self.endpoints.destination(endpoint.destination);
        let recent = destination.map_or(0.0, |d| (d.traffic().recent_arrivals(now, span) - 1.0).max(0.0));
        let recent_rate = recent / span.as_secs_f64().max(MIN_RATE_SPAN) * endpoints_in_scope / endpoints;
        let listed = self.listed_rate(endpoint).filter(|_| self.listed_rate_counts_batches(endpoint));
        let fair_share = match listed {
            Some(requests) => {
                let recent_requests = recent_rate / self.endpoints.max_batch(endpoint) as f64;
                (requests / self.parameters.forwarders).max(recent_requests)
            }
            None => baseline.max(recent_rate),
        };
        fair_share.max(MIN_FAIR_SHARE)
    }

    /// The span over which arrivals count as recent.
    pub(super) fn recent_span(&self) -> Duration {
        self.parameters.slow_start_duration / 2
    }
}
