//! A stub control plane: it serves the endpoint list in full and as a watch, and takes delivery notices. Forwarders
//! reach it through listeners, each of which faults can partition from its clients or close.

mod service;
mod watch_stream;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;

use crate::endpoint_list::AuthoritativeList;
use crate::error::ScaleTestError;
use crate::metered_stream::{MeteredStream, TrafficCounters, TrafficTotals};

/// Connections that wait to be accepted at one listener.
const LISTEN_BACKLOG: u32 = 1024;
/// A port that is not free yet is tried again after so long.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The body of a response.
type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Whether clients can reach a listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reachability {
    /// Connections and bytes pass.
    Open,
    /// No byte passes and nothing is reset; connections from before are reset when the listener opens again.
    Partitioned,
    /// Nobody listens, and open connections are reset.
    Closed,
}

/// A seeded defect that the checks have to find: a change that is never sent.
#[derive(Clone, Copy, Debug)]
pub struct LostChange {
    /// The number of the listener through which it is not sent: real forwarders' listeners come first, then those of
    /// zones.
    pub listener: usize,
    /// The generation of the change.
    pub generation: u64,
}

/// What all listeners share.
pub(crate) struct ControlPlane {
    list: Arc<AuthoritativeList>,
    /// One permit for each full list that is sent concurrently.
    full_list_permits: Arc<Semaphore>,
    lost_change: Option<LostChange>,
    full_list_bytes: AtomicU64,
    notices: AtomicU64,
}

impl ControlPlane {
    /// A control plane that sends so many full lists concurrently. `lost_change` seeds a defect; none for a sound
    /// one.
    pub(crate) fn new(
        list: Arc<AuthoritativeList>,
        concurrent_full_lists: u32,
        lost_change: Option<LostChange>,
    ) -> Arc<ControlPlane> {
        Arc::new(ControlPlane {
            list,
            full_list_permits: Arc::new(Semaphore::new(concurrent_full_lists as usize)),
            lost_change,
            full_list_bytes: AtomicU64::new(0),
            notices: AtomicU64::new(0),
        })
    }

    /// Size of the full list that was sent last, in bytes.
    pub(crate) fn full_list_bytes(&self) -> u64 {
        self.full_list_bytes.load(Ordering::Relaxed)
    }

    /// Delivery notices that have come.
    pub(crate) fn notices(&self) -> u64 {
        self.notices.load(Ordering::Relaxed)
    }

    fn is_lost(&self, listener: usize, generation: u64) -> bool {
        self.lost_change.is_some_and(|lost| lost.listener == listener && lost.generation == generation)
    }
}

/// One listening socket of the control plane.
pub(crate) struct ControlListener {
    address: SocketAddr,
    traffic: Arc<TrafficCounters>,
    reachability: watch::Sender<Reachability>,
}

impl ControlListener {
    /// Listens on loopback and serves as a task of the current runtime, which ends when this is dropped.
    pub(crate) async fn open(
        control_plane: Arc<ControlPlane>,
        number: usize,
    ) -> Result<ControlListener, ScaleTestError> {
        let listen_error = |e: io::Error| ScaleTestError::aborted("the control side can't listen", e);
        let address = crate::ports::free_address().map_err(listen_error)?;
        let socket = bind(address).map_err(listen_error)?;
        let listener = ControlListener {
            address,
            traffic: Arc::default(),
            reachability: watch::Sender::new(Reachability::Open),
        };
        let context = ConnectionContext {
            control_plane,
            listener: number,
            traffic: listener.traffic.clone(),
            reachability: listener.reachability.subscribe(),
        };
        tokio::spawn(accept_connections(socket, address, context));
        Ok(listener)
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has passed through it.
    pub(crate) fn traffic(&self) -> TrafficTotals {
        self.traffic.totals()
    }

    /// Changes whether clients can reach it.
    pub(crate) fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_replace(reachability);
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// What each connection of one listener is given.
#[derive(Clone)]
struct ConnectionContext {
    control_plane: Arc<ControlPlane>,
    /// The listener's number.
    listener: usize,
    traffic: Arc<TrafficCounters>,
    reachability: watch::Receiver<Reachability>,
}

impl ConnectionContext {
    /// Waits while the listener is partitioned from its clients.
    async fn wait_while_partitioned(&mut self) {
        wait_while_partitioned(&mut self.reachability).await;
    }
}

async fn wait_while_partitioned(reachability: &mut watch::Receiver<Reachability>) {
    // A listener that has been dropped holds nothing back.
    let _ = reachability.wait_for(|r| *r != Reachability::Partitioned).await;
}

/// Accepts connections until the listener is dropped.
async fn accept_connections(socket: TcpListener, address: SocketAddr, mut context: ConnectionContext) {
    let mut socket = Some(socket);
    loop {
        let reachability = *context.reachability.borrow_and_update();
        if reachability == Reachability::Closed {
            socket = None;
        } else if socket.is_none() {
            socket = bind(address).ok();
        }
        let Some(open_socket) = &socket else {
            let changed = timeout(BIND_RETRY_INTERVAL, context.reachability.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
            continue;
        };
        tokio::select! {
            accepted = open_socket.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, context.clone()));
                }
            }
            changed = context.reachability.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Serves one connection until it ends or a fault resets it.
async fn serve_connection(stream: TcpStream, context: ConnectionContext) {
    let _ = stream.set_nodelay(true);
    let mut reachability = context.reachability.clone();
    let stream = MeteredStream::new(stream, context.traffic.clone());
    let service = service_fn(move |request| service::respond(request, context.clone()));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = wait_for_reset(&mut reachability) => {}
    }
}

/// Waits until connections from before now are reset.
async fn wait_for_reset(reachability: &mut watch::Receiver<Reachability>) {
    let left_open = reachability.wait_for(|r| *r != Reachability::Open).await;
    let partitioned = left_open.is_ok_and(|r| *r == Reachability::Partitioned);
    if partitioned {
        wait_while_partitioned(reachability).await;
    }
}
