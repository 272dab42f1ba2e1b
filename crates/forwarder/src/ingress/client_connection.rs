//! The phase of a client connection, and the byte count of its current request.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connections::{lock, read_observed};
use crate::http_progress::HeadScanner;

/// The time limit for the head of the first request.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// The time for which a connection may be idle after a response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// The time for which a new connection is not evicted, so that its client can send a request.
const EVICTION_PROTECTION: Duration = Duration::from_millis(100);

/// The phase of a client connection.
///
/// `AwaitingFirstRequest` → `InRequest` ⇄ `Idle`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// The connection is accepted, and no complete request head was received.
    AwaitingFirstRequest {
        /// When the connection was accepted.
        since: Instant,
    },
    /// A request is being processed.
    InRequest,
    /// The last request was answered, and no complete head of the next one was received.
    Idle {
        /// When the last response was ready.
        since: Instant,
    },
}

/// The eviction order of connections. The smallest value is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// The client sent no complete request head. The oldest connection is evicted first.
    NoRequest(Instant),
    /// The client can use another connection for its next request. The connection idle longest is evicted
    /// first.
    Idle(Instant),
}

impl ConnectionPhase {
    /// Returns when the connection is closed unless a request is received. `None` during a request.
    pub(super) fn idle_deadline(self) -> Option<Instant> {
        match self {
            ConnectionPhase::AwaitingFirstRequest { since } => Some(since + FIRST_HEAD_TIMEOUT),
            ConnectionPhase::Idle { since } => Some(since + IDLE_TIMEOUT),
            ConnectionPhase::InRequest => None,
        }
    }

    /// Returns the connection's position in the eviction order. `None` if it must not be evicted.
    pub(super) fn eviction_priority(self) -> Option<EvictionPriority> {
        match self {
            ConnectionPhase::AwaitingFirstRequest { since } => {
                (since.elapsed() >= EVICTION_PROTECTION).then_some(EvictionPriority::NoRequest(since))
            }
            ConnectionPhase::Idle { since } => Some(EvictionPriority::Idle(since)),
            ConnectionPhase::InRequest => None,
        }
    }
}

/// A client connection, shared by the task that serves it and the task that evicts connections.
pub(super) struct ClientConnection {
    phase: Mutex<ConnectionPhase>,
    request_bytes: Mutex<RequestByteCounter>,
    evicted: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn accepted() -> ClientConnection {
        ClientConnection {
            phase: Mutex::new(ConnectionPhase::AwaitingFirstRequest { since: Instant::now() }),
            request_bytes: Mutex::default(),
            evicted: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> ConnectionPhase {
        *lock(&self.phase)
    }

    /// Records that a complete request head was received.
    pub(super) fn record_request_start(&self) {
        *lock(&self.phase) = ConnectionPhase::InRequest;
    }

    /// Records that the response is ready. Bytes received from now on belong to the next request.
    pub(super) fn record_response_ready(&self) {
        *lock(&self.request_bytes) = RequestByteCounter::default();
        *lock(&self.phase) = ConnectionPhase::Idle { since: Instant::now() };
    }

    /// Returns whether a complete request head was received on the connection.
    pub(super) fn has_received_request(&self) -> bool {
        !matches!(self.phase(), ConnectionPhase::AwaitingFirstRequest { .. })
    }

    /// Returns whether a request was answered and part of the next request was received.
    pub(super) fn next_request_begun(&self) -> bool {
        matches!(self.phase(), ConnectionPhase::Idle { .. }) && lock(&self.request_bytes).begun
    }

    /// Returns the number of bytes received after the head of the current request.
    pub(super) fn bytes_after_head(&self) -> usize {
        lock(&self.request_bytes).after_head
    }

    /// Asks the task that serves the connection to close it.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }

    pub(super) async fn wait_for_eviction(&self) {
        self.evicted.notified().await;
    }
}

/// Counts the bytes received for the current request.
///
/// More bytes than the request's length indicate a wrong length or a request hidden in the body, because
/// clients send one request at a time.
#[derive(Default)]
struct RequestByteCounter {
    begun: bool,
    head: HeadScanner,
    after_head: usize,
}

impl RequestByteCounter {
    fn record_received(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.after_head += self.head.skip(bytes).len();
    }
}

/// A client's TCP stream that counts the bytes of each request.
pub(super) struct CountedStream {
    stream: TokioIo<TcpStream>,
    connection: Arc<ClientConnection>,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> CountedStream {
        CountedStream { stream: TokioIo::new(stream), connection }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let count = |bytes: &[u8]| lock(&this.connection.request_bytes).record_received(bytes);
        read_observed(&mut this.stream, cx, buf, count)
    }
}

impl Write for CountedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
