//! Endpoints and destinations as the list tells of them. What is only listed costs little: what is learned from calls
//! stands apart, and exists for endpoints in use alone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use indexmap::IndexSet;
use smallvec::SmallVec;

use crate::interface::{DestinationId, EndpointId, EndpointState, EndpointUpdate};
use crate::state::{CircuitBreaker, CircuitScope, DeliveryPolicy};

/// Gone endpoints that one turn forgets at most, so that a list which drops many does not hold a turn up.
const FORGOTTEN_A_TURN: usize = 1_000;

/// Lives as long as the endpoint is listed, and a while after.
pub struct Endpoint {
    pub destination: DestinationId,
    pub state: EndpointState,
    /// As listed; 0 where none is.
    weight: f64,
    pub(crate) zone: ZoneNumber,
    pub(crate) kind: Option<u16>,
    /// Where in time this forwarder's turns at it begin, in turns.
    pub slot_phase: f64,
    /// The last whole list that named it.
    named_by: u32,
    usage: Option<Box<Usage>>,
}

/// What calls have shown of an endpoint.
#[derive(Default)]
pub struct Usage {
    /// Calls a second that its route's limit allows, by the last report.
    pub limit: Option<f64>,
    /// Credit earned by answers, spent by further attempts; none before the first answer.
    pub retry_tokens: Option<f64>,
    pub requests_in_flight: u32,
    /// Failures of each class since its last answer.
    pub consecutive_failures: BTreeMap<usize, u32>,
    /// Last evidence that it may be down or cold.
    pub last_fault: Option<Duration>,
    pub recent_load: VecDeque<(Duration, f64)>,
    pub last_sent: Duration,
    /// When its last call ended, if that ended with an answer, which leaves a connection idle.
    pub answered: Option<Duration>,
}

impl Usage {
    /// Drops pushes and trouble that are older than this; the last push is kept.
    pub(crate) fn forget_stale_records(
        &mut self,
        now: Duration,
        pushes_for: Duration,
        trouble_for: Duration,
    ) {
        while self.recent_load.len() > 1 && now.saturating_sub(self.recent_load[0].0) > pushes_for {
            self.recent_load.pop_front();
        }
        self.last_fault = self.last_fault.filter(|at| now <= *at + trouble_for);
    }
}

/// What is known of an endpoint that was never called.
static UNUSED: Usage = Usage {
    limit: None,
    retry_tokens: None,
    requests_in_flight: 0,
    consecutive_failures: BTreeMap::new(),
    last_fault: None,
    recent_load: VecDeque::new(),
    last_sent: Duration::ZERO,
    answered: None,
};

impl Endpoint {
    pub(crate) fn weight(&self) -> Option<f64> {
        Some(self.weight).filter(|w| *w > 0.0)
    }

    pub(crate) fn usage(&self) -> &Usage {
        self.usage.as_deref().unwrap_or(&UNUSED)
    }

    pub(crate) fn usage_mut(&mut self) -> &mut Usage {
        self.usage.get_or_insert_default()
    }

    /// The same, for what matters only of an endpoint that was called.
    pub(crate) fn usage_if_any(&mut self) -> Option<&mut Usage> {
        self.usage.as_deref_mut()
    }

    pub(crate) fn forget_usage(&mut self) {
        self.usage = None;
    }
}

/// What is listed for one destination, and what was submitted for it.
#[derive(Default)]
pub struct Destination {
    /// In ascending order.
    pub endpoints: SmallVec<[EndpointId; 2]>,
    traffic: Option<Box<Traffic>>,
}

/// What was submitted for one destination.
#[derive(Default)]
pub struct Traffic {
    pub arrivals: u64,
    /// Arrivals, each counted less as it recedes, and when that was reckoned.
    pub recent_rate: f64,
    pub reckoned: Duration,
    pub first_seen: Duration,
    /// The last call that went to the destination.
    pub last_turn: u64,
}

