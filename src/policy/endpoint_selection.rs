//! Which endpoint a request goes to.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::DeliveryPolicy;
use crate::interface::{EndpointId, EndpointState, Idempotency, IdempotencyKeyScope};
use crate::message_key::MessageKey;
use crate::state::{AdmittedEndpoint, CircuitBreaker, Endpoint, Message};

/// Failures in a row beyond which endpoints are equal in choosing one.
const MAX_COUNTED_FAILURES: u32 = 3;
/// Failures in a row beyond which the backoff of an endpoint grows no more.
const MAX_BACKOFF_DELAYS: u32 = 4;
/// Prices are compared in millionths of a price point.
const PRICE_STEPS: f64 = 1e6;
/// The least mean response time, in seconds, that others are compared with.
const MIN_MEAN_LATENCY: f64 = 0.001;

/// Orders endpoints for the next request: the least is chosen. Compared in the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EndpointBurden {
    consecutive_failures: u32,
    /// The power of two by which it is slower than the mean.
    slowness: u64,
    /// In millionths of a price point.
    price: u64,
    requests_in_flight: u32,
}

impl DeliveryPolicy {
    /// Whether this message may go to that endpoint at all, by the rules and by the retry budget.
    pub(super) fn may_attempt(&self, key: MessageKey, to: &AdmittedEndpoint, now: Duration) -> bool {
        let message = &self.messages[key];
        let endpoint = &self.endpoints[to.endpoint];
        if endpoint.state != EndpointState::Active || endpoint.destination != message.destination {
            return false;
        }
        if self.misses_idempotency_key(message, to.endpoint, endpoint)
            || now >= self.start_by(message, to.scope)
        {
            return false;
        }
        self.may_retry(message, endpoint, now)
    }

    /// Whether the endpoint may not recognise the idempotency key of a message that may have been executed:
    /// keys are shared within a zone only, and that attempt went to another one.
    fn misses_idempotency_key(&self, message: &Message, id: EndpointId, endpoint: &Endpoint) -> bool {
        let by_zone = matches!(
            self.idempotency(message),
            Idempotency::WithKey { scope: IdempotencyKeyScope::Zone, .. }
        );
        let in_same_zone = |other: EndpointId| {
            id == other || self.endpoints.get(other).is_some_and(|other| other.is_in_zone_of(endpoint))
        };
        by_zone && message.possible_execution().is_some_and(|attempt| !in_same_zone(attempt.endpoint))
    }

    /// The mean response time of a circuit against that of all requests; at least 1.
    pub(super) fn slowness(&self, circuit: Option<&CircuitBreaker>) -> f64 {
        let mean_latency_seconds =
            self.response_times.mean_latency_seconds().unwrap_or(1.0).max(MIN_MEAN_LATENCY);
        (circuit.and_then(|circuit| circuit.mean_latency_seconds()).unwrap_or(mean_latency_seconds)
            / mean_latency_seconds)
            .max(1.0)
    }

    /// Price points that a request to the endpoint costs: its zone's fee, crossing zones, and a new connection.
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

    /// Whether an idle connection to the endpoint is likely to be open.
    fn has_idle_connection(&self, endpoint: &Endpoint, now: Duration) -> bool {
        let usage = endpoint.usage();
        usage.requests_in_flight() == 0
            && usage.answered_at().is_some_and(|at| now < at + self.parameters.connection_idle_timeout)
    }

    /// Excludes endpoints that failed this class and are in backoff, unless all are.
    ///
    /// Symptom: one endpoint of a destination fails, or fails one class, while what else answers keeps the
    /// circuit closed. It can harm by excluding an endpoint for one lost request.
    pub(super) fn exclude_failing(&self, eligible: &mut Vec<AdmittedEndpoint>, class: usize, now: Duration) {
        let backoff_is_over = |eligible: &AdmittedEndpoint| {
            let endpoint = &self.endpoints[eligible.endpoint];
            let delays = endpoint.consecutive_failures(class).min(MAX_BACKOFF_DELAYS);
            now >= endpoint.usage().last_sent() + self.parameters.recovery_delay * delays
        };
        if eligible.iter().any(backoff_is_over) {
            eligible.retain(backoff_is_over);
        }
    }

    /// The endpoint with the least [`EndpointBurden`] among two drawn at random and all those with an idle
    /// connection: without failures, not twice as slow, then by price.
    pub(super) fn choose_endpoint(
        &mut self,
        eligible: &[AdmittedEndpoint],
        class: usize,
        now: Duration,
    ) -> AdmittedEndpoint {
        // Departure from the design: where endpoints with circuits of their own have listed rates, these are the
        // weights of the draw. A forwarder that sends little to each has no other sign that one accepts a third
        // of what another does.
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
        candidates.min_by_key(|candidate| self.burden(candidate, class, now)).unwrap_or(eligible[0])
    }

    fn burden(&self, candidate: &AdmittedEndpoint, class: usize, now: Duration) -> EndpointBurden {
        let endpoint = &self.endpoints[candidate.endpoint];
        let circuit = self.circuits.get(candidate.scope);
        EndpointBurden {
            consecutive_failures: endpoint.consecutive_failures(class).min(MAX_COUNTED_FAILURES),
            slowness: self.slowness(circuit).log2() as u64,
            price: (self.price(endpoint, now) * PRICE_STEPS) as u64,
            requests_in_flight: endpoint.usage().requests_in_flight(),
        }
    }
}
