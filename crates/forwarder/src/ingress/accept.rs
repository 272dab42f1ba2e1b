//! Accepts client connections within the limits of the machine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::client_connection::ClientConnection;
use super::clients::ClientConnections;
use super::request_body::BodyMemory;
use super::service::{ConnectionCapacity, IngressService};
use super::serving::ServedConnection;
use crate::connections::is_resource_exhausted;
use crate::events::Event;
use crate::limits::Limits;
use crate::log_throttle::LogThrottle;

/// The delay before accepting is retried when this machine has no capacity for another connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves clients until [`ClientConnections::close_all`] is called and no connection is waiting
/// to be accepted.
///
/// Returns the tasks of connections that are still open. Dropping the tasks closes the connections. When all
/// have ended, [`ClientConnections::is_empty`] returns true. Evicted connections are not counted.
#[must_use = "dropping the tasks closes the connections"]
pub(crate) async fn accept(
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
) -> JoinSet<()> {
    let connection_permits = Arc::new(Semaphore::new(limits.accepted_clients));
    let linger_permits = Arc::new(Semaphore::new(limits.lingering_clients));
    let body_memory = Arc::new(BodyMemory::new(limits.request_body_bytes));
    let closing = clients.closing();
    let log_throttle = LogThrottle::default();
    let tasks = JoinSet::new();
    Acceptor {
        listener,
        limits,
        clients,
        event_loop,
        connection_permits,
        linger_permits,
        body_memory,
        closing,
        log_throttle,
        tasks,
    }
    .run()
    .await
}

/// The accept loop and the state that it shares with each connection.
struct Acceptor {
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
    /// One permit for each accepted connection whose descriptor is open and that does not linger.
    connection_permits: Arc<Semaphore>,
    /// One permit for each closed connection that is still read from.
    linger_permits: Arc<Semaphore>,
    /// The memory for the bodies of requests.
    body_memory: Arc<BodyMemory>,
    closing: watch::Receiver<bool>,
    log_throttle: LogThrottle,
    /// One task for each connection that is served.
    tasks: JoinSet<()>,
}

/// A connection returned by the listener.
struct AcceptedStream {
    stream: TcpStream,
    client: SocketAddr,
}

enum AcceptOutcome {
    Stream(AcceptedStream),
    Failed(io::Error),
    /// The listener is closing, and no connection is waiting to be accepted.
    Closed,
}

impl From<io::Result<(TcpStream, SocketAddr)>> for AcceptOutcome {
    fn from(accepted: io::Result<(TcpStream, SocketAddr)>) -> AcceptOutcome {
        match accepted {
            Ok((stream, client)) => AcceptOutcome::Stream(AcceptedStream { stream, client }),
            Err(error) => AcceptOutcome::Failed(error),
        }
    }
}

impl Acceptor {
    /// Accepts connections until the listener closes. Returns the tasks of connections that are still served.
    async fn run(mut self) -> JoinSet<()> {
        let mut next_number = 0;
        loop {
            let connection_permit = self.acquire_connection_permit().await;
            match self.next_connection().await {
                AcceptOutcome::Stream(accepted) => self.serve(next_number, accepted, connection_permit),
                AcceptOutcome::Failed(error) => self.accept_failed(&error).await,
                AcceptOutcome::Closed => return self.tasks,
            }
            next_number += 1;
        }
    }

    /// Waits for the permit of another connection, and evicts a connection if no permit is left.
    ///
    /// An evicted connection holds its permit until its descriptor is closed or the connection lingers.
    /// Never returns `None` because the semaphore is not closed.
    async fn acquire_connection_permit(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(connection_permit) = self.connection_permits.clone().try_acquire_owned() {
                return Some(connection_permit);
            }
            self.clients.evict_one();
            if let Ok(connection_permit) =
                timeout(ACCEPT_RETRY_DELAY, self.connection_permits.clone().acquire_owned()).await
            {
                return connection_permit.ok();
            }
        }
    }

    /// Waits for the next connection and meanwhile removes the tasks of connections that have ended.
    async fn next_connection(&mut self) -> AcceptOutcome {
        loop {
            tokio::select! {
                biased;
                Some(_) = self.tasks.join_next() => {}
                accepted = self.listener.accept() => return accepted.into(),
                // Closing the listener resets connections that are waiting to be accepted, so they are
                // accepted first.
                _ = self.closing.wait_for(|closing| *closing) => {
                    return self
                        .listener
                        .accept()
                        .now_or_never()
                        .map_or(AcceptOutcome::Closed, AcceptOutcome::from);
                }
            }
        }
    }

    /// Waits if this machine has no descriptor left. Any other failure concerns a single client and is
    /// ignored.
    async fn accept_failed(&mut self, error: &io::Error) {
        if !is_resource_exhausted(error) {
            return;
        }
        if let Some(suppressed) = self.log_throttle.admit() {
            tracing::warn!(%error, suppressed, "no descriptor for a client's connection");
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Starts the task that serves a connection. The connection is registered until the task ends.
    fn serve(
        &mut self,
        number: u64,
        accepted: AcceptedStream,
        connection_permit: Option<OwnedSemaphorePermit>,
    ) {
        let AcceptedStream { stream, client } = accepted;
        // Disables Nagle's algorithm, which delays a small response until earlier data is acknowledged.
        let _ = stream.set_nodelay(true);
        let capacity = self.ensure_capacity();
        let connection = Arc::new(ClientConnection::accepted());
        self.clients.insert(number, connection.clone());
        let service = IngressService {
            clients: self.clients.clone(),
            connection,
            event_loop: self.event_loop.clone(),
            capacity,
            body_memory: self.body_memory.clone(),
            keep_alive_limit: self.limits.keep_alive_clients,
        };
        let served = ServedConnection {
            stream,
            client,
            service,
            max_head_bytes: self.limits.request_head_bytes,
            connection_permit,
            linger_permits: self.linger_permits.clone(),
        };
        let clients = self.clients.clone();
        self.tasks.spawn(async move {
            served.run().await;
            clients.remove(number);
        });
    }

    /// Evicts another connection if the limit of served connections is reached.
    fn ensure_capacity(&self) -> ConnectionCapacity {
        if self.clients.count() < self.limits.served_clients || self.clients.evict_one() {
            ConnectionCapacity::Available
        } else {
            ConnectionCapacity::Exceeded
        }
    }
}
