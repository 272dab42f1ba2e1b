//! Whether a request may go to an endpoint now: the circuit breaker and the guards around it.

use std::time::Duration;

use super::slow_start::SlowStartBudget;
use super::{seconds, DeliveryPolicy};
use crate::interface::{CircuitScope, DestinationId};
use crate::state::{AdmittedEndpoint, CircuitBreaker, EarliestTime, Endpoint};

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// It may.
    Admit,
    /// It may, as the trial of a half-open circuit.
    HalfOpenTrial,
    /// Not before this time, or before an event of the circuit; without a time, not before an event.
    Wait(Option<Duration>),
    /// Not before this time by the present rates, which change as time passes.
    Paced(Option<Duration>),
}

/// The endpoints of a destination that a request may go to now.
pub(super) struct AdmittedEndpoints {
    /// In ascending order of their ids.
    pub(super) endpoints: Vec<AdmittedEndpoint>,
    /// When the first of the others may be sent a request.
    pub(super) next_admission: EarliestTime,
    /// One of the others is [`Admission::Paced`].
    pub(super) some_are_paced: bool,
}

impl DeliveryPolicy {
    /// Checks for each active endpoint of a destination whether a request may go to it.
    pub(super) fn admitted_endpoints(&self, destination: DestinationId, now: Duration) -> AdmittedEndpoints {
        let mut admitted = AdmittedEndpoints {
            endpoints: Vec::new(),
            next_admission: EarliestTime::default(),
            some_are_paced: false,
        };
        for (id, endpoint) in self.endpoints.active_endpoints(destination) {
            let scope = self.endpoints.scope_of(id, endpoint);
            let half_open_trial = match self.admit(scope, endpoint, now) {
                Admission::Admit => false,
                Admission::HalfOpenTrial => true,
                Admission::Wait(at) => {
                    admitted.next_admission.include(at);
                    continue;
                }
                Admission::Paced(at) => {
                    admitted.some_are_paced = true;
                    admitted.next_admission.include(at);
                    continue;
                }
            };
            admitted.endpoints.push(AdmittedEndpoint { endpoint: id, scope, half_open_trial });
        }
        admitted
    }

    /// Whether a request may go to the endpoint now. Conditions that only an event can end are checked first.
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
        if self.is_silent(circuit, now) {
            return Admission::Paced(None);
        }
        match self.slow_start_budget(scope, endpoint, now) {
            SlowStartBudget::Load(_) => Admission::Admit,
            SlowStartBudget::UsedUpUntil(at) => Admission::Paced(Some(at)),
        }
    }

    /// What the circuit's own record allows: Retry-After, pacing, its state and the recovery ramp.
    fn admit_by_circuit(&self, circuit: &CircuitBreaker, now: Duration) -> Admission {
        if now < circuit.retry_after_until() {
            return Admission::Wait(Some(circuit.retry_after_until()));
        }
        // Symptom: requests are rejected as over a limit, which rejected requests, trials too, may use up as
        // well. Also covers full queues. It can harm by staying slow for some answers after a limit was met only
        // once.
        let after_last = circuit.last_sent() + seconds(circuit.pacing().interval_seconds());
        let paced_until =
            if self.parameters.has_sparse_traffic { circuit.pacing().postponed_until() } else { after_last };
        let admission = circuit.admission(now);
        if !matches!(admission, Admission::Wait(_)) && now < paced_until {
            return Admission::Wait(Some(paced_until));
        }
        // Only requests sent since the last completion count: older ones, which hang or take long, must not hold
        // the recovery back.
        let unanswered = || circuit.requests_since(circuit.last_completion());
        if admission == Admission::Admit
            && circuit.recovery_request_limit().is_some_and(|most| unanswered() >= most)
        {
            return Admission::Wait(None);
        }
        admission
    }

    /// Symptom: requests are in flight and none has been answered for long. Against a silent or hanging
    /// destination that takes all slots before its first timeout; also covers stalls and slowdowns, which it paces
    /// by their own answers. It can harm by waiting behind one very long request, hence at least two.
    fn is_silent(&self, circuit: &CircuitBreaker, now: Duration) -> bool {
        if circuit.in_flight().len() < 2 || circuit.requests_since(circuit.last_completion()) == 0 {
            return false;
        }
        let oldest = circuit.in_flight().front().map_or(now, |request| request.started_at);
        let since = oldest.max(circuit.last_completion());
        now.saturating_sub(since) > self.straggler_after(circuit)
    }
}
