//! Accepts client connections, within the limits of the machine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

use super::client_connection::ClientConnection;
use super::clients::ClientConnections;
use super::service::{ConnectionCapacity, IngressService};
use super::serving::ServedConnection;
use crate::connections::out_of_descriptors;
use crate::events::Event;
use crate::limits::Limits;
use crate::log_throttle::LogThrottle;

/// The pause before the next attempt to accept, where this machine has no capacity for a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts and serves clients until [`ClientConnections::close`] and until nobody waits to be accepted. Connections
/// that are open then are served on by their own tasks; [`ClientConnections::empty`] is true once all have ended.
pub async fn accept(
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
) {
    let slots = Arc::new(Semaphore::new(limits.accepted));
    let lingering = Arc::new(Semaphore::new(limits.lingering));
    let closing = clients.closing();
    let log_throttle = LogThrottle::default();
    Acceptor { listener, limits, clients, event_loop, slots, lingering, closing, log_throttle }.run().await;
}

/// The accept loop and what each new connection gets from it.
struct Acceptor {
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
    /// One permit for each connection that is accepted and has not ended.
    slots: Arc<Semaphore>,
    /// One permit for each closed connection that is still read.
    lingering: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
    log_throttle: LogThrottle,
}

/// A connection as the system hands it over.
struct AcceptedStream {
    stream: TcpStream,
    from: SocketAddr,
}

/// What the listener gave.
enum Accepted {
    Stream(AcceptedStream),
    Failed(io::Error),
    /// No more connections are accepted.
    Closed,
}

impl From<io::Result<(TcpStream, SocketAddr)>> for Accepted {
    fn from(accepted: io::Result<(TcpStream, SocketAddr)>) -> Accepted {
        match accepted {
            Ok((stream, from)) => Accepted::Stream(AcceptedStream { stream, from }),
            Err(error) => Accepted::Failed(error),
        }
    }
}

impl Acceptor {
    async fn run(mut self) {
        for number in 0.. {
            let slot = self.free_slot().await;
            match self.next_connection().await {
                Accepted::Stream(accepted) => self.serve(number, accepted, slot),
                Accepted::Failed(error) => self.accept_failed(&error).await,
                Accepted::Closed => return,
            }
        }
    }

    /// A slot for one more connection, once there is one; never `None`, as the semaphore is not closed. It is
    /// taken until the descriptor is closed, which may be a while after the connection was evicted.
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

    async fn next_connection(&mut self) -> Accepted {
        tokio::select! {
            biased;
            accepted = self.listener.accept() => accepted.into(),
            // Clients that have connected by now would be reset with the listener.
            _ = self.closing.wait_for(|closing| *closing) => {
                self.listener.accept().now_or_never().map_or(Accepted::Closed, Accepted::from)
            }
        }
    }

    /// Pauses where this machine has no descriptor; any other failure concerns one client only and is passed over.
    async fn accept_failed(&mut self, error: &io::Error) {
        if !out_of_descriptors(error) {
            return;
        }
        if let Some(more) = self.log_throttle.now() {
            tracing::warn!(%error, more, "no descriptor for a client's connection");
        }
        sleep(ACCEPT_RETRY).await;
    }

    /// Starts the task that serves a connection. It ends with the connection, which [`ClientConnections`] counts.
    fn serve(&self, number: u64, accepted: AcceptedStream, slot: Option<OwnedSemaphorePermit>) {
        let AcceptedStream { stream, from } = accepted;
        // With Nagle's algorithm a small response would wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let capacity = self.make_room();
        let connection = Arc::new(ClientConnection::accepted());
        self.clients.insert(number, connection.clone());
        let service = IngressService {
            clients: self.clients.clone(),
            connection,
            event_loop: self.event_loop.clone(),
            capacity,
            keep_alive_limit: self.limits.kept,
        };
        let served = ServedConnection { stream, from, service, slot, lingering: self.lingering.clone() };
        let clients = self.clients.clone();
        tokio::spawn(async move {
            served.run().await;
            clients.remove(number);
        });
    }

    /// Evicts another connection where the limit of served ones is reached.
    fn make_room(&self) -> ConnectionCapacity {
        if self.clients.count() < self.limits.clients || self.clients.evict_one() {
            ConnectionCapacity::Available
        } else {
            ConnectionCapacity::Exceeded
        }
    }
}
