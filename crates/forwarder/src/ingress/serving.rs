//! Serves a client connection until it ends, and closes it without losing a response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::service::TowerToHyperService;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::client_connection::{ClientConnection, ConnectionPhase, CountedStream};
use super::service::IngressService;

/// The time limit for the rest of a request head on a connection that is about to be closed.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// The interval at which a connection is checked for whether its request in progress has ended. The idle
/// timeout starts only after the request.
const IN_REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long data on a closed connection is read and discarded. The operating system resets a connection that
/// is dropped with unread data, and a response in flight would be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

type HttpConnection = http1::Connection<CountedStream, TowerToHyperService<IngressService>>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// The forwarder shuts down and closes all connections.
    ShuttingDown,
    /// The connection was evicted, or no request was received in time.
    EvictedOrIdle,
}

pub(super) struct ServedConnection {
    pub(super) stream: TcpStream,
    pub(super) client: SocketAddr,
    pub(super) service: IngressService,
    /// The maximum length of a request head, in bytes, and thus of what the HTTP library buffers.
    pub(super) max_head_bytes: usize,
    /// The permit to keep an accepted connection open. Released when the descriptor is closed, or when
    /// [`linger`] begins to discard the data that the client still sends.
    pub(super) connection_permit: Option<OwnedSemaphorePermit>,
    /// One permit for each closed connection that may linger. Without a permit, a connection is dropped
    /// immediately.
    pub(super) linger_permits: Arc<Semaphore>,
}

impl ServedConnection {
    pub(super) async fn run(self) {
        let connection = self.service.connection.clone();
        let close_reason = wait_for_close_reason(self.service.clients.closing(), &connection);
        let stream = CountedStream::new(self.stream, connection.clone());
        let service = TowerToHyperService::new(self.service);
        let mut http: HttpConnection =
            http1::Builder::new().max_buf_size(self.max_head_bytes).serve_connection(stream, service);
        let ended = tokio::select! {
            biased;
            ended = &mut http => ended,
            reason = close_reason => close(&mut http, &connection, reason).await,
        };
        if let Err(error) = ended {
            tracing::debug!(client = %self.client, %error, "client connection failed");
        }
        // A connection without a request has no response in flight.
        let linger_permit = self.linger_permits.try_acquire_owned();
        if linger_permit.is_ok() && connection.has_received_request() {
            drop(self.connection_permit);
            linger(http.into_parts().io.into_inner()).await;
        } else {
            drop(http);
            drop(self.connection_permit);
        }
    }
}

/// Waits until this side must close the connection. Returns the reason.
async fn wait_for_close_reason(
    mut closing: watch::Receiver<bool>,
    connection: &ClientConnection,
) -> CloseReason {
    tokio::select! {
        _ = closing.wait_for(|closing| *closing) => CloseReason::ShuttingDown,
        () = connection.wait_for_eviction() => CloseReason::EvictedOrIdle,
        () = wait_for_idle_deadline(connection) => CloseReason::EvictedOrIdle,
    }
}

async fn wait_for_idle_deadline(connection: &ClientConnection) {
    loop {
        match connection.phase().idle_deadline() {
            Some(deadline) if deadline <= Instant::now() => return,
            Some(deadline) => sleep_until(deadline).await,
            None => sleep(IN_REQUEST_CHECK_INTERVAL).await,
        }
    }
}

/// Closes a connection, after waiting at most `LAST_REQUEST_TIMEOUT` for a request that has begun or is
/// expected.
async fn close(
    http: &mut HttpConnection,
    connection: &ClientConnection,
    reason: CloseReason,
) -> hyper::Result<()> {
    // Waits for the rest of a request head, or for the first request of a client that connected just before
    // the shutdown.
    let first_request_expected = reason == CloseReason::ShuttingDown && !connection.has_received_request();
    if first_request_expected || connection.next_request_begun() {
        if let Ok(ended) = timeout(LAST_REQUEST_TIMEOUT, &mut *http).await {
            return ended;
        }
    }
    shut_down_gracefully(http, connection, reason).await
}

/// Lets the HTTP library close the connection, and waits for a request in progress.
async fn shut_down_gracefully(
    http: &mut HttpConnection,
    connection: &ClientConnection,
    reason: CloseReason,
) -> hyper::Result<()> {
    let shutting_down = reason == CloseReason::ShuttingDown;
    Pin::new(&mut *http).graceful_shutdown();
    loop {
        let without_request = !shutting_down && !connection.has_received_request();
        let wait = if without_request { Duration::ZERO } else { LAST_REQUEST_TIMEOUT };
        match timeout(wait, &mut *http).await {
            Ok(ended) => return ended,
            Err(_) if !shutting_down && connection.phase() != ConnectionPhase::InRequest => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Shuts down the writing side and discards data that is still received, none of which was accepted.
async fn linger(mut stream: TcpStream) {
    let drained = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    let _ = timeout(LINGER_TIMEOUT, drained).await;
}
