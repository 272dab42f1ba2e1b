//! Stand-in targets: a few listening sockets that all targets of the list share, and that take every call.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::fault::Fault;

/// Where targets can be.
pub const ADDRESSES: usize = 4;

/// The stand-ins' addresses, and the calls that came.
#[derive(Clone)]
pub struct Targets {
    addresses: Vec<SocketAddrV4>,
    pub calls: Arc<AtomicU64>,
}

impl Targets {
    /// Opens the sockets and serves them as tasks of the current runtime.
    pub async fn open() -> Result<Targets, Fault> {
        let mut addresses = Vec::new();
        let calls = Arc::new(AtomicU64::new(0));
        for _ in 0..ADDRESSES {
            let listen = |e| Fault::broken("a stand-in target can't listen", e);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(listen)?;
            if let SocketAddr::V4(address) = listener.local_addr().map_err(listen)? {
                addresses.push(address);
            }
            tokio::spawn(accept(listener, calls.clone()));
        }
        Ok(Targets { addresses, calls })
    }

    /// The address of a target that has moved so many times.
    pub fn address(&self, place: u32, moves: u64) -> SocketAddrV4 {
        let at = (u64::from(place) + moves) % self.addresses.len() as u64;
        self.addresses[at as usize]
    }
}

async fn accept(listener: TcpListener, calls: Arc<AtomicU64>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let calls = calls.clone();
        let service = service_fn(move |request| take(request, calls.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn take(
    request: Request<Incoming>,
    calls: Arc<AtomicU64>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let known = request.uri().path() == "/events";
    let mut body = request.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    calls.fetch_add(1, Ordering::Relaxed);
    let mut response = Response::new(Full::default());
    if !known {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
