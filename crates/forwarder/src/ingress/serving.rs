//! Serves one client connection to its end, and closes it so that no response is lost.

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

/// The time limit for the rest of a request's head if the connection is about to be closed.
const LAST_REQUEST_WITHIN: Duration = Duration::from_millis(100);
/// How often a connection with a request in progress is checked for whether it has become idle.
const IN_REQUEST_RECHECK: Duration = Duration::from_millis(100);
/// How long bytes of a closed connection are still read and discarded: the system resets a connection that is dropped
/// with unread bytes, and a response that is still in flight would be lost with it.
const LINGER: Duration = Duration::from_millis(300);
/// The most bytes that the HTTP library buffers for a connection, and so the longest head.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

type HttpConnection = http1::Connection<CountedStream, TowerToHyperService<IngressService>>;

/// Why the server closes a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// The forwarder shuts down: every connection is closed.
    ShuttingDown,
    /// Evicted for another connection, or no request was received in time.
    EvictedOrIdle,
}

/// One client connection that is served.
pub(super) struct ServedConnection {
    pub(super) stream: TcpStream,
    pub(super) client: SocketAddr,
    pub(super) service: IngressService,
    /// Counts the connection; free once its descriptor is closed or lingers.
    pub(super) slot: Option<OwnedSemaphorePermit>,
    /// How many closed connections may linger; beyond that they are dropped.
    pub(super) lingering: Arc<Semaphore>,
}

impl ServedConnection {
    /// Serves the connection to its end.
    pub(super) async fn run(self) {
        let connection = self.service.connection.clone();
        let close_reason = close_reason(self.service.clients.closing(), &connection);
        let stream = CountedStream::new(self.stream, connection.clone());
        let service = TowerToHyperService::new(self.service);
        let mut http: HttpConnection =
            http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).serve_connection(stream, service);
        let ended = tokio::select! {
            biased;
            ended = &mut http => ended,
            reason = close_reason => close(&mut http, &connection, reason).await,
        };
        if let Err(error) = ended {
            tracing::debug!(client = %self.client, %error, "client connection failed");
        }
        // A connection that never had a request has no response in flight.
        let linger_permit = self.lingering.try_acquire_owned();
        if linger_permit.is_ok() && connection.had_request() {
            drop(self.slot);
            linger(http.into_parts().io.into_inner()).await;
        } else {
            drop(http);
            drop(self.slot);
        }
    }
}

/// Waits until the connection is to be closed by this side.
async fn close_reason(mut closing: watch::Receiver<bool>, connection: &ClientConnection) -> CloseReason {
    tokio::select! {
        _ = closing.wait_for(|closing| *closing) => CloseReason::ShuttingDown,
        () = connection.evicted() => CloseReason::EvictedOrIdle,
        () = idle_too_long(connection) => CloseReason::EvictedOrIdle,
    }
}

/// Waits until the connection was idle for as long as it may be.
async fn idle_too_long(connection: &ClientConnection) {
    loop {
        match connection.phase().idle_deadline() {
            Some(deadline) if deadline <= Instant::now() => return,
            Some(deadline) => sleep_until(deadline).await,
            None => sleep(IN_REQUEST_RECHECK).await,
        }
    }
}

/// Closes a connection, after a request that has begun.
async fn close(
    http: &mut HttpConnection,
    connection: &ClientConnection,
    reason: CloseReason,
) -> hyper::Result<()> {
    // Part of a head may have been received, and a client that connected just before the shutdown may have sent one.
    let first_request_expected = reason == CloseReason::ShuttingDown && !connection.had_request();
    if first_request_expected || connection.next_request_begun() {
        if let Ok(ended) = timeout(LAST_REQUEST_WITHIN, &mut *http).await {
            return ended;
        }
    }
    shut_down_gracefully(http, connection, reason).await
}

/// Lets the HTTP library close the connection, and waits for a request that is in progress.
async fn shut_down_gracefully(
    http: &mut HttpConnection,
    connection: &ClientConnection,
    reason: CloseReason,
) -> hyper::Result<()> {
    let all_close = reason == CloseReason::ShuttingDown;
    Pin::new(&mut *http).graceful_shutdown();
    loop {
        let silent = !all_close && !connection.had_request();
        let wait = if silent { Duration::ZERO } else { LAST_REQUEST_WITHIN };
        match timeout(wait, &mut *http).await {
            Ok(ended) => return ended,
            Err(_) if !all_close && connection.phase() != ConnectionPhase::InRequest => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Ends the writing side and discards what is still received: none of it was accepted.
async fn linger(mut stream: TcpStream) {
    let drained = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    let _ = timeout(LINGER, drained).await;
}
