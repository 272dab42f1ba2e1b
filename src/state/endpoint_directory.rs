//! All endpoints and destinations, as the endpoint list names them.

use std::collections::BTreeMap;
use std::ops::Index;
use std::time::Duration;

use super::destination::{Destination, Traffic};
use super::removed_endpoints::RemovedEndpoints;
use super::zones::Zones;
use super::{Endpoint, EndpointKindParameters, EndpointUsage};
use crate::interface::{CircuitScope, DestinationId, EndpointId, EndpointState, EndpointUpdate};

/// All endpoints and destinations, with those that have left the list recently.
pub(crate) struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    removed: RemovedEndpoints,
    zones: Zones,
    kinds: Vec<EndpointKindParameters>,
    /// Whole lists that were begun so far; counts on from its start when it is used up.
    whole_lists: u32,
    /// A whole list has begun and not ended.
    receiving_whole_list: bool,
}

impl EndpointDirectory {
    /// An empty one, for endpoints of these kinds.
    pub(crate) fn new(kinds: Vec<EndpointKindParameters>) -> EndpointDirectory {
        EndpointDirectory {
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
            removed: RemovedEndpoints::default(),
            zones: Zones::default(),
            kinds,
            whole_lists: 0,
            receiving_whole_list: false,
        }
    }

    /// How many endpoints are kept.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// How many destinations are kept.
    pub(crate) fn destination_count(&self) -> usize {
        self.destinations.len()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// What requests have shown of an endpoint, made if there was none yet.
    pub(crate) fn usage_mut(&mut self, id: EndpointId) -> Option<&mut EndpointUsage> {
        self.endpoints.get_mut(&id).map(Endpoint::usage_mut)
    }

    /// The same, for what matters only of an endpoint that requests were sent to.
    pub(crate) fn existing_usage_mut(&mut self, id: EndpointId) -> Option<&mut EndpointUsage> {
        self.endpoints.get_mut(&id).and_then(Endpoint::existing_usage_mut)
    }

    /// Drops what requests have shown of an endpoint, unless one is in flight to it.
    pub(crate) fn forget_idle_usage(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.forget_idle_usage();
        }
    }

    pub(crate) fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    /// The traffic of a destination, which is inserted if it is not known yet.
    pub(crate) fn traffic_mut(&mut self, id: DestinationId) -> &mut Traffic {
        self.destinations.entry(id).or_default().traffic_mut()
    }

    /// Whether the list has named a destination. While it has named no endpoint, nothing is known to be missing.
    pub(crate) fn knows_destination(&self, id: DestinationId) -> bool {
        self.endpoints.is_empty() || self.destinations.contains_key(&id)
    }

    /// All endpoints of a destination, in ascending order.
    fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let endpoints = self.destinations.get(&id).into_iter().flat_map(Destination::endpoints);
        endpoints.filter_map(|id| self.endpoints.get(id).map(|endpoint| (*id, endpoint)))
    }

    /// The endpoints of a destination that take new requests, in ascending order.
    pub(crate) fn active_endpoints(
        &self,
        id: DestinationId,
    ) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.endpoints_of(id).filter(|(_, endpoint)| endpoint.state == EndpointState::Active)
    }

    /// Requests in flight to all endpoints of a destination.
    pub(crate) fn requests_in_flight(&self, id: DestinationId) -> usize {
        self.endpoints_of(id).map(|(_, endpoint)| endpoint.usage().requests_in_flight() as usize).sum()
    }

    fn kind(&self, endpoint: &Endpoint) -> Option<&EndpointKindParameters> {
        endpoint.kind.and_then(|kind| self.kinds.get(usize::from(kind)))
    }

    /// Whether the endpoint has a circuit of its own, and shares none with its destination.
    pub(crate) fn has_own_circuit(&self, endpoint: &Endpoint) -> bool {
        self.kind(endpoint).is_some_and(|kind| kind.circuit_per_endpoint)
    }

    /// Most messages in one request to the endpoint.
    pub(crate) fn max_batch(&self, endpoint: &Endpoint) -> usize {
        self.kind(endpoint).map_or(1, |kind| kind.max_batch)
    }

    /// The name of the endpoint's zone; empty if unknown.
    pub(crate) fn zone_name(&self, endpoint: &Endpoint) -> &str {
        self.zones.name(endpoint.zone)
    }

    /// What the endpoint's circuit is kept for.
    pub(crate) fn scope_of(&self, id: EndpointId, endpoint: &Endpoint) -> CircuitScope {
        if self.has_own_circuit(endpoint) {
            CircuitScope::Endpoint(id)
        } else {
            CircuitScope::Destination(endpoint.destination)
        }
    }

    /// The endpoints that share a circuit.
    pub(crate) fn endpoints_in_scope(&self, scope: CircuitScope) -> Vec<EndpointId> {
        match scope {
            CircuitScope::Endpoint(endpoint) => vec![endpoint],
            CircuitScope::Destination(destination) => {
                let endpoints = self.endpoints_of(destination);
                let listed = endpoints.filter(|(_, endpoint)| endpoint.state != EndpointState::Removed);
                listed.map(|(id, _)| id).collect()
            }
        }
    }

    /// The endpoints that share this one's circuit, itself included.
    pub(crate) fn endpoints_sharing_circuit(&self, id: EndpointId) -> Vec<EndpointId> {
        self.get(id).map_or(vec![id], |endpoint| self.endpoints_in_scope(self.scope_of(id, endpoint)))
    }

    /// The destination that a circuit belongs to, as far as its endpoint is known.
    pub(crate) fn destination_of(&self, scope: CircuitScope) -> Option<DestinationId> {
        match scope {
            CircuitScope::Destination(destination) => Some(destination),
            CircuitScope::Endpoint(endpoint) => self.endpoints.get(&endpoint).map(|e| e.destination),
        }
    }

    /// Makes the same change to what is known of each of these endpoints.
    pub(crate) fn update_usage(&mut self, ids: &[EndpointId], mut change: impl FnMut(&mut EndpointUsage)) {
        for id in ids {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                change(endpoint.usage_mut());
            }
        }
    }
}

