//! Endpoints and destinations of the endpoint list.

use std::collections::BTreeMap;
use std::ops::Index;
use std::time::Duration;

use super::destination::{Destination, Traffic};
use super::removed_endpoints::RemovedEndpoints;
use super::zones::Zones;
use super::{Endpoint, EndpointKindParameters, EndpointUsage};
use crate::interface::{CircuitScope, DestinationId, EndpointId, EndpointState, EndpointUpdate};

/// Listed endpoints and their destinations, and endpoints that were removed recently.
pub(crate) struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    removed: RemovedEndpoints,
    zones: Zones,
    kinds: Vec<EndpointKindParameters>,
    /// Number of full endpoint lists that were begun; wraps around.
    full_lists_begun: u32,
    /// Whether a full endpoint list has begun and not ended.
    receiving_full_list: bool,
    /// Time until which the endpoints wait for discovery to confirm the list; `None` once it is confirmed.
    unconfirmed_until: Option<Duration>,
}

impl EndpointDirectory {
    /// Returns an empty directory for endpoints of the given kinds.
    pub(crate) fn new(kinds: Vec<EndpointKindParameters>) -> EndpointDirectory {
        EndpointDirectory {
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
            removed: RemovedEndpoints::default(),
            zones: Zones::default(),
            kinds,
            full_lists_begun: 0,
            receiving_full_list: false,
            unconfirmed_until: None,
        }
    }

    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    pub(crate) fn destination_count(&self) -> usize {
        self.destinations.len()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the usage of an endpoint, which is created if absent; `None` if the endpoint is unknown.
    pub(crate) fn usage_mut(&mut self, id: EndpointId) -> Option<&mut EndpointUsage> {
        self.endpoints.get_mut(&id).map(Endpoint::usage_mut)
    }

    /// Returns the usage of an endpoint; `None` if the endpoint is unknown or no usage is recorded.
    pub(crate) fn existing_usage_mut(&mut self, id: EndpointId) -> Option<&mut EndpointUsage> {
        self.endpoints.get_mut(&id).and_then(Endpoint::existing_usage_mut)
    }

    /// Removes the usage of an endpoint unless a request to it is in flight.
    pub(crate) fn remove_idle_usage(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.remove_idle_usage();
        }
    }

    pub(crate) fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    /// Returns the traffic of a destination, which is created if absent.
    pub(crate) fn traffic_mut(&mut self, id: DestinationId) -> &mut Traffic {
        self.destinations.entry(id).or_default().traffic_mut()
    }

    /// Returns whether a destination is known. Before the first listed endpoint, every destination counts as
    /// known.
    pub(crate) fn knows_destination(&self, id: DestinationId) -> bool {
        self.endpoints.is_empty() || self.destinations.contains_key(&id)
    }

    /// Returns the endpoints of a destination, in ascending order.
    fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let endpoints = self.destinations.get(&id).into_iter().flat_map(Destination::endpoints);
        endpoints.filter_map(|id| self.endpoints.get(id).map(|endpoint| (*id, endpoint)))
    }

    /// Returns the endpoints of a destination that accept new requests, in ascending order.
    pub(crate) fn active_endpoints(
        &self,
        id: DestinationId,
    ) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.endpoints_of(id).filter(|(_, endpoint)| endpoint.state == EndpointState::Active)
    }

    /// Returns the number of requests in flight to all endpoints of a destination.
    pub(crate) fn requests_in_flight(&self, id: DestinationId) -> usize {
        self.endpoints_of(id).map(|(_, endpoint)| endpoint.usage().requests_in_flight() as usize).sum()
    }

    fn kind(&self, endpoint: &Endpoint) -> Option<&EndpointKindParameters> {
        endpoint.kind.and_then(|kind| self.kinds.get(usize::from(kind)))
    }

    /// Returns whether the endpoint has a circuit breaker of its own.
    pub(crate) fn has_own_circuit(&self, endpoint: &Endpoint) -> bool {
        self.kind(endpoint).is_some_and(|kind| kind.circuit_per_endpoint)
    }

    /// Returns the maximum number of messages in one request to the endpoint.
    pub(crate) fn max_batch(&self, endpoint: &Endpoint) -> usize {
        self.kind(endpoint).map_or(1, |kind| kind.max_batch)
    }

    /// Returns the name of the endpoint's zone; empty if unknown.
    pub(crate) fn zone_name(&self, endpoint: &Endpoint) -> &str {
        self.zones.name(endpoint.zone)
    }

    /// Returns the scope of the endpoint's circuit breaker.
    pub(crate) fn scope_of(&self, id: EndpointId, endpoint: &Endpoint) -> CircuitScope {
        if self.has_own_circuit(endpoint) {
            CircuitScope::Endpoint(id)
        } else {
            CircuitScope::Destination(endpoint.destination)
        }
    }

    /// Returns the endpoints that share a circuit breaker. The scope of a destination excludes the endpoints
    /// that were removed from the endpoint list.
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

    /// Returns the endpoints that share the endpoint's circuit breaker, including the endpoint.
    pub(crate) fn endpoints_sharing_circuit(&self, id: EndpointId) -> Vec<EndpointId> {
        self.get(id).map_or(vec![id], |endpoint| self.endpoints_in_scope(self.scope_of(id, endpoint)))
    }

    /// Returns the destination of a circuit breaker; `None` if its endpoint is unknown.
    pub(crate) fn destination_of(&self, scope: CircuitScope) -> Option<DestinationId> {
        match scope {
            CircuitScope::Destination(destination) => Some(destination),
            CircuitScope::Endpoint(endpoint) => self.endpoints.get(&endpoint).map(|e| e.destination),
        }
    }

    /// Applies the same change to the usage of each of the given endpoints.
    pub(crate) fn update_usage(&mut self, ids: &[EndpointId], mut change: impl FnMut(&mut EndpointUsage)) {
        for id in ids {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                change(endpoint.usage_mut());
            }
        }
    }
}

