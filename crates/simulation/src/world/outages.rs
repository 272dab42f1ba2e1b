//! Outages and recovery of endpoints, and overload of endpoints that are still in slow start.

use super::event::Event;
use super::state::World;
use crate::ids::{DestinationIndex, EndpointIndex, ForwarderIndex};
use crate::observed::RecoveryLoad;
use crate::received_work::ReceivedWork;
use crate::report::rounded;
use crate::simulated_endpoint::{overload_budget, OutageCause, Overload};

impl World<'_> {
    /// Returns whether all endpoints of a destination are down or removed.
    pub(super) fn is_destination_down(&self, destination: DestinationIndex) -> bool {
        let endpoints = &self.destinations[destination.0].endpoints;
        endpoints.iter().all(|endpoint| {
            let state = &self.endpoints[endpoint.0];
            state.is_down() || state.removed
        })
    }

    /// Starts an outage of an endpoint. Outages of one endpoint may overlap.
    pub(super) fn start_outage(&mut self, endpoint: EndpointIndex) {
        let now = self.now();
        let state = &mut self.endpoints[endpoint.0];
        state.active_outages += 1;
        if state.active_outages == 1 {
            state.down_since = Some(now);
            self.invariants.record_outage_start(endpoint);
        }
    }

    /// Ends an outage of an endpoint. The endpoint recovers when its last outage ends.
    pub(super) fn end_outage(&mut self, endpoint: EndpointIndex, cause: OutageCause) {
        let now = self.now();
        let state = &mut self.endpoints[endpoint.0];
        state.active_outages = state.active_outages.saturating_sub(1);
        if state.active_outages == 0 {
            state.recover(now, cause);
            let since = state.down_since.take().unwrap_or(now);
            self.outage_traffic.endpoint_seconds += now.saturating_sub(since).as_secs_f64();
        }
    }

    /// Adds received work to an endpoint. If this overloads a recovering endpoint, an outage starts.
    pub(super) fn receive_work(&mut self, endpoint: EndpointIndex, amount: f64, sender: ForwarderIndex) {
        let now = self.now();
        let settings = &self.scenario.recovery;
        let overload = self.endpoints[endpoint.0].receive_work(now, amount, sender, settings);
        self.observe_warm_up(endpoint, overload.as_ref());
        let Some(overload) = overload else { return };
        self.account.overloads += 1;
        self.invariants.check_overload(now, endpoint, &overload.received, overload.budget);
        let until = now + settings.overload_outage.0;
        self.endpoints[endpoint.0].overloaded_until = Some(until);
        self.schedule.schedule(until, Event::OverloadEnds(endpoint));
        self.start_outage(endpoint);
        self.reset_connections(endpoint);
    }

    /// Ends the outage that an overload caused.
    pub(super) fn end_overload(&mut self, endpoint: EndpointIndex) {
        self.endpoints[endpoint.0].overloaded_until = None;
        self.end_outage(endpoint, OutageCause::Overload);
    }

    /// Resets all connections to an endpoint. The requests on them are lost, and their senders see the reset.
    pub(super) fn reset_connections(&mut self, endpoint: EndpointIndex) {
        for request in self.endpoints[endpoint.0].reset_connections() {
            self.schedule_connection_reset(request);
        }
    }

    /// Records the overload window of a recovering endpoint if it is the worst of the recovery.
    fn observe_warm_up(&mut self, endpoint: EndpointIndex, overload: Option<&Overload>) {
        if let Some(ramp) = self.worse_window(endpoint, overload) {
            if let Some(last) = self.endpoints[endpoint.0].recoveries.last_mut() {
                last.set_worst_load(ramp);
            }
        }
    }

    /// Returns the current overload window of a recovering endpoint if it is worse than all windows before.
    fn worse_window(&self, endpoint: EndpointIndex, overload: Option<&Overload>) -> Option<RecoveryLoad> {
        let now = self.now();
        let state = &self.endpoints[endpoint.0];
        let last = state.recoveries.last()?;
        let window = state.warm_up_window(now, &self.scenario.recovery)?;
        let sender_is_aware = |work: &&ReceivedWork| self.invariants.knows_of_outage(work.sender, endpoint);
        let (sum, known) = match overload {
            Some(overload) => {
                let received = &overload.received;
                (ReceivedWork::total(received), ReceivedWork::total(received.iter().filter(sender_is_aware)))
            }
            None => (window.total, ReceivedWork::total(window.received.iter().filter(sender_is_aware))),
        };
        let budget = overload_budget(window.allowed);
        if !last.is_worse(sum, budget) {
            return None;
        }
        let destination = state.plan.destination;
        let baseline_per_s = self.layout.destinations[destination.0].baseline_per_s;
        Some(RecoveryLoad {
            after_s: rounded(now.saturating_sub(last.at).as_secs_f64()),
            received_work: rounded(sum),
            allowed_work: rounded(window.allowed),
            budget: rounded(budget),
            informed_work: rounded(known),
            overloaded: overload.is_some(),
            ..last.worst_load(endpoint, destination, baseline_per_s)
        })
    }
}
