//! Idle connections to endpoints, and the limit of all connections to them.

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
use super::{lock, Connection};
use crate::idle_permits::IdlePermits;

/// An open connection without a request, kept for the next one.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The idle connections of each endpoint, those used last at the back.
type IdleByEndpoint = BTreeMap<EndpointId, VecDeque<IdleConnection>>;

/// Connections to endpoints. Clones share one pool.
///
/// Idle ones are kept for the next request, for less time than the endpoint keeps them, and for that endpoint alone:
/// its address may pass to another. Each lock guards one step and none is kept over an await; where two are locked,
/// `idle_permits` is locked before `idle`.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleByEndpoint>>,
    reuse_history: Arc<Mutex<ReuseHistory>>,
    send_restrictions: Arc<Mutex<SendRestrictions>>,
    idle_permits: Arc<Mutex<IdlePermits>>,
    /// One permit for each connection that is open, idle ones counted.
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    max_idle: Duration,
}

impl ConnectionPool {
    /// An empty pool with a limit of open connections. Endpoints close connections that were idle for
    /// `endpoint_idle_timeout`.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        endpoint_idle_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: Arc::default(),
            reuse_history: Arc::default(),
            send_restrictions: Arc::default(),
            idle_permits: Arc::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
            connect_timeout,
            // A request must arrive before the endpoint closes, which counts from when it wrote its response.
            max_idle: endpoint_idle_timeout - endpoint_idle_timeout / 8,
        }
    }

    /// A connection to this endpoint: the idle one that was used last, or else a new one to its address.
    pub(crate) async fn acquire(
        &self,
        endpoint: EndpointId,
        to: SocketAddr,
    ) -> Result<Connection, AttemptResult> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let permit = self.acquire_permit().await?;
        Connection::open(to, self.connect_timeout, Some(permit)).await
    }

    /// The idle connection that was used last, if it can be trusted; closes those that can't.
    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let trusted_idle = lock(&self.reuse_history).trusted_idle().min(self.max_idle);
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&endpoint)?;
        while let Some(IdleConnection { connection, since }) = connections.pop_back() {
            let idle_for = since.elapsed();
            if idle_for < trusted_idle && connection.is_ready() {
                return Some(connection.reused_after(idle_for));
            }
        }
        None
    }

    /// Acquires the permit for a new connection; if none is left, the connection that was idle for longest is closed.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, AttemptResult> {
        let mut permit = self.permits.clone().try_acquire_owned();
        if permit.is_err() && self.close_oldest_idle() {
            // The permit is released once the connection's task has seen that it is aborted.
            tokio::task::yield_now().await;
            permit = self.permits.clone().try_acquire_owned();
        }
        permit.map_err(|_| AttemptResult::NotSent)
    }

    /// Closes the connection that was idle for longest; returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = lock(&self.idle);
        let oldest = idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].since);
        oldest.and_then(VecDeque::pop_front).is_some()
    }

    /// Returns a connection whose last response was read completely. It is kept idle if its endpoint has capacity for
    /// that, else closed.
    pub(crate) fn release(&self, endpoint: EndpointId, connection: Connection) {
        let permitted = lock(&self.idle_permits).allows_idle(endpoint, Instant::now());
        if permitted && connection.is_ready() {
            let idle = IdleConnection { connection, since: Instant::now() };
            lock(&self.idle).entry(endpoint).or_default().push_back(idle);
        }
    }

    /// Records that the last request on this connection was answered.
    pub(crate) fn record_answer(&self, connection: &Connection) {
        lock(&self.reuse_history).record(connection.idle_before_use(), ReuseOutcome::Answered);
    }

    /// Records that the connection broke under its last request, perhaps in the middle of the response.
    pub(crate) fn record_break(&self, connection: &Connection) {
        let outcome = if connection.response_begun() { ReuseOutcome::Answered } else { ReuseOutcome::Failed };
        lock(&self.reuse_history).record(connection.idle_before_use(), outcome);
    }

    /// The endpoint rejected this connection as it has too many: idle ones to its kind are closed for others.
    pub(crate) fn connection_rejected(&self, endpoint: EndpointId) {
        let now = Instant::now();
        let mut idle_permits = lock(&self.idle_permits);
        idle_permits.connection_rejected(endpoint, now);
        lock(&self.idle).retain(|endpoint, _| idle_permits.allows_idle(*endpoint, now));
    }

    /// The endpoint asked for no request before `until` (`Retry-After`).
    ///
    /// A request that was decided on before may still wait for its connection, for up to a second if the endpoint
    /// accepts few or can't be reached, and must not be sent when the connection is open.
    pub fn set_retry_after(&self, endpoint: EndpointId, until: Instant) {
        lock(&self.send_restrictions).retry_after(endpoint, until);
    }

    /// The endpoint list has an entry for this endpoint. To one that is not active no request is sent any more, not
    /// even one that already waits for its connection.
    pub fn endpoint_listed(&self, endpoint: EndpointId, kind: &str, state: EndpointState) {
        lock(&self.idle_permits).endpoint_listed(endpoint, kind);
        lock(&self.send_restrictions).set_state(endpoint, state);
    }

    /// The endpoint is removed, or a complete list does not name it any more.
    pub(crate) fn endpoint_removed(&self, endpoint: EndpointId) {
        lock(&self.send_restrictions).set_state(endpoint, EndpointState::Removed);
        self.close_idle(endpoint);
    }

    /// Forgets endpoints that are not known any more.
    pub(crate) fn forget(&self, endpoints: &[EndpointId]) {
        let mut send_restrictions = lock(&self.send_restrictions);
        endpoints.iter().for_each(|endpoint| send_restrictions.forget(*endpoint));
        drop(send_restrictions);
        let mut idle_permits = lock(&self.idle_permits);
        endpoints.iter().for_each(|endpoint| idle_permits.forget(*endpoint));
    }

    /// Whether a request that has waited for its connection may still be sent; if not, the result for its messages.
    pub fn check_may_send(&self, endpoint: EndpointId) -> Result<(), AttemptResult> {
        lock(&self.send_restrictions).check(endpoint, Instant::now())
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: EndpointId) {
        lock(&self.idle).remove(&endpoint);
    }

    /// Closes connections that were idle for too long or that the other side has closed. Must be called regularly.
    pub(crate) fn sweep(&self) {
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < self.max_idle && !idle.connection.is_closed());
            !connections.is_empty()
        });
        lock(&self.send_restrictions).expire(Instant::now());
    }
}
