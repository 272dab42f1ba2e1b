//! Idle connections to endpoints, and the limit on all connections to endpoints.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use reeddock::{EndpointId, EndpointState};
use reeddock_protocol::AttemptResult;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::reuse_history::{ReuseHistory, ReuseOutcome};
use super::send_restrictions::SendRestrictions;
use super::{lock, Connection, ConnectionOptions};
use crate::idle_permits::IdlePermits;
use crate::limits::MAX_RESPONSE_HEAD_BYTES;

/// How long a connection must stay silent after a response before it carries another request.
///
/// HTTP/1 responses carry no id: bytes that an endpoint sends after its response, such as a second copy, would
/// be taken as the response to the next request.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// An open connection that is kept for the next request to its endpoint.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    /// Returns whether the connection was silent for long enough to carry a request. A connection without a
    /// request so far always was.
    fn has_settled(&self) -> bool {
        !self.connection.was_used() || self.idle_since.elapsed() >= SETTLING_TIME
    }
}

/// The idle connections of each endpoint, most recently used last.
type IdleByEndpoint = BTreeMap<EndpointId, VecDeque<IdleConnection>>;

/// A pool of connections to endpoints. Clones share one pool.
///
/// An idle connection is closed before its endpoint would close it, and is reused only after it has settled
/// and only for the same endpoint, because its address may be assigned to another endpoint.
///
/// No lock is held across an await. Code that takes both locks takes `idle_permits` before
/// `idle_connections`.
#[derive(Clone)]
pub struct ConnectionPool {
    idle_connections: Arc<Mutex<IdleByEndpoint>>,
    reuse_history: Arc<Mutex<ReuseHistory>>,
    send_restrictions: Arc<Mutex<SendRestrictions>>,
    idle_permits: Arc<Mutex<IdlePermits>>,
    /// One permit for each open connection, idle ones included.
    connection_permits: Arc<Semaphore>,
    connect_timeout: Duration,
    max_head_bytes: usize,
    max_idle_time: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool with a limit on open connections.
    ///
    /// `endpoint_idle_timeout` is the time after which endpoints close an idle connection.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        endpoint_idle_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            idle_connections: Arc::default(),
            reuse_history: Arc::default(),
            send_restrictions: Arc::default(),
            idle_permits: Arc::default(),
            connection_permits: Arc::new(Semaphore::new(max_connections)),
            connect_timeout,
            max_head_bytes: MAX_RESPONSE_HEAD_BYTES,
            // The margin covers the time between the endpoint's response and the arrival of the next request.
            max_idle_time: endpoint_idle_timeout - endpoint_idle_timeout / 8,
        }
    }

    /// Sets the maximum length of a response head, in bytes, for connections that are opened from now on. The
    /// value must be at least 8 KiB, the least that the HTTP library accepts.
    #[must_use]
    pub fn with_max_head_bytes(self, max_head_bytes: usize) -> ConnectionPool {
        ConnectionPool { max_head_bytes, ..self }
    }

    /// Returns the endpoint's most recently used idle connection, or opens a new one to `address`.
    pub(crate) async fn acquire(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Result<Connection, AttemptResult> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let permit = self.acquire_permit().await?;
        let options = ConnectionOptions {
            connect_timeout: self.connect_timeout,
            max_head_bytes: self.max_head_bytes,
            permit: Some(permit),
        };
        Connection::open(address, options).await
    }

    /// Returns the most recently used idle connection that has settled. Connections that can't be used any
    /// more are closed.
    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let reusable_idle_time = lock(&self.reuse_history).reusable_idle_time().min(self.max_idle_time);
        let mut idle = lock(&self.idle_connections);
        let connections = idle.get_mut(&endpoint)?;
        connections
            .retain(|idle| idle.idle_since.elapsed() < reusable_idle_time && idle.connection.is_ready());
        let most_recent = most_recent_settled(connections)?;
        let IdleConnection { connection, idle_since } = connections.remove(most_recent)?;
        Some(connection.with_idle_before_use(idle_since.elapsed()))
    }

    /// Returns whether the next request to the endpoint can use an idle connection.
    pub fn has_settled_connection(&self, endpoint: EndpointId) -> bool {
        lock(&self.idle_connections).get(&endpoint).and_then(most_recent_settled).is_some()
    }

    /// Acquires the permit for a new connection. At the limit, the connection that was idle longest is
    /// closed.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, AttemptResult> {
        let mut permit = self.connection_permits.clone().try_acquire_owned();
        if permit.is_err() && self.close_oldest_idle() {
            // The permit is released when the connection's task has processed its abort.
            tokio::task::yield_now().await;
            permit = self.connection_permits.clone().try_acquire_owned();
        }
        permit.map_err(|_| AttemptResult::NotSent)
    }

    /// Closes the connection that was idle longest. Returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = lock(&self.idle_connections);
        let oldest = idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].idle_since);
        oldest.and_then(VecDeque::pop_front).is_some()
    }

    /// Returns a connection to the pool after its last response was read completely.
    ///
    /// The connection is closed if its endpoint has no capacity for idle connections.
    pub(crate) fn release(&self, endpoint: EndpointId, connection: Connection) {
        let idle_allowed = lock(&self.idle_permits).allows_idle(endpoint, Instant::now());
        if idle_allowed && connection.is_ready() {
            let idle = IdleConnection { connection, idle_since: Instant::now() };
            lock(&self.idle_connections).entry(endpoint).or_default().push_back(idle);
        }
    }

    /// Records that the last request on this connection received a response.
    pub(crate) fn record_response(&self, connection: &Connection) {
        lock(&self.reuse_history).record(connection.idle_before_use(), ReuseOutcome::ResponseReceived);
    }

    /// Records that the connection broke during its last request, before or within the response.
    pub(crate) fn record_broken_connection(&self, connection: &Connection) {
        let outcome =
            if connection.response_begun() { ReuseOutcome::ResponseReceived } else { ReuseOutcome::Broken };
        lock(&self.reuse_history).record(connection.idle_before_use(), outcome);
    }

    /// Records that the endpoint rejected a connection because it has too many, and closes the idle
    /// connections to endpoints of its kind.
    pub(crate) fn connection_rejected(&self, endpoint: EndpointId) {
        let now = Instant::now();
        let mut idle_permits = lock(&self.idle_permits);
        idle_permits.connection_rejected(endpoint, now);
        lock(&self.idle_connections).retain(|endpoint, _| idle_permits.allows_idle(*endpoint, now));
    }

    /// Records that the endpoint accepts no request before `until` (`Retry-After`).
    ///
    /// The restriction also applies to requests that are still waiting for their connection, for up to a second
    /// if the endpoint accepts few connections or can't be reached.
    pub fn set_retry_after(&self, endpoint: EndpointId, until: Instant) {
        lock(&self.send_restrictions).set_retry_after(endpoint, until);
    }

    /// Records the endpoint list's entry for this endpoint.
    ///
    /// No request is sent to an endpoint that is not active, not even one that already waits for its
    /// connection.
    pub fn endpoint_listed(&self, endpoint: EndpointId, kind: &str, state: EndpointState) {
        lock(&self.idle_permits).endpoint_listed(endpoint, kind);
        lock(&self.send_restrictions).set_state(endpoint, state);
    }

    /// Records that the endpoint is removed or missing from a complete list, and closes its idle connections.
    pub(crate) fn endpoint_removed(&self, endpoint: EndpointId) {
        lock(&self.send_restrictions).set_state(endpoint, EndpointState::Removed);
        self.close_idle(endpoint);
    }

    /// Deletes the records of endpoints that are no longer known.
    pub(crate) fn forget(&self, endpoints: &[EndpointId]) {
        let mut send_restrictions = lock(&self.send_restrictions);
        endpoints.iter().for_each(|endpoint| send_restrictions.remove_state(*endpoint));
        drop(send_restrictions);
        let mut idle_permits = lock(&self.idle_permits);
        endpoints.iter().for_each(|endpoint| idle_permits.forget(*endpoint));
    }

    /// Records the new address of an endpoint whose address has changed, and closes its idle connections.
    ///
    /// No request is sent to the previous address, not even one that already waits for its connection.
    pub fn endpoint_moved(&self, endpoint: EndpointId, address: SocketAddr) {
        lock(&self.send_restrictions).set_moved(endpoint, address);
        self.close_idle(endpoint);
    }

    /// Returns whether the endpoint list has the endpoint as active, and at this address.
    pub(crate) fn may_send_to(&self, endpoint: EndpointId, address: SocketAddr) -> bool {
        lock(&self.send_restrictions).check_listed(endpoint, address).is_ok()
    }

    /// Checks whether a request to this address that waited for its connection may still be sent. The error is
    /// the result of its messages.
    pub fn check_may_send(&self, endpoint: EndpointId, address: SocketAddr) -> Result<(), AttemptResult> {
        lock(&self.send_restrictions).check(endpoint, address, Instant::now())
    }

    fn close_idle(&self, endpoint: EndpointId) {
        lock(&self.idle_connections).remove(&endpoint);
    }

    /// Closes connections that were idle too long or that the other side closed. Must be called regularly.
    pub(crate) fn sweep(&self) {
        lock(&self.idle_connections).retain(|_, connections| {
            connections.retain(|idle| {
                idle.idle_since.elapsed() < self.max_idle_time && !idle.connection.is_closed()
            });
            !connections.is_empty()
        });
        lock(&self.send_restrictions).remove_expired(Instant::now());
    }
}

/// Returns the position of the most recently used connection that has settled.
fn most_recent_settled(connections: &VecDeque<IdleConnection>) -> Option<usize> {
    connections.iter().rposition(IdleConnection::has_settled)
}