// Keeping up with the endpoint list.
impl EndpointDirectory {
    /// Updates follow: those of a whole list, or only what changed.
    pub(crate) fn begin_list(&mut self, whole: bool) {
        self.whole_lists = self.whole_lists.wrapping_add(u32::from(whole));
        self.receiving_whole_list = whole;
    }

    /// The list is complete; what a whole one did not name is removed. Returns the endpoints that went with it
    /// and calls `changed` with the destination of each.
    pub(crate) fn finish_list(&mut self, mut changed: impl FnMut(DestinationId)) -> Vec<EndpointId> {
        if !std::mem::take(&mut self.receiving_whole_list) {
            return Vec::new();
        }
        let mut dropped = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.named_by != self.whole_lists && endpoint.state != EndpointState::Removed {
                endpoint.state = EndpointState::Removed;
                self.removed.add(*id);
                changed(endpoint.destination);
                dropped.push(*id);
            }
        }
        dropped
    }

    /// The list ended early: the entries received so far are in force, and endpoints that it did not name stay.
    pub(crate) fn abort_list(&mut self) {
        self.receiving_whole_list = false;
    }

    /// Applies one entry of the list. A new endpoint gets the given slot phase. Calls `changed` with each
    /// destination whose endpoints changed.
    pub(crate) fn apply_update(
        &mut self,
        update: &EndpointUpdate,
        slot_phase: f64,
        mut changed: impl FnMut(DestinationId),
    ) {
        let listed = self.listed(update, slot_phase);
        let destination = update.destination;
        let previous = match self.endpoints.get_mut(&update.endpoint) {
            None => {
                self.endpoints.insert(update.endpoint, listed);
                None
            }
            Some(known) => {
                known.named_by = listed.named_by;
                if known.is_listed_as(&listed) {
                    return;
                }
                let (slot_phase, usage) = (known.slot_phase, known.usage.take());
                let previous = std::mem::replace(known, Endpoint { slot_phase, usage, ..listed });
                Some(previous.destination)
            }
        };
        if let Some(previous) = previous.filter(|previous| *previous != destination) {
            if let Some(d) = self.destinations.get_mut(&previous) {
                d.remove(update.endpoint);
            }
            changed(previous);
        }
        self.destinations.entry(destination).or_default().add(update.endpoint);
        changed(destination);
        if update.state == EndpointState::Removed {
            self.removed.add(update.endpoint);
        } else {
            self.removed.remove(update.endpoint);
        }
    }

    /// An endpoint as an entry of the list describes it.
    fn listed(&mut self, update: &EndpointUpdate, slot_phase: f64) -> Endpoint {
        let kind = self.kinds.iter().position(|kind| kind.name == update.kind);
        Endpoint {
            destination: update.destination,
            state: update.state,
            weight: update.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(0.0),
            zone: self.zones.number(update.zone),
            kind: kind.and_then(|k| u16::try_from(k).ok()),
            slot_phase,
            named_by: self.whole_lists,
            usage: None,
        }
    }

    /// Endpoints that have been removed for longer than this span and have no request in flight; at most so many
    /// of them. Those that were removed since the last call count as removed now.
    pub(crate) fn expired_endpoints(
        &mut self,
        now: Duration,
        keep: Duration,
        most: usize,
    ) -> Vec<EndpointId> {
        self.removed.stamp(now);
        let idle = |id: &EndpointId| self.get(*id).is_none_or(|e| e.usage().requests_in_flight() == 0);
        self.removed.older_than(now, keep).filter(idle).take(most).collect()
    }

    /// Forgets an endpoint. Returns its destination, if the endpoint was known.
    pub(crate) fn forget_endpoint(&mut self, id: EndpointId) -> Option<DestinationId> {
        self.removed.remove(id);
        let endpoint = self.endpoints.remove(&id)?;
        self.removed.record_forgotten(id);
        if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
            destination.remove(id);
        }
        Some(endpoint.destination)
    }

    /// Whether a destination is kept that has no endpoint left.
    pub(crate) fn is_without_endpoints(&self, id: DestinationId) -> bool {
        self.destinations.get(&id).is_some_and(|destination| destination.endpoints().is_empty())
    }

    pub(crate) fn forget_destination(&mut self, id: DestinationId) {
        self.destinations.remove(&id);
    }

    /// Takes the endpoints that were forgotten since the last call.
    pub(crate) fn take_forgotten(&mut self) -> Vec<EndpointId> {
        self.removed.take_forgotten()
    }
}

impl Endpoint {
    /// Whether the list says of it what it says of the other.
    fn is_listed_as(&self, other: &Endpoint) -> bool {
        self.destination == other.destination
            && self.state == other.state
            && self.weight == other.weight
            && self.zone == other.zone
            && self.kind == other.kind
    }
}

impl Index<EndpointId> for EndpointDirectory {
    type Output = Endpoint;

    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[&id]
    }
}
