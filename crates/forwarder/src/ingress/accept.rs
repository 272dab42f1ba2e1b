//! Accepts client connections, within the limits of the machine.

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
use super::service::{ConnectionCapacity, IngressService};
use super::serving::ServedConnection;
use crate::connections::out_of_descriptors;
use crate::events::Event;
use crate::limits::Limits;
use crate::log_throttle::LogThrottle;

/// The pause before accepting is tried again, if this machine has no capacity for a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts and serves clients until [`ClientConnections::close_all`] was called and no connection waits to be accepted.
///
/// Returns the tasks of connections that are still open. They continue for as long as the caller keeps them;
/// [`ClientConnections::is_empty`] is true once all have ended, except those of evicted connections.
#[must_use = "dropping the tasks closes the connections"]
pub(crate) async fn accept(
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
) -> JoinSet<()> {
    let slots = Arc::new(Semaphore::new(limits.accepted_clients));
    let lingering = Arc::new(Semaphore::new(limits.lingering_clients));
    let closing = clients.closing();
    let log_throttle = LogThrottle::default();
    let tasks = JoinSet::new();
    Acceptor { listener, limits, clients, event_loop, slots, lingering, closing, log_throttle, tasks }
        .run()
        .await
}

/// The accept loop, and the shared parts that it passes to each connection.
struct Acceptor {
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
    /// One permit for each connection that is accepted and has not ended.
    slots: Arc<Semaphore>,
    /// One permit for each closed connection that is still read from.
    lingering: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
    log_throttle: LogThrottle,
    /// One task for each connection that is served.
    tasks: JoinSet<()>,
}

/// A connection as the listener returns it.
struct AcceptedStream {
    stream: TcpStream,
    client: SocketAddr,
}

/// The result of waiting for a connection.
enum Accepted {
    Stream(AcceptedStream),
    Failed(io::Error),
    /// No more connections are accepted.
    Closed,
}

impl From<io::Result<(TcpStream, SocketAddr)>> for Accepted {
    fn from(accepted: io::Result<(TcpStream, SocketAddr)>) -> Accepted {
        match accepted {
            Ok((stream, client)) => Accepted::Stream(AcceptedStream { stream, client }),
            Err(error) => Accepted::Failed(error),
        }
    }
}

impl Acceptor {
    /// Accepts until the listener is to be closed, and returns the tasks of connections that are still served.
    async fn run(mut self) -> JoinSet<()> {
        let mut next_number = 0;
        loop {
            let slot = self.free_slot().await;
            match self.next_connection().await {
                Accepted::Stream(accepted) => self.serve(next_number, accepted, slot),
                Accepted::Failed(error) => self.accept_failed(&error).await,
                Accepted::Closed => return self.tasks,
            }
            next_number += 1;
        }
    }

    /// Waits for a slot for one more connection; never `None`, as the semaphore is not closed. A slot is in use until
    /// the descriptor is closed, which may be a while after the connection was evicted.
    async fn free_slot(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(slot) = self.slots.clone().try_acquire_owned() {
                return Some(slot);
            }
            self.clients.evict_one();
            if let Ok(slot) = timeout(ACCEPT_RETRY, self.slots.clone().acquire_owned()).await {
                return slot.ok();
            }
        }
    }

    /// Waits for the next connection, and meanwhile drops the tasks of connections that have ended.
    async fn next_connection(&mut self) -> Accepted {
        loop {
            tokio::select! {
                biased;
                Some(_) = self.tasks.join_next() => {}
                accepted = self.listener.accept() => return accepted.into(),
                // Clients that have connected by now would be reset with the listener.
                _ = self.closing.wait_for(|closing| *closing) => {
                    return self.listener.accept().now_or_never().map_or(Accepted::Closed, Accepted::from);
                }
            }
        }
    }

    /// Pauses if this machine has no descriptor; any other failure concerns one client only and is ignored.
    async fn accept_failed(&mut self, error: &io::Error) {
        if !out_of_descriptors(error) {
            return;
        }
        if let Some(suppressed) = self.log_throttle.admit() {
            tracing::warn!(%error, suppressed, "no descriptor for a client's connection");
        }
        sleep(ACCEPT_RETRY).await;
    }

    /// Starts the task that serves a connection. It ends with the connection, which [`ClientConnections`] counts.
    fn serve(&mut self, number: u64, accepted: AcceptedStream, slot: Option<OwnedSemaphorePermit>) {
        let AcceptedStream { stream, client } = accepted;
        // With Nagle's algorithm a small response would wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let capacity = self.ensure_capacity();
        let connection = Arc::new(ClientConnection::accepted());
        self.clients.insert(number, connection.clone());
        let service = IngressService {
            clients: self.clients.clone(),
            connection,
            event_loop: self.event_loop.clone(),
            capacity,
            keep_alive_limit: self.limits.keep_alive_clients,
        };
        let served = ServedConnection { stream, client, service, slot, lingering: self.lingering.clone() };
        let clients = self.clients.clone();
        self.tasks.spawn(async move {
            served.run().await;
            clients.remove(number);
        });
    }

    /// Evicts another connection if the limit of served ones is reached.
    fn ensure_capacity(&self) -> ConnectionCapacity {
        if self.clients.count() < self.limits.served_clients || self.clients.evict_one() {
            ConnectionCapacity::Available
        } else {
            ConnectionCapacity::Exceeded
        }
    }
}
