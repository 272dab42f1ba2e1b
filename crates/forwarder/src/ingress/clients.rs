//! The open client connections, and the choice of the connection to evict at the limit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use super::client_connection::ClientConnection;
use crate::connections::lock;
use crate::list_status::ListStatus;

/// The open client connections by number, and whether the forwarder shuts down. Shared by the tasks that
/// accept and serve connections and by the shutdown.
#[derive(Default)]
pub struct ClientConnections {
    shutting_down: AtomicBool,
    open: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    closing: watch::Sender<bool>,
    list_status: ListStatus,
}

impl ClientConnections {
    /// Creates an empty set. Health checks report `list_status`.
    pub fn new(list_status: ListStatus) -> ClientConnections {
        ClientConnections { list_status, ..ClientConnections::default() }
    }

    /// Begins a shutdown. From now on responses close their connections and health checks fail, so that
    /// clients use another forwarder.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections. Idle connections are closed now, the others after their current request.
    pub fn close_all(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether no connection is open. Evicted connections are not counted.
    pub fn is_empty(&self) -> bool {
        self.lock_open().is_empty()
    }

    pub(super) fn count(&self) -> usize {
        self.lock_open().len()
    }

    /// Adds a connection. No other connection may have the same number.
    pub(super) fn insert(&self, number: u64, connection: Arc<ClientConnection>) {
        self.lock_open().insert(number, connection);
    }

    pub(super) fn remove(&self, number: u64) {
        self.lock_open().remove(&number);
    }

    /// Evicts the first connection in the order of `EvictionPriority`. Returns whether there was one.
    ///
    /// Connections without a request come first, so that they can't displace connections of active clients. The
    /// client of an idle connection can use another one for its next request.
    pub(super) fn evict_one(&self) -> bool {
        let mut open = self.lock_open();
        let candidates = open.iter().filter_map(|(number, connection)| {
            let priority = connection.phase().eviction_priority()?;
            Some((priority, *number))
        });
        let evicted = candidates.min().and_then(|(_, number)| open.remove(&number));
        evicted.inspect(|connection| connection.evict()).is_some()
    }

    /// Returns whether a shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Returns a channel whose value becomes true when connections must be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns a one-line description of a fault of the endpoint list. `None` without a fault.
    pub(super) fn list_fault(&self) -> Option<String> {
        self.list_status.fault()
    }

    fn lock_open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientConnection>>> {
        lock(&self.open)
    }
}
