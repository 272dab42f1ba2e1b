//! Admission of requests to endpoints: confirmation by discovery, circuit breaker, Retry-After, pacing and
//! slow start.

use std::time::Duration;

use super::slow_start::SlowStartBudget;
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{CircuitScope, DestinationId};
use crate::state::{AdmittedEndpoint, CircuitBreaker, EarliestTime, Endpoint};

/// Decision whether an endpoint admits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// A request may be sent.
    Admit,
    /// A request may be sent, as the trial of a half-open circuit.
    HalfOpenTrial,
    /// No request may be sent before the given time or an event of the circuit, for example the end of a
    /// request. With `None`, only an event ends the wait.
    Wait(Option<Duration>),
    /// No request may be sent before the given time at the current rates, which change over time. `None` if
    /// the time is unknown.
    Paced(Option<Duration>),
}

/// Endpoints of a destination that admit a request now.
pub(super) struct AdmittedEndpoints {
    /// Sorted by endpoint id.
    pub(super) endpoints: Vec<AdmittedEndpoint>,
    /// Earliest time at which an endpoint that admits no request now may admit one.
    pub(super) next_admission: EarliestTime,
    /// Whether an endpoint that admits no request now is [`Admission::Paced`] or waits for its confirmation by
    /// discovery.
    pub(super) any_paced: bool,
}

impl DeliveryPolicy {
    /// Returns the active endpoints of a destination that admit a request now.
    pub(super) fn admitted_endpoints(&self, destination: DestinationId, now: Duration) -> AdmittedEndpoints {
        let mut admitted = AdmittedEndpoints {
            endpoints: Vec::new(),
            next_admission: EarliestTime::default(),
            any_paced: false,
        };
        for (id, endpoint) in self.endpoints.active_endpoints(destination) {
            if let Some(until) = self.endpoints.endpoint_unconfirmed_until(endpoint, now) {
                // A confirmation does not wake each destination, so none may sleep until it.
                admitted.any_paced = true;
                admitted.next_admission.include(Some(until));
                continue;
            }
            let scope = self.endpoints.scope_of(id, endpoint);
            let half_open_trial = match self.admit(scope, endpoint, now) {
                Admission::Admit => false,
                Admission::HalfOpenTrial => true,
                Admission::Wait(at) => {
                    admitted.next_admission.include(at);
                    continue;
                }
                Admission::Paced(at) => {
                    admitted.any_paced = true;
                    admitted.next_admission.include(at);
                    continue;
                }
            };
            admitted.endpoints.push(AdmittedEndpoint { endpoint: id, scope, half_open_trial });
        }
        admitted
    }

    /// Decides whether the endpoint admits a request now. Conditions that only an event can end are checked
    /// first.
    pub(super) fn admit(&self, scope: CircuitScope, endpoint: &Endpoint, now: Duration) -> Admission {
        let circuit = self.circuits.get(scope);
        let admission = circuit.map_or(Admission::Admit, |circuit| self.admit_by_circuit(circuit, now));
        if matches!(admission, Admission::Wait(_)) {
            return admission;
        }
        if let Some(at) = self.next_time_slot(scope, endpoint, now) {
            return Admission::Paced(Some(at));
        }
        let Some(circuit) = circuit.filter(|_| admission == Admission::Admit) else { return admission };
        if self.is_unresponsive(circuit, now) {
            return Admission::Paced(None);
        }
        match self.slow_start_budget(scope, endpoint, now) {
            SlowStartBudget::Load(_) => Admission::Admit,
            SlowStartBudget::UsedUpUntil(at) => Admission::Paced(Some(at)),
        }
    }

    /// Decides whether the circuit admits a request, given its Retry-After, its pacing, its state and its
    /// limit of requests in flight after a recovery. The state of its endpoints is not considered.
    fn admit_by_circuit(&self, circuit: &CircuitBreaker, now: Duration) -> Admission {
        if now < circuit.retry_after_until() {
            return Admission::Wait(Some(circuit.retry_after_until()));
        }
        // Pacing limits the requests to a destination that rejects them. Rejected requests and half-open
        // trials may count against its rate limit too. Full queues are covered as well. After a limit was met
        // only once, the circuit stays slow for some completions.
        let after_last = circuit.last_sent() + duration_from_seconds(circuit.pacing().interval_seconds());
        let paced_until =
            if self.parameters.has_sparse_traffic { circuit.pacing().postponed_until() } else { after_last };
        let admission = circuit.admission(now);
        if !matches!(admission, Admission::Wait(_)) && now < paced_until {
            return Admission::Wait(Some(paced_until));
        }
        // Requests sent before the last completion do not count, so that a request without a response cannot
        // delay the recovery.
        let unanswered = || circuit.requests_since(circuit.last_completion());
        if admission == Admission::Admit
            && circuit.recovery_request_limit().is_some_and(|max_requests| unanswered() >= max_requests)
        {
            return Admission::Wait(None);
        }
        admission
    }

    /// Returns whether requests are in flight and none has been answered for longer than the straggler
    /// threshold.
    ///
    /// Prevents an unresponsive destination from using up the limit of requests in flight before its first
    /// timeout. A single request may take long, so at least two must be in flight. A destination that stalls or
    /// slows down is covered too: its own responses then pace its requests.
    fn is_unresponsive(&self, circuit: &CircuitBreaker, now: Duration) -> bool {
        if circuit.in_flight().len() < 2 || circuit.requests_since(circuit.last_completion()) == 0 {
            return false;
        }
        let oldest = circuit.in_flight().front().map_or(now, |request| request.started_at);
        let since = oldest.max(circuit.last_completion());
        now.saturating_sub(since) > self.straggler_threshold(circuit)
    }
}