// Updates from the endpoint list.
impl EndpointDirectory {
    /// Begins an endpoint list: a full list, or one with only the changed entries.
    pub(crate) fn begin_list(&mut self, full: bool) {
        self.full_lists_begun = self.full_lists_begun.wrapping_add(u32::from(full));
        self.receiving_full_list = full;
    }

    /// Ends an endpoint list. Endpoints that a full list did not contain are marked as removed and returned,
    /// and `changed` is called with the destination of each of them.
    pub(crate) fn finish_list(&mut self, mut changed: impl FnMut(DestinationId)) -> Vec<EndpointId> {
        if !std::mem::take(&mut self.receiving_full_list) {
            return Vec::new();
        }
        let mut removed = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.last_full_list != self.full_lists_begun && endpoint.state != EndpointState::Removed {
                endpoint.state = EndpointState::Removed;
                self.removed.add(*id);
                changed(endpoint.destination);
                removed.push(*id);
            }
        }
        removed
    }

    /// Ends an endpoint list that was not received completely. The entries received so far stay in effect,
    /// and no other endpoint is removed.
    pub(crate) fn abort_list(&mut self) {
        self.receiving_full_list = false;
    }

    /// Marks the list as unconfirmed by discovery. Endpoints wait for the confirmation at most until the given
    /// time.
    pub(crate) fn await_confirmation(&mut self, until: Duration) {
        self.unconfirmed_until = Some(until);
    }

    /// Marks the list as confirmed by discovery.
    pub(crate) fn confirm(&mut self) {
        self.unconfirmed_until = None;
    }

    /// Returns the time until which all endpoints wait for discovery to confirm the list; `None` if any
    /// endpoint may be used.
    pub(crate) fn all_unconfirmed_until(&self, now: Duration) -> Option<Duration> {
        self.unconfirmed_until.filter(|until| now < *until && !self.receiving_full_list)
    }

    /// Returns the time until which an endpoint waits for discovery to confirm it; `None` if it may be used.
    /// A full list confirms each endpoint that it names, even before the list is complete.
    pub(crate) fn endpoint_unconfirmed_until(&self, endpoint: &Endpoint, now: Duration) -> Option<Duration> {
        let named = self.receiving_full_list && endpoint.last_full_list == self.full_lists_begun;
        self.unconfirmed_until.filter(|until| now < *until && !named)
    }

    /// Applies an entry of the endpoint list. `slot_phase` is the offset of the time slots of a new endpoint,
    /// as a fraction of a time slot. Calls `changed` with each destination whose endpoints changed.
    pub(crate) fn apply_update(
        &mut self,
        update: &EndpointUpdate,
        slot_phase: f64,
        mut changed: impl FnMut(DestinationId),
    ) {
        let listed = self.endpoint_from(update, slot_phase);
        let destination = update.destination;
        let previous = match self.endpoints.get_mut(&update.endpoint) {
            None => {
                self.endpoints.insert(update.endpoint, listed);
                None
            }
            Some(known) => {
                known.last_full_list = listed.last_full_list;
                if known.has_same_listing(&listed) {
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

    /// Returns an endpoint without usage, as its entry in the endpoint list describes it.
    fn endpoint_from(&mut self, update: &EndpointUpdate, slot_phase: f64) -> Endpoint {
        let kind = self.kinds.iter().position(|kind| kind.name == update.kind);
        Endpoint {
            destination: update.destination,
            state: update.state,
            weight: update.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(0.0),
            zone: self.zones.number(update.zone),
            kind: kind.and_then(|k| u16::try_from(k).ok()),
            slot_phase,
            last_full_list: self.full_lists_begun,
            usage: None,
        }
    }

    /// Returns at most `max_count` endpoints that were removed more than `retention` ago and have no request
    /// in flight. Endpoints that were removed since the last call get the removal time `now`.
    pub(crate) fn expired_endpoints(
        &mut self,
        now: Duration,
        retention: Duration,
        max_count: usize,
    ) -> Vec<EndpointId> {
        self.removed.set_removal_times(now);
        let idle = |id: &EndpointId| self.get(*id).is_none_or(|e| e.usage().requests_in_flight() == 0);
        self.removed.older_than(now, retention).filter(idle).take(max_count).collect()
    }

    /// Deletes the record of an endpoint. Returns its destination, or `None` if the endpoint is unknown.
    pub(crate) fn delete_endpoint(&mut self, id: EndpointId) -> Option<DestinationId> {
        self.removed.remove(id);
        let endpoint = self.endpoints.remove(&id)?;
        self.removed.record_deleted(id);
        if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
            destination.remove(id);
        }
        Some(endpoint.destination)
    }

    /// Returns whether a destination has a record but no endpoints; false if the destination is unknown.
    pub(crate) fn destination_has_no_endpoints(&self, id: DestinationId) -> bool {
        self.destinations.get(&id).is_some_and(|destination| destination.endpoints().is_empty())
    }

    pub(crate) fn delete_destination(&mut self, id: DestinationId) {
        self.destinations.remove(&id);
    }

    /// Returns the endpoints whose records were deleted since the last call.
    pub(crate) fn take_deleted_endpoints(&mut self) -> Vec<EndpointId> {
        self.removed.take_deleted_endpoints()
    }
}

impl Endpoint {
    /// Returns whether both endpoints have equal entries in the endpoint list.
    fn has_same_listing(&self, other: &Endpoint) -> bool {
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
