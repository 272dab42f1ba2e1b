//! Stand-in targets: a few listening sockets that all targets of the list share, and that take every call.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::fault::Fault;

/// Where targets can be.
pub const ADDRESSES: usize = 4;

/// The stand-ins' addresses, and the calls that came.
#[derive(Clone)]
pub struct Targets {
    addresses: Vec<SocketAddrV4>,
    arrivals: Arc<Arrivals>,
}

/// Calls that came, and who waits for one.
#[derive(Default)]
struct Arrivals {
    calls: AtomicU64,
    awaited: Mutex<BTreeMap<String, Awaited>>,
}

/// A call that somebody waits for.
struct Awaited {
    address: SocketAddr,
    came: oneshot::Sender<Instant>,
}

impl Targets {
    /// Opens the sockets and serves them as tasks of the current runtime.
    pub async fn open() -> Result<Targets, Fault> {
        let mut addresses = Vec::new();
        let arrivals = Arc::new(Arrivals::default());
        for _ in 0..ADDRESSES {
            let listen = |e| Fault::broken("a stand-in target can't listen", e);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(listen)?;
            let address = listener.local_addr().map_err(listen)?;
            if let SocketAddr::V4(address) = address {
                addresses.push(address);
            }
            tokio::spawn(accept(listener, address, arrivals.clone()));
        }
        Ok(Targets { addresses, arrivals })
    }

    /// Tells when the first call with this envelope comes to this address; calls elsewhere tell nothing.
    pub fn await_call(&self, id: &str, address: SocketAddrV4) -> oneshot::Receiver<Instant> {
        let (came, comes) = oneshot::channel();
        let awaited = Awaited { address: address.into(), came };
        self.arrivals.awaited().insert(id.to_owned(), awaited);
        comes
    }

    /// Calls that have come.
    pub fn calls(&self) -> u64 {
        self.arrivals.calls.load(Ordering::Relaxed)
    }

    /// The address of a target that has moved so many times.
    pub fn address(&self, place: u32, moves: u64) -> SocketAddrV4 {
        let at = (u64::from(place) + moves) % self.addresses.len() as u64;
        self.addresses[at as usize]
    }
}

impl Arrivals {
    fn awaited(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Awaited>> {
        self.awaited.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn came(&self, id: &str, at: SocketAddr) {
        let now = Instant::now();
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut awaited = self.awaited();
        awaited.retain(|_, awaited| !awaited.came.is_closed());
        if awaited.get(id).is_some_and(|awaited| awaited.address == at) {
            // Whoever waited may have gone.
            let _ = awaited.remove(id).map(|awaited| awaited.came.send(now));
        }
    }
}

async fn accept(listener: TcpListener, at: SocketAddr, arrivals: Arc<Arrivals>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let arrivals = arrivals.clone();
        let service = service_fn(move |request| take(request, at, arrivals.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn take(
    request: Request<Incoming>,
    at: SocketAddr,
    arrivals: Arc<Arrivals>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let known = request.uri().path() == "/events";
    let (parts, mut body) = request.into_parts();
    while let Some(Ok(_)) = body.frame().await {}
    let id = parts.headers.get("x-call-id").and_then(|id| id.to_str().ok());
    arrivals.came(id.unwrap_or_default(), at);
    let mut response = Response::new(Full::default());
    if !known {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
