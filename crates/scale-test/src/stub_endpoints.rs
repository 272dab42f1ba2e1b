//! Stub endpoints: a few listeners that all endpoints of the list share and that accept every request.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
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

use crate::error::ScaleTestError;
use crate::lock::lock;

/// Number of listeners that all endpoints of the list share.
pub(crate) const STUB_LISTENER_COUNT: usize = 4;

/// The addresses of the stub endpoints, and a record of the requests that they received.
#[derive(Clone)]
pub(crate) struct StubEndpoints {
    addresses: Vec<SocketAddrV4>,
    arrivals: Arc<Arrivals>,
}

/// The received requests, and the requests that probes wait for.
#[derive(Default)]
struct Arrivals {
    /// Number of received requests.
    requests: AtomicU64,
    /// The requests that probes wait for, by message id.
    expected: Mutex<BTreeMap<String, ExpectedRequest>>,
}

/// A request that a probe waits for.
struct ExpectedRequest {
    address: SocketAddr,
    arrived: oneshot::Sender<Instant>,
}

impl StubEndpoints {
    /// Opens the listeners on loopback and serves them in tasks of the current runtime.
    pub(crate) async fn open() -> Result<StubEndpoints, ScaleTestError> {
        let mut addresses = Vec::new();
        let arrivals = Arc::new(Arrivals::default());
        for _ in 0..STUB_LISTENER_COUNT {
            let listen_error = |e| ScaleTestError::aborted("opening a listener of the stub endpoints", e);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(listen_error)?;
            let address = listener.local_addr().map_err(listen_error)?;
            if let SocketAddr::V4(address) = address {
                addresses.push(address);
            }
            tokio::spawn(accept_connections(listener, address, arrivals.clone()));
        }
        Ok(StubEndpoints { addresses, arrivals })
    }

    /// Returns a receiver of the time at which the first request with this message arrives at this address.
    /// Requests that arrive at other addresses are ignored.
    pub(crate) fn expect_request(
        &self,
        message_id: &str,
        address: SocketAddrV4,
    ) -> oneshot::Receiver<Instant> {
        let (arrived, arrival) = oneshot::channel();
        let expected = ExpectedRequest { address: address.into(), arrived };
        lock(&self.arrivals.expected).insert(message_id.to_owned(), expected);
        arrival
    }

    /// Returns the number of requests received by all stub endpoints.
    pub(crate) fn request_count(&self) -> u64 {
        self.arrivals.requests.load(Ordering::Relaxed)
    }

    /// Returns the address of the endpoint at an index after it moved `moves` times.
    pub(crate) fn address(&self, index: u32, moves: u64) -> SocketAddrV4 {
        let listener = (u64::from(index) + moves) % self.addresses.len() as u64;
        self.addresses[listener as usize]
    }
}

impl Arrivals {
    fn record(&self, message_id: &str, address: SocketAddr) {
        let now = Instant::now();
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut expected = lock(&self.expected);
        expected.retain(|_, request| !request.arrived.is_closed());
        if expected.get(message_id).is_some_and(|request| request.address == address) {
            // Sending fails if the probe has ended.
            let _ = expected.remove(message_id).map(|request| request.arrived.send(now));
        }
    }
}

async fn accept_connections(listener: TcpListener, address: SocketAddr, arrivals: Arc<Arrivals>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let arrivals = arrivals.clone();
        let service = service_fn(move |request| respond(request, address, arrivals.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn respond(
    request: Request<Incoming>,
    address: SocketAddr,
    arrivals: Arc<Arrivals>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let known_path = request.uri().path() == "/events";
    let (parts, mut body) = request.into_parts();
    while let Some(Ok(_)) = body.frame().await {}
    let message_id = parts.headers.get("x-call-id").and_then(|id| id.to_str().ok());
    arrivals.record(message_id.unwrap_or_default(), address);
    let mut response = Response::new(Full::default());
    if !known_path {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
