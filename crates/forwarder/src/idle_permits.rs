//! Which kinds of endpoint have capacity for idle connections. Pure state without I/O.

use std::time::Duration;

use hashbrown::HashMap;
use reeddock::EndpointId;
use tokio::time::Instant;

/// For this long after a rejected connection, a kind is assumed to have no capacity for idle connections.
///
/// This is several times as long as the idle timeout of most endpoints, so that a fleet of forwarders does not fill
/// them again each time it has passed.
const REJECTION_REMEMBERED: Duration = Duration::from_secs(30);

/// Says for each endpoint whether a connection to it may be kept idle.
///
/// Endpoints accept a limited number of connections, idle ones counted. Where forwarders outnumber that limit, those
/// that connected first would keep all connections though they rarely use them, and the others would be rejected for
/// good. A forwarder that has a connection is not rejected by that endpoint but by others of its kind, so a
/// rejection by one endpoint counts for all endpoints of its kind.
#[derive(Default)]
pub struct IdlePermits {
    /// For each endpoint, by its number, the index of its kind in `kinds`: 32 bits each, as there may be several
    /// hundred thousand endpoints.
    kind_index: HashMap<u32, u32>,
    kinds: Vec<Kind>,
}

/// One kind of endpoint, by its name in the endpoint list.
struct Kind {
    name: Box<str>,
    /// How many endpoints of it are known; at zero the entry is free for another kind.
    endpoints: usize,
    /// When one of its endpoints last rejected a connection.
    last_rejection: Option<Instant>,
}

impl IdlePermits {
    /// The endpoint list names this endpoint as one of this kind.
    pub fn endpoint_listed(&mut self, endpoint: EndpointId, kind: &str) {
        if self.kind_of(endpoint).is_some_and(|listed| &*listed.name == kind) {
            return;
        }
        self.forget(endpoint);
        let index = self.index_of_kind(kind);
        self.kinds[index].endpoints += 1;
        self.kind_index.insert(endpoint.0, index as u32);
    }

    /// Forgets an endpoint that is not known any more, and its kind with the last endpoint of that.
    pub fn forget(&mut self, endpoint: EndpointId) {
        let index = self.kind_index.remove(&endpoint.0);
        if let Some(kind) = index.and_then(|index| self.kinds.get_mut(index as usize)) {
            kind.endpoints -= 1;
        }
    }

    /// The endpoint rejected one more connection.
    pub fn connection_rejected(&mut self, endpoint: EndpointId, now: Instant) {
        let index = self.kind_index.get(&endpoint.0).copied();
        if let Some(kind) = index.and_then(|index| self.kinds.get_mut(index as usize)) {
            kind.last_rejection = Some(now);
        }
    }

    /// Whether a connection to the endpoint may be kept idle.
    pub fn allows_idle(&self, endpoint: EndpointId, now: Instant) -> bool {
        let last_rejection = self.kind_of(endpoint).and_then(|kind| kind.last_rejection);
        last_rejection.is_none_or(|at| now >= at + REJECTION_REMEMBERED)
    }

    fn kind_of(&self, endpoint: EndpointId) -> Option<&Kind> {
        let index = self.kind_index.get(&endpoint.0)?;
        self.kinds.get(*index as usize)
    }

    /// The index of a kind; a kind without one gets a free entry, or else a new one.
    fn index_of_kind(&mut self, name: &str) -> usize {
        let in_use = |kind: &Kind| kind.endpoints > 0 && &*kind.name == name;
        if let Some(index) = self.kinds.iter().position(in_use) {
            return index;
        }
        let kind = Kind { name: name.into(), endpoints: 0, last_rejection: None };
        if let Some(index) = self.kinds.iter().position(|kind| kind.endpoints == 0) {
            self.kinds[index] = kind;
            return index;
        }
        self.kinds.push(kind);
        self.kinds.len() - 1
    }
}
