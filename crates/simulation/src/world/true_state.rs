//! The true state of the simulation, for the upper-bound policy.

use reeddock::EndpointId;

use super::endpoints::WORK_PER_EXTRA_MESSAGE;
use super::external_ids::endpoint_index;
use super::state::World;
use crate::fault::Fault;
use crate::ids::{EndpointIndex, ForwarderIndex};
use crate::policy::WorldView;

/// Maximum share of an endpoint's queue that the upper-bound policy fills.
const MAX_QUEUE_SHARE: f64 = 0.5;

/// A view of the true state for the policy of one forwarder.
pub(super) struct TrueState<'w, 'a> {
    world: &'w World<'a>,
    forwarder: ForwarderIndex,
}

impl<'w, 'a> TrueState<'w, 'a> {
    pub(super) fn new(world: &'w World<'a>, forwarder: ForwarderIndex) -> TrueState<'w, 'a> {
        TrueState { world, forwarder }
    }
}

impl WorldView for TrueState<'_, '_> {
    fn would_accept(&self, endpoint: EndpointId, class: usize, sent_before: u32) -> bool {
        endpoint_index(endpoint).is_some_and(|endpoint| {
            self.world.is_usable(endpoint, class)
                && self.world.has_connection(endpoint, self.forwarder)
                && self.world.has_capacity(endpoint, sent_before)
        })
    }

    fn load(&self, endpoint: EndpointId) -> f64 {
        let state = endpoint_index(endpoint).and_then(|endpoint| self.world.endpoints.get(endpoint.0));
        state.map_or(f64::MAX, |state| state.unfinished_requests() as f64 / state.plan.workers as f64)
    }

    fn slowdown(&self, endpoint: EndpointId) -> f64 {
        endpoint_index(endpoint).map_or(f64::MAX, |endpoint| self.world.slowdown(endpoint))
    }
}

impl World<'_> {
    /// Returns whether an endpoint is up and executes messages of a class.
    fn is_usable(&self, endpoint: EndpointIndex, class: usize) -> bool {
        let name = &self.scenario.classes[class].name;
        let fails = self.has_fault(endpoint, |fault| match fault {
            Fault::ClassFails { class, .. } => class == name,
            fault => fault.is_outage(),
        });
        !fails && !self.refuses_connections(endpoint)
    }

    /// Returns whether a forwarder has an idle connection to an endpoint or can make a new one.
    fn has_connection(&self, endpoint: EndpointIndex, forwarder: ForwarderIndex) -> bool {
        let state = &self.endpoints[endpoint.0];
        let max_connections = self.kind_of(state.plan.destination).max_connections;
        max_connections.is_none_or(|max| state.connections < max)
            || state.idle_connections.contains_key(&forwarder)
    }

    /// Returns whether all limits allow one more full request in addition to those in transit and
    /// `sent_before` requests that are not in transit yet.
    fn has_capacity(&self, endpoint: EndpointIndex, sent_before: u32) -> bool {
        let now = self.now();
        let state = &self.endpoints[endpoint.0];
        let (destination, recovery) = (state.plan.destination, &self.scenario.recovery);
        let max_batch = self.kind_of(destination).max_batch;
        let full_request = 1.0 + WORK_PER_EXTRA_MESSAGE * f64::from(max_batch - 1);
        let work = full_request * f64::from(state.in_transit + sent_before + 1);
        if state.remaining_allowance(now, recovery) < work {
            return false;
        }
        let in_transit_to = |endpoint: &EndpointIndex| self.endpoints[endpoint.0].in_transit;
        let in_transit: u32 = self.destinations[destination.0].endpoints.iter().map(in_transit_to).sum();
        let shared = self.destinations[destination.0].limit.clone().available(now);
        let own = state.limit.clone().available(now);
        let load = state.unfinished_requests() + sent_before as usize;
        let working = (state.plan.workers as f64 * state.warmth(now, recovery)).max(1.0);
        shared - f64::from(in_transit + sent_before) >= 1.0
            && own - f64::from(state.in_transit + sent_before) >= 1.0
            && (load as f64) < working + MAX_QUEUE_SHARE * state.plan.max_queued as f64
    }
}
