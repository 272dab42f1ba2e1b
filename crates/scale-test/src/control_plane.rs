//! A stub control plane that serves the endpoint list, in full and as a watch, and receives delivery notices.
//! Forwarders connect to its listeners; a fault can partition a listener from its clients or close it.

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

/// Maximum number of connections per listener that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Time between two attempts to bind a closed listener's port again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Whether clients can reach a listener of the control plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reachability {
    /// Connections are accepted and served.
    Open,
    /// The control plane sends nothing and resets no connection. Open connections are reset when the
    /// partition ends.
    Partitioned,
    /// The listening socket is closed and open connections are reset.
    Closed,
}

/// A seeded defect: a change that the control plane never sends through one listener. The checks must find
/// it.
#[derive(Clone, Copy, Debug)]
pub struct LostChange {
    /// The number of the listener that doesn't send the change. The listeners of real forwarders come first,
    /// then one listener per zone.
    pub listener: usize,
    /// The generation of the change.
    pub generation: u64,
}

/// The state that all listeners of the control plane share.
pub(crate) struct ControlPlane {
    list: Arc<AuthoritativeList>,
    /// Limits how many full lists are sent concurrently.
    full_list_permits: Arc<Semaphore>,
    lost_change: Option<LostChange>,
    full_list_bytes: AtomicU64,
    notices: AtomicU64,
}

impl ControlPlane {
    /// Creates a control plane that sends at most `concurrent_full_lists` full lists at a time. `lost_change`
    /// seeds a defect; `None` in ordinary runs.
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

    /// Returns the size in bytes of the full list that was sent last; 0 if none was sent.
    pub(crate) fn full_list_bytes(&self) -> u64 {
        self.full_list_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of delivery notices received on all listeners.
    pub(crate) fn notice_count(&self) -> u64 {
        self.notices.load(Ordering::Relaxed)
    }

    fn is_lost(&self, listener: usize, generation: u64) -> bool {
        self.lost_change.is_some_and(|lost| lost.listener == listener && lost.generation == generation)
    }
}

/// One listener of the control plane, with its own traffic counters and reachability.
pub(crate) struct ControlListener {
    address: SocketAddr,
    traffic: Arc<TrafficCounters>,
    reachability: watch::Sender<Reachability>,
}

impl ControlListener {
    /// Listens on a free loopback port and serves clients in a task of the current runtime. The task ends
    /// when the listener is dropped.
    pub(crate) async fn open(
        control_plane: Arc<ControlPlane>,
        number: usize,
    ) -> Result<ControlListener, ScaleTestError> {
        let listen_error =
            |e: io::Error| ScaleTestError::aborted("opening a listener of the control plane", e);
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

    /// Returns the address to which forwarders connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the traffic through this listener since it was opened.
    pub(crate) fn traffic(&self) -> TrafficTotals {
        self.traffic.totals()
    }

    /// Sets whether clients can reach the listener.
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

/// The state that all connections of one listener share.
#[derive(Clone)]
struct ConnectionContext {
    control_plane: Arc<ControlPlane>,
    listener: usize,
    traffic: Arc<TrafficCounters>,
    reachability: watch::Receiver<Reachability>,
}

impl ConnectionContext {
    /// Waits until the listener is not partitioned from its clients.
    async fn wait_while_partitioned(&mut self) {
        wait_while_partitioned(&mut self.reachability).await;
    }
}

async fn wait_while_partitioned(reachability: &mut watch::Receiver<Reachability>) {
    // An error means that the listener was dropped, which ends the partition too.
    let _ = reachability.wait_for(|r| *r != Reachability::Partitioned).await;
}

/// Accepts connections until the listener is dropped. A listener that reopens binds its port again.
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

/// Serves one connection until the connection ends or a fault resets it.
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

/// Waits until a fault resets the open connections: when the listener is closed, or when a partition ends.
async fn wait_for_reset(reachability: &mut watch::Receiver<Reachability>) {
    let unreachable = reachability.wait_for(|r| *r != Reachability::Open).await;
    let partitioned = unreachable.is_ok_and(|r| *r == Reachability::Partitioned);
    if partitioned {
        wait_while_partitioned(reachability).await;
    }
}
