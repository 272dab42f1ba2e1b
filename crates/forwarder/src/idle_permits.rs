//! Which kinds of endpoint have no room for idle connections. Decides alone, without I/O.

use std::time::Duration;

use hashbrown::HashMap;
use reeddock::EndpointId;
use tokio::time::Instant;

/// A kind that has turned no connection away for so long is trusted to have room again. Several times what most
/// endpoints let a connection stand idle, so that a fleet does not fill them anew at each lapse.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Endpoints hold only so many connections, idle ones counted. Where forwarders outnumber them, those that came first
/// keep all places with connections that they use now and then, and the others are rejected for good. Who holds
/// one is not rejected there, but at other endpoints of the kind: so what one endpoint of a kind says goes for all.
#[derive(Default)]
pub struct IdlePermits {
    /// The kind of each endpoint, by its number, as its place among the kinds.
    kind_of: HashMap<u32, u32>,
    kinds: Vec<Kind>,
}

struct Kind {
    name: Box<str>,
    /// How many are listed; with none its place is free for another kind.
    endpoints: usize,
    /// When one of them last had no room.
    turned_away: Option<Instant>,
}

impl IdlePermits {
    pub fn listed(&mut self, endpoint: EndpointId, kind: &str) {
        let cached_list = self.kind_of.get(&endpoint.0).copied();
        if cached_list.is_some_and(|place| {
            self.kinds.get(place as usize).is_some_and(|cached_list| &*cached_list.name == kind)
        }) {
            return;
        }
        self.forget(endpoint);
        let place = self.place_of(kind);
        self.kinds[place].endpoints += 1;
        self.kind_of.insert(endpoint.0, place as u32);
    }

    /// Where a kind stands, which it may have to be given.
    fn place_of(&mut self, kind: &str) -> usize {
        let used = |cached_list: &Kind| cached_list.endpoints > 0 && &*cached_list.name == kind;
        if let Some(place) = self.kinds.iter().position(used) {
            return place;
        }
        let new = Kind { name: kind.into(), endpoints: 0, turned_away: None };
        match self.kinds.iter().position(|cached_list| cached_list.endpoints == 0) {
            Some(place) => {
                self.kinds[place] = new;
                place
            }
            None => {
                self.kinds.push(new);
                self.kinds.len() - 1
            }
        }
    }

    /// Forgets an endpoint that nothing is known of any more, and its kind with the last of that.
    pub fn forget(&mut self, endpoint: EndpointId) {
        let place = self.kind_of.remove(&endpoint.0);
        if let Some(kind) = place.and_then(|place| self.kinds.get_mut(place as usize)) {
            kind.endpoints -= 1;
        }
    }

    /// The endpoint had no room for one more connection.
    pub fn turned_away(&mut self, endpoint: EndpointId, now: Instant) {
        let place = self.kind_of.get(&endpoint.0).copied();
        if let Some(kind) = place.and_then(|place| self.kinds.get_mut(place as usize)) {
            kind.turned_away = Some(now);
        }
    }

    /// Whether a connection to the endpoint may stand idle.
    pub fn has_room(&self, endpoint: EndpointId, now: Instant) -> bool {
        let kind = self.kind_of.get(&endpoint.0).and_then(|place| self.kinds.get(*place as usize));
        kind.and_then(|kind| kind.turned_away).is_none_or(|at| now >= at + REMEMBERED)
    }
}