static NO_TRAFFIC: Traffic = Traffic {
    arrivals: 0,
    recent_rate: 0.0,
    reckoned: Duration::ZERO,
    first_seen: Duration::ZERO,
    last_turn: 0,
};

impl Destination {
    pub(crate) fn traffic(&self) -> &Traffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    pub(crate) fn traffic_mut(&mut self) -> &mut Traffic {
        self.traffic.get_or_insert_default()
    }

    fn add(&mut self, endpoint: EndpointId) {
        if let Err(at) = self.endpoints.binary_search(&endpoint) {
            self.endpoints.insert(at, endpoint);
        }
    }

    fn remove(&mut self, endpoint: EndpointId) {
        if let Ok(at) = self.endpoints.binary_search(&endpoint) {
            self.endpoints.remove(at);
        }
    }
}

impl Traffic {
    /// Arrivals within about this span before now.
    pub(crate) fn lately_at(&self, now: Duration, span: Duration) -> f64 {
        let spans = now.saturating_sub(self.reckoned).as_secs_f64() / span.as_secs_f64().max(0.001);
        self.recent_rate * (-spans).exp()
    }
}

/// Stands for a zone's name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneNumber(u16);

impl PartialEq for ZoneNumber {
    /// A zone beyond those that can be numbered equals none, not even itself.
    fn eq(&self, other: &ZoneNumber) -> bool {
        self.0 == other.0 && *self != ZoneNumber::BEYOND
    }
}

impl ZoneNumber {
    const BEYOND: ZoneNumber = ZoneNumber(u16::MAX);
}

/// The names of zones, each kept once.
#[derive(Default)]
pub struct Zones(IndexSet<String>);

impl Zones {
    fn number(&mut self, name: &str) -> ZoneNumber {
        let known = self.0.get_index_of(name);
        let room = self.0.len() < usize::from(u16::MAX);
        let number = known.or_else(|| room.then(|| self.0.insert_full(name.to_owned()).0));
        number.and_then(|n| u16::try_from(n).ok()).map_or(ZoneNumber::BEYOND, ZoneNumber)
    }

    pub(crate) fn name(&self, zone: ZoneNumber) -> &str {
        self.0.get_index(zone.0.into()).map_or("", String::as_str)
    }
}

/// Endpoints that are listed no more, until they are forgotten.
#[derive(Default)]
pub struct RemovedEndpoints {
    /// Gone since the last turn.
    fresh: BTreeSet<EndpointId>,
    since: BTreeMap<EndpointId, Duration>,
    by_time: BTreeSet<(Duration, EndpointId)>,
    forgotten: Vec<EndpointId>,
}

impl RemovedEndpoints {
    fn add(&mut self, endpoint: EndpointId) {
        if !self.since.contains_key(&endpoint) {
            self.fresh.insert(endpoint);
        }
    }

    fn remove(&mut self, endpoint: EndpointId) {
        self.fresh.remove(&endpoint);
        if let Some(since) = self.since.remove(&endpoint) {
            self.by_time.remove(&(since, endpoint));
        }
    }

    /// From now on the fresh ones count as gone.
    fn stamp(&mut self, now: Duration) {
        for endpoint in std::mem::take(&mut self.fresh) {
            self.since.insert(endpoint, now);
            self.by_time.insert((now, endpoint));
        }
    }
}

