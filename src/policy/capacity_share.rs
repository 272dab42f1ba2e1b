//! Estimates the rate that a destination or an endpoint accepts, and this forwarder's share of it.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{EndpointId, LoadReport};
use crate::state::Endpoint;

/// Assumed capacity of the smallest destination, in messages a second, if nothing else is known.
pub(super) const MIN_DESTINATION_CAPACITY: f64 = 2.0;
/// Minimum rate in messages or requests a second; keeps intervals derived from a rate finite.
pub(super) const MIN_RATE: f64 = 0.01;
/// Minimum fair share in requests a second; keeps intervals derived from it finite.
const MIN_FAIR_SHARE: f64 = 0.001;
/// Minimum span in seconds over which a rate is computed; prevents a division by zero.
const MIN_RATE_SPAN_SECONDS: f64 = 0.001;

impl DeliveryPolicy {
    /// Records the rate limit that a response or a health check reported for its endpoint. The host calls
    /// this method before it reports the outcome of the attempt.
    pub fn load_reported(&mut self, endpoint: EndpointId, report: LoadReport) {
        let known = self.endpoints.get(endpoint).filter(|_| self.parameters.responses_carry_load_reports);
        let Some(scope) = known.map(|known| self.endpoints.scope_of(endpoint, known)) else { return };
        let limit = Some(report.limit_per_second).filter(|limit| *limit > 0.0);
        self.endpoints.update_usage(&self.endpoints.endpoints_in_scope(scope), |usage| {
            usage.set_limit_per_second(limit)
        });
        self.circuit_mut(scope).set_unused_rate_limit_share(limit.map(|_| report.remaining_limit_share));
    }

    /// Returns the mean rate of messages submitted to this forwarder for a destination, in messages a second,
    /// divided by the number of active endpoints. The result is at least this forwarder's equal share of the
    /// endpoint's listed rate.
    ///
    /// The rates of all forwarders add up to no more than the capacity of the destination, however unevenly
    /// the traffic is spread over them.
    pub(super) fn baseline_rate(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(destination) = self.endpoints.destination(endpoint.destination) else { return 0.0 };
        let traffic = destination.traffic();
        let elapsed = now
            .saturating_sub(traffic.first_arrival_at())
            .max(self.parameters.slow_start_duration)
            .as_secs_f64();
        let endpoints = self.endpoints.active_endpoints(endpoint.destination).count().max(1) as f64;
        let observed_rate = traffic.arrivals() as f64 / elapsed / endpoints;
        // The listed rate is the minimum, because a rate observed from few messages is inaccurate. A listed rate
        // may be half too high, but the capacity is higher still.
        let endpoints_in_scope = if self.endpoints.has_own_circuit(endpoint) { 1.0 } else { endpoints };
        self.listed_rate(endpoint).map_or(observed_rate, |listed_rate| {
            observed_rate.max(listed_rate / self.parameters.forwarders / endpoints_in_scope)
        })
    }

    /// Returns the rate, in requests a second, that an endpoint accepts from all forwarders: the listed rate,
    /// limited by the reported one. `None` if no rate is listed.
    pub(super) fn listed_rate(&self, endpoint: &Endpoint) -> Option<f64> {
        let listed_rate = endpoint.weight().filter(|_| self.parameters.listed_rate_margin.is_some())?;
        Some(endpoint.usage().limit_per_second().map_or(listed_rate, |limit| listed_rate.min(limit)))
    }

    /// Returns whether the listed rate of an endpoint counts requests with a batch of messages instead of
    /// single messages.
    pub(super) fn listed_rate_counts_batches(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.has_own_circuit(endpoint)
            && self.endpoints.max_batch(endpoint) > 1
            && self.listed_rate(endpoint).is_some()
    }

    /// Returns this forwarder's share, in requests a second, of the rate that the endpoints of a circuit
    /// accept.
    pub(super) fn fair_share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let endpoints = self.endpoints.active_endpoints(endpoint.destination).count().max(1) as f64;
        let endpoints_in_scope = if self.endpoints.has_own_circuit(endpoint) { 1.0 } else { endpoints };
        let baseline_rate_in_scope = self.baseline_rate(endpoint, now) * endpoints_in_scope;
        // If most other forwarders are down, the share grows with the traffic that moves to this forwarder.
        // The message to be sent is not counted.
        let span = self.recent_traffic_span();
        let destination = self.endpoints.destination(endpoint.destination);
        let recent_messages =
            destination.map_or(0.0, |d| (d.traffic().recent_arrivals(now, span) - 1.0).max(0.0));
        let recent_rate =
            recent_messages / span.as_secs_f64().max(MIN_RATE_SPAN_SECONDS) * endpoints_in_scope / endpoints;
        let listed_rate = self.listed_rate(endpoint).filter(|_| self.listed_rate_counts_batches(endpoint));
        let fair_share = match listed_rate {
            Some(requests) => {
                let recent_requests = recent_rate / self.endpoints.max_batch(endpoint) as f64;
                (requests / self.parameters.forwarders).max(recent_requests)
            }
            None => baseline_rate_in_scope.max(recent_rate),
        };
        fair_share.max(MIN_FAIR_SHARE)
    }

    /// Returns the length of the period, up to now, whose submitted messages count as recent traffic.
    pub(super) fn recent_traffic_span(&self) -> Duration {
        self.parameters.slow_start_duration / 2
    }
}
