//! All open client connections, and which one is evicted at the limit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use super::client_connection::ClientConnection;
use crate::connections::lock;
use crate::list_status::ListStatus;

/// All open client connections, each by its number, and whether the forwarder shuts down. Shared by the tasks that
/// accept and serve connections and by the shutdown.
#[derive(Default)]
pub struct ClientConnections {
    shutting_down: AtomicBool,
    open: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    closing: watch::Sender<bool>,
    list_status: ListStatus,
}

impl ClientConnections {
    /// A set without connections; health checks report this status of the endpoint list.
    pub fn new(list_status: ListStatus) -> ClientConnections {
        ClientConnections { list_status, ..ClientConnections::default() }
    }

    /// Begins a shutdown: each response asks its client to use another forwarder.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Stops accepting. Idle connections are closed now, the others once their request is answered.
    pub fn close_all(&self) {
        self.closing.send_replace(true);
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open().is_empty()
    }

    /// How many connections are open.
    pub(super) fn count(&self) -> usize {
        self.open().len()
    }

    /// Adds a connection, by a number that no other has.
    pub(super) fn insert(&self, number: u64, connection: Arc<ClientConnection>) {
        self.open().insert(number, connection);
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, number: u64) {
        self.open().remove(&number);
    }

    /// Closes the connection whose loss matters least; returns whether there was one.
    ///
    /// This is the oldest of those that never had a request, so that silent clients do not displace others; if there is
    /// none, the one that was idle for longest, whose client can use another connection for its next request.
    pub(super) fn evict_one(&self) -> bool {
        let mut open = self.open();
        let candidates = open.iter().filter_map(|(number, connection)| {
            let priority = connection.phase().eviction_priority()?;
            Some((priority, *number))
        });
        let evicted = candidates.min().and_then(|(_, number)| open.remove(&number));
        evicted.inspect(|connection| connection.evict()).is_some()
    }

    /// Whether clients are asked to use another forwarder.
    pub(super) fn shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// A channel that becomes true when connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// What is wrong with the endpoint list, in one line; None if nothing is.
    pub(super) fn list_fault(&self) -> Option<String> {
        self.list_status.fault()
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientConnection>>> {
        lock(&self.open)
    }
}