impl DeliveryPolicy {
    /// The list of endpoints is about to be told, whole or only what changed.
    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.poll_backoff = Duration::ZERO;
        self.whole_lists = self.whole_lists.wrapping_add(u32::from(whole));
        self.telling_whole = whole;
    }

    /// The list has been told; what a whole one did not name is gone. Returns the endpoints that went with it.
    pub fn finish_endpoint_list(&mut self) -> Vec<EndpointId> {
        if !std::mem::take(&mut self.telling_whole) {
            return Vec::new();
        }
        let mut dropped = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.named_by != self.whole_lists && endpoint.state != EndpointState::Removed {
                endpoint.state = EndpointState::Removed;
                self.gone.add(*id);
                self.queue.touch(endpoint.destination);
                dropped.push(*id);
            }
        }
        dropped
    }

    /// The list broke off before its end: what was told of it holds, and what it did not name stays.
    pub fn abort_endpoint_list(&mut self) {
        self.telling_whole = false;
    }

    /// Endpoints that were dropped from memory since the last call; a host need not know them any longer.
    pub fn take_removed_endpoints(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.gone.forgotten)
    }

    /// Enters one line of the list.
    pub(crate) fn apply_update(&mut self, listing: &EndpointUpdate, slot_phase: f64) {
        let kind = self.parameters.endpoint_kinds.iter().position(|k| k.name == listing.kind);
        let kind = kind.and_then(|k| u16::try_from(k).ok());
        let zone = self.zones.number(listing.zone);
        let weight = listing.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(0.0);
        let named_by = self.whole_lists;
        let destination = listing.destination;
        let listed = Endpoint {
            destination,
            state: listing.state,
            weight,
            zone,
            kind,
            slot_phase,
            named_by,
            usage: None,
        };
        let before = match self.endpoints.get_mut(&listing.endpoint) {
            None => {
                self.endpoints.insert(listing.endpoint, listed);
                None
            }
            Some(known) => {
                known.named_by = named_by;
                let as_known = known.destination == destination
                    && known.state == listing.state
                    && known.weight == weight
                    && known.zone == zone
                    && known.kind == kind;
                if as_known {
                    return;
                }
                let (slot_phase, usage) = (known.slot_phase, known.usage.take());
                let before = std::mem::replace(known, Endpoint { slot_phase, usage, ..listed });
                Some(before.destination)
            }
        };
        if let Some(before) = before.filter(|before| *before != destination) {
            if let Some(d) = self.destinations.get_mut(&before) {
                d.remove(listing.endpoint);
            }
            self.queue.touch(before);
        }
        self.destinations.entry(destination).or_default().add(listing.endpoint);
        self.queue.touch(destination);
        if listing.state == EndpointState::Removed {
            self.gone.add(listing.endpoint);
        } else {
            self.gone.remove(listing.endpoint);
        }
    }

    /// Drops endpoints that have been gone for so long, with their circuits, and destinations that have none left
    /// and hold nothing: where endpoints are replaced all day, these would fill the memory.
    pub(crate) fn remove_endpoints(&mut self, now: Duration, keep: Duration) {
        self.gone.stamp(now);
        let past = self.gone.by_time.iter().take_while(|(since, _)| now > *since + keep).map(|(_, id)| *id);
        let idle = |id: &EndpointId| self.endpoints.get(id).is_none_or(|t| t.usage().requests_in_flight == 0);
        let past: Vec<EndpointId> = past.filter(idle).take(FORGOTTEN_A_TURN).collect();
        for id in past {
            self.gone.remove(id);
            let Some(endpoint) = self.endpoints.remove(&id) else { continue };
            self.gone.forgotten.push(id);
            self.circuits.remove(&CircuitScope::Endpoint(id));
            self.queue.touch(endpoint.destination);
            let Some(d) = self.destinations.get_mut(&endpoint.destination) else { continue };
            d.remove(id);
            if d.endpoints.is_empty() && self.queue.line(endpoint.destination).is_none() {
                self.destinations.remove(&endpoint.destination);
                self.circuits.remove(&CircuitScope::Destination(endpoint.destination));
            }
        }
    }

    pub(crate) fn has_own_circuit(&self, endpoint: &Endpoint) -> bool {
        endpoint
            .kind
            .and_then(|k| self.parameters.endpoint_kinds.get(usize::from(k)))
            .is_some_and(|k| k.circuit_per_endpoint)
    }

    /// Messages in one call to an endpoint at most.
    pub(crate) fn batch(&self, endpoint: &Endpoint) -> usize {
        endpoint
            .kind
            .and_then(|k| self.parameters.endpoint_kinds.get(usize::from(k)))
            .map_or(1, |k| k.max_batch)
    }

    /// Whether the list has named a destination. While it has named none it cannot be told by.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.endpoints.is_empty() || self.destinations.contains_key(&destination)
    }

    fn targets_of(&self, destination: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let endpoints = self.destinations.get(&destination).into_iter().flat_map(|d| &d.endpoints);
        endpoints.filter_map(|id| self.endpoints.get(id).map(|t| (*id, t)))
    }

    /// The endpoints that the list has for a destination now.
    pub(crate) fn active(&self, destination: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.targets_of(destination).filter(|(_, t)| t.state == EndpointState::Active)
    }

    pub(crate) fn circuits_of(&self, destination: DestinationId) -> impl Iterator<Item = &CircuitBreaker> {
        self.active(destination).filter_map(|(id, t)| self.circuits.get(&self.scope_of(id, t)))
    }

    /// When the first of a destination's endpoints may be called again, as far as waits go.
    pub(crate) fn available_at(&self, destination: DestinationId) -> Duration {
        self.circuits_of(destination).map(|c| c.retry_after_until).min().unwrap_or_default()
    }

    /// Whether a connection to the endpoint is likely to stand idle.
    pub(crate) fn connected(&self, endpoint: &Endpoint, now: Duration) -> bool {
        let usage = endpoint.usage();
        usage.requests_in_flight == 0
            && usage.answered.is_some_and(|at| now < at + self.parameters.connection_idle_timeout)
    }

    /// Further attempts that an endpoint has to its credit.
    pub(crate) fn retry_tokens(&self, endpoint: &Endpoint) -> f64 {
        endpoint.usage().retry_tokens.unwrap_or(self.parameters.initial_retry_tokens)
    }

    /// Whether the list tells how many calls with many messages a route takes.
    pub(crate) fn rate_counts_batches(&self, endpoint: &Endpoint) -> bool {
        self.has_own_circuit(endpoint) && self.batch(endpoint) > 1 && self.rate(endpoint).is_some()
    }

    /// Calls out to all endpoints of a destination.
    pub(crate) fn requests_in_flight(&self, destination: DestinationId) -> usize {
        self.targets_of(destination).map(|(_, t)| t.usage().requests_in_flight as usize).sum()
    }

    /// The endpoints that share a route's fate.
    pub(crate) fn endpoints_of(&self, scope: CircuitScope) -> Vec<EndpointId> {
        match scope {
            CircuitScope::Endpoint(endpoint) => vec![endpoint],
            CircuitScope::Destination(destination) => {
                let listed = self.targets_of(destination).filter(|(_, t)| t.state != EndpointState::Removed);
                listed.map(|(id, _)| id).collect()
            }
        }
    }

    /// The endpoints that a wait holds for, if one of them tells it.
    pub fn endpoints_sharing_circuit(&self, id: EndpointId) -> Vec<EndpointId> {
        self.endpoints.get(&id).map_or(vec![id], |t| self.endpoints_of(self.scope_of(id, t)))
    }

    pub(crate) fn scope_of(&self, id: EndpointId, endpoint: &Endpoint) -> CircuitScope {
        if self.has_own_circuit(endpoint) {
            CircuitScope::Endpoint(id)
        } else {
            CircuitScope::Destination(endpoint.destination)
        }
    }

    /// The destination that a route belongs to, as far as its endpoint is known.
    pub(crate) fn destination_of(&self, scope: CircuitScope) -> Option<DestinationId> {
        match scope {
            CircuitScope::Destination(destination) => Some(destination),
            CircuitScope::Endpoint(endpoint) => self.endpoints.get(&endpoint).map(|t| t.destination),
        }
    }

    /// The same change to what is known of each of these endpoints.
    pub(crate) fn change(&mut self, endpoints: &[EndpointId], mut change: impl FnMut(&mut Usage)) {
        for id in endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                change(endpoint.usage_mut());
            }
        }
    }
}
