//! The phase of one client connection, and the bytes of its current request.

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

/// How long the head of the first request may take. With the limit for bodies (`service`) less than three seconds
/// together, and far more than a client waits for its response.
const FIRST_HEAD_WITHIN: Duration = Duration::from_millis(2100);
/// How long a connection may stand idle after a response before it is closed.
const IDLE_WITHIN: Duration = Duration::from_millis(2100);
/// How long a new connection is protected from eviction: a usual client sends its request right away.
const EVICTION_PROTECTED: Duration = Duration::from_millis(100);

/// The phase of a client connection.
///
/// `AwaitingFirstRequest` → `InRequest` ⇄ `Idle`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Accepted; no complete request head was received yet.
    AwaitingFirstRequest {
        /// When it was accepted.
        since: Instant,
    },
    /// A request is being answered.
    InRequest,
    /// The last request was answered; no complete head of the next was received yet.
    Idle {
        /// When the response was ready.
        since: Instant,
    },
}

/// The order in which connections are evicted for new ones: the smallest value first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// Its client has connected and sent no request; the oldest first.
    Silent(Instant),
    /// Its client can use another connection for its next request; the one idle for longest first.
    Idle(Instant),
}

impl ConnectionPhase {
    /// When the connection is closed if nothing more is received; None while a request is being answered.
    pub(super) fn idle_deadline(self) -> Option<Instant> {
        match self {
            ConnectionPhase::AwaitingFirstRequest { since } => Some(since + FIRST_HEAD_WITHIN),
            ConnectionPhase::Idle { since } => Some(since + IDLE_WITHIN),
            ConnectionPhase::InRequest => None,
        }
    }

    /// Its rank in the order of eviction; None if it must not be evicted.
    pub(super) fn eviction_priority(self) -> Option<EvictionPriority> {
        match self {
            ConnectionPhase::AwaitingFirstRequest { since } => {
                (since.elapsed() >= EVICTION_PROTECTED).then_some(EvictionPriority::Silent(since))
            }
            ConnectionPhase::Idle { since } => Some(EvictionPriority::Idle(since)),
            ConnectionPhase::InRequest => None,
        }
    }
}

/// One client's connection, shared by the task that serves it and the task that evicts.
pub(super) struct ClientConnection {
    phase: Mutex<ConnectionPhase>,
    request_bytes: Mutex<RequestBytes>,
    evicted: Notify,
}

impl ClientConnection {
    /// A connection that was accepted just now.
    pub(super) fn accepted() -> ClientConnection {
        ClientConnection {
            phase: Mutex::new(ConnectionPhase::AwaitingFirstRequest { since: Instant::now() }),
            request_bytes: Mutex::default(),
            evicted: Notify::new(),
        }
    }

    /// The phase of the connection.
    pub(super) fn phase(&self) -> ConnectionPhase {
        *lock(&self.phase)
    }

    /// A complete request head was received.
    pub(super) fn request_started(&self) {
        *lock(&self.phase) = ConnectionPhase::InRequest;
    }

    /// The response to the request is ready; bytes received from here on belong to the next request.
    pub(super) fn response_ready(&self) {
        *lock(&self.request_bytes) = RequestBytes::default();
        *lock(&self.phase) = ConnectionPhase::Idle { since: Instant::now() };
    }

    /// Whether any request was received on it.
    pub(super) fn had_request(&self) -> bool {
        !matches!(self.phase(), ConnectionPhase::AwaitingFirstRequest { .. })
    }

    /// Whether it has answered a request and received a part of the next one's head.
    pub(super) fn next_request_begun(&self) -> bool {
        matches!(self.phase(), ConnectionPhase::Idle { .. }) && lock(&self.request_bytes).begun
    }

    /// How many bytes were received behind the head of the current request.
    pub(super) fn bytes_past_head(&self) -> usize {
        lock(&self.request_bytes).past_head
    }

    /// Asks the task that serves the connection to close it in favour of another.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// How much of the current request was received, counted from the bytes on the connection. More bytes than its length
/// says are a wrong length or another request hidden in the body, as clients of the protocol send one request at a
/// time.
#[derive(Default)]
struct RequestBytes {
    begun: bool,
    head: HeadScanner,
    past_head: usize,
}

impl RequestBytes {
    fn received(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.past_head += self.head.skip(bytes).len();
    }
}

/// A client's stream that counts the bytes of each request.
pub(super) struct CountedStream {
    stream: TokioIo<TcpStream>,
    connection: Arc<ClientConnection>,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> CountedStream {
        CountedStream { stream: TokioIo::new(stream), connection }
    }

    /// Returns the inner stream.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let count = |bytes: &[u8]| lock(&this.connection.request_bytes).received(bytes);
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
