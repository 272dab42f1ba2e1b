//! Selects the endpoint for a request.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::DeliveryPolicy;
use crate::interface::{EndpointId, EndpointState, Idempotency, IdempotencyKeyScope};
use crate::message_key::MessageKey;
use crate::state::{AdmittedEndpoint, CircuitBreaker, Endpoint, Message};

/// Number of consecutive failures beyond which further failures do not affect the selection of an endpoint.
const MAX_FAILURES_COMPARED: u32 = 3;
/// Maximum backoff of a failing endpoint, as a multiple of the time from a circuit's opening to its trial.
const MAX_BACKOFF_RECOVERY_DELAYS: u32 = 4;
/// Factor that prices are multiplied by before they are rounded down to integers and compared.
const PRICE_STEPS_PER_UNIT: f64 = 1e6;
/// Minimum mean response time, in seconds, that others are compared with; prevents a division by zero.
const MIN_MEAN_LATENCY_SECONDS: f64 = 0.001;

/// Sort key of endpoints for the next request. The endpoint with the lowest key is chosen; fields are
/// compared in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EndpointSelectionKey {
    consecutive_failures: u32,
    /// Binary logarithm, rounded down, of the circuit's mean response time divided by that of all requests.
    slowness: u64,
    /// Price of the request, in millionths of the unit of prices in the settings.
    price: u64,
    requests_in_flight: u32,
}

impl DeliveryPolicy {
    /// Returns whether the message may be sent to the endpoint, given the endpoint's state, the idempotency
    /// key, a shutdown and the retry budget.
    pub(super) fn may_attempt(&self, key: MessageKey, admitted: &AdmittedEndpoint, now: Duration) -> bool {
        let message = &self.messages[key];
        let endpoint = &self.endpoints[admitted.endpoint];
        if endpoint.state != EndpointState::Active || endpoint.destination != message.destination {
            return false;
        }
        if self.may_lack_idempotency_key(message, admitted.endpoint, endpoint)
            || now >= self.latest_start(message, admitted.scope)
        {
            return false;
        }
        self.may_retry(message, endpoint, now)
    }

    /// Returns whether the idempotency key of a possibly executed message can be unknown to the endpoint:
    /// keys are shared only within a zone, and the attempt that may have executed the message went to another
    /// zone.
    fn may_lack_idempotency_key(&self, message: &Message, id: EndpointId, endpoint: &Endpoint) -> bool {
        let by_zone = matches!(
            self.idempotency(message),
            Idempotency::WithKey { scope: IdempotencyKeyScope::Zone, .. }
        );
        let in_same_zone = |other: EndpointId| {
            id == other || self.endpoints.get(other).is_some_and(|other| other.is_in_zone_of(endpoint))
        };
        by_zone && message.possible_execution().is_some_and(|attempt| !in_same_zone(attempt.endpoint))
    }

    /// Returns the mean response time of a circuit divided by that of all requests; at least 1.
    pub(super) fn slowness(&self, circuit: Option<&CircuitBreaker>) -> f64 {
        let mean_latency_seconds =
            self.response_times.mean_latency_seconds().unwrap_or(1.0).max(MIN_MEAN_LATENCY_SECONDS);
        (circuit.and_then(|circuit| circuit.mean_latency_seconds()).unwrap_or(mean_latency_seconds)
            / mean_latency_seconds)
            .max(1.0)
    }

    /// Returns the price of a request to the endpoint, in the unit of prices in the settings: the sum of the
    /// fee of its zone, the price of a zone crossing and the price of a new connection.
    fn price(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let parameters = &self.parameters;
        let zone = self.endpoints.zone_name(endpoint);
        let own_circuit = self.endpoints.has_own_circuit(endpoint);
        let fee = parameters.zone_fees.iter().find(|fee| fee.zone == zone && own_circuit);
        let crossing = if zone == parameters.zone { 0.0 } else { parameters.cross_zone_price };
        let connecting =
            if self.has_idle_connection(endpoint, now) { 0.0 } else { parameters.connection_price };
        fee.map_or(0.0, |fee| fee.fee) + crossing + connecting
    }

    /// Returns whether an idle connection to the endpoint is probably open.
    fn has_idle_connection(&self, endpoint: &Endpoint, now: Duration) -> bool {
        let usage = endpoint.usage();
        usage.requests_in_flight() == 0
            && usage.last_response_at().is_some_and(|at| now < at + self.parameters.connection_idle_timeout)
    }

    /// Excludes endpoints that are in backoff after failures of this class, unless all are.
    ///
    /// Avoids an endpoint that fails all messages, or those of one class, while other completions keep the
    /// circuit closed. A single lost request is enough to exclude an endpoint for its backoff.
    pub(super) fn exclude_failing_endpoints(
        &self,
        eligible: &mut Vec<AdmittedEndpoint>,
        class: usize,
        now: Duration,
    ) {
        let backoff_is_over = |eligible: &AdmittedEndpoint| {
            let endpoint = &self.endpoints[eligible.endpoint];
            let delays = endpoint.consecutive_failures(class).min(MAX_BACKOFF_RECOVERY_DELAYS);
            now >= endpoint.usage().last_sent() + self.parameters.recovery_delay * delays
        };
        if eligible.iter().any(backoff_is_over) {
            eligible.retain(backoff_is_over);
        }
    }

    /// Chooses the endpoint with the lowest [`EndpointSelectionKey`] among two drawn at random and all those
    /// with an idle connection.
    pub(super) fn choose_endpoint(
        &mut self,
        eligible: &[AdmittedEndpoint],
        class: usize,
        now: Duration,
    ) -> AdmittedEndpoint {
        // Departure from the design: endpoints with circuits of their own are drawn by their listed rates. A
        // forwarder that sends little to each has no other sign that one accepts a third of what another does.
        let rate = |eligible: &AdmittedEndpoint| {
            let endpoint = &self.endpoints[eligible.endpoint];
            self.listed_rate(endpoint).filter(|_| self.endpoints.has_own_circuit(endpoint)).unwrap_or(1.0)
        };
        let rated: Vec<_> = eligible.iter().map(|eligible| (*eligible, rate(eligible))).collect();
        let random = self.random.general();
        let mut draw =
            || rated.choose_weighted(random, |(_, rate)| *rate).map_or(eligible[0], |(drawn, _)| *drawn);
        let drawn = [draw(), draw()];
        let is_connected =
            |eligible: &AdmittedEndpoint| self.has_idle_connection(&self.endpoints[eligible.endpoint], now);
        let candidates = drawn.into_iter().chain(eligible.iter().copied().filter(is_connected));
        candidates
            .min_by_key(|candidate| self.endpoint_selection_key(candidate, class, now))
            .unwrap_or(eligible[0])
    }

    fn endpoint_selection_key(
        &self,
        candidate: &AdmittedEndpoint,
        class: usize,
        now: Duration,
    ) -> EndpointSelectionKey {
        let endpoint = &self.endpoints[candidate.endpoint];
        let circuit = self.circuits.get(candidate.scope);
        EndpointSelectionKey {
            consecutive_failures: endpoint.consecutive_failures(class).min(MAX_FAILURES_COMPARED),
            slowness: self.slowness(circuit).log2() as u64,
            price: (self.price(endpoint, now) * PRICE_STEPS_PER_UNIT) as u64,
            requests_in_flight: endpoint.usage().requests_in_flight(),
        }
    }
}
