//! Tracks which endpoint kinds (machine types) have capacity for idle connections. Pure state without I/O.

use std::time::Duration;

use hashbrown::HashMap;
use reeddock::EndpointId;
use tokio::time::Instant;

/// How long an endpoint kind is assumed to have no capacity for idle connections after one of its endpoints
/// rejected a connection.
///
/// The value is a multiple of the usual idle timeout of endpoints, so that a fleet of forwarders does not use
/// up all connections again after each timeout.
const REJECTION_EXPIRY: Duration = Duration::from_secs(30);

/// Determines for each endpoint whether a connection to it may be kept idle.
///
/// Endpoints limit their connections, including idle ones. If there are more forwarders than connections, the
/// forwarders that connect first would keep all connections. A rejection by one endpoint applies to all
/// endpoints of its kind, because a forwarder holds connections to some of them and is rejected only by the
/// others.
#[derive(Default)]
pub struct IdlePermits {
    /// For each endpoint number, the index of the endpoint's kind in `kinds`. Numbers and indexes have 32
    /// bits to save memory, as there may be hundreds of thousands of endpoints.
    kind_index: HashMap<u32, u32>,
    kinds: Vec<Kind>,
}

/// An endpoint kind, identified by the machine type that the endpoint list gives.
struct Kind {
    name: Box<str>,
    /// The number of known endpoints of this kind. An entry with zero endpoints is reused for another kind.
    endpoints: usize,
    /// The time at which an endpoint of this kind last rejected a connection. `None` if none did.
    last_rejection: Option<Instant>,
}

impl IdlePermits {
    /// Records the endpoint kind (machine type) that the endpoint list gives for an endpoint.
    pub fn endpoint_listed(&mut self, endpoint: EndpointId, kind: &str) {
        if self.kind_of(endpoint).is_some_and(|listed| &*listed.name == kind) {
            return;
        }
        self.forget(endpoint);
        let index = self.index_of_kind(kind);
        self.kinds[index].endpoints += 1;
        self.kind_index.insert(endpoint.0, index as u32);
    }

    /// Forgets an endpoint. A kind whose last endpoint is forgotten is forgotten too.
    pub fn forget(&mut self, endpoint: EndpointId) {
        let index = self.kind_index.remove(&endpoint.0);
        if let Some(kind) = index.and_then(|index| self.kinds.get_mut(index as usize)) {
            kind.endpoints -= 1;
        }
    }

    /// Records that an endpoint rejected a connection, which disallows idle connections to all endpoints of
    /// its kind.
    pub fn connection_rejected(&mut self, endpoint: EndpointId, now: Instant) {
        let index = self.kind_index.get(&endpoint.0).copied();
        if let Some(kind) = index.and_then(|index| self.kinds.get_mut(index as usize)) {
            kind.last_rejection = Some(now);
        }
    }

    /// Returns whether a connection to the endpoint may be kept idle.
    pub fn allows_idle(&self, endpoint: EndpointId, now: Instant) -> bool {
        let last_rejection = self.kind_of(endpoint).and_then(|kind| kind.last_rejection);
        last_rejection.is_none_or(|at| now >= at + REJECTION_EXPIRY)
    }

    fn kind_of(&self, endpoint: EndpointId) -> Option<&Kind> {
        let index = self.kind_index.get(&endpoint.0)?;
        self.kinds.get(*index as usize)
    }

    /// Returns the index of a kind in `kinds`. A new kind replaces an entry without endpoints, or is appended
    /// if there is none.
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
