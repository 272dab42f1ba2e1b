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

use crate::connections::{locked, read_observed};
use crate::http_progress::HeadScanner;

/// How long the head of the first request may take. With the limit for bodies (`service`) less than three seconds
/// together, and far more than a client waits for its response.
const FIRST_HEAD_WITHIN: Duration = Duration::from_millis(2100);
/// How long a connection may stand idle after a response before it is closed.
const IDLE_WITHIN: Duration = Duration::from_millis(2100);
/// A new client sends its request right away: for so long after it was accepted a connection is not closed to make
/// room for another.
const EVICTION_PROTECTED: Duration = Duration::from_millis(100);

/// Where a client connection stands.
///
/// `AwaitingFirstRequest` → `InRequest` ⇄ `Idle`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Accepted, and the head of a request has not come whole yet.
    AwaitingFirstRequest {
        /// When it was accepted.
        since: Instant,
    },
    /// A request is being answered.
    InRequest,
    /// The last request was answered, and the head of another has not come whole yet.
    Idle {
        /// When the response was ready.
        since: Instant,
    },
}

/// How readily a connection is closed to make room for another: the smallest value first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// A client that has connected and then said nothing, the oldest first.
    Silent(Instant),
    /// A client that may use another connection for its next request, the one idle for longest first.
    Idle(Instant),
}

impl ConnectionPhase {
    /// When the connection is closed if nothing more comes; none while a request is being answered.
    pub(super) fn idle_deadline(self) -> Option<Instant> {
        match self {
            ConnectionPhase::AwaitingFirstRequest { since } => Some(since + FIRST_HEAD_WITHIN),
            ConnectionPhase::Idle { since } => Some(since + IDLE_WITHIN),
            ConnectionPhase::InRequest => None,
        }
    }

    /// How readily the connection is closed for another; none where it must not be.
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

/// One client's connection, as the tasks that serve it and make room see it.
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

    /// Where the connection stands.
    pub(super) fn phase(&self) -> ConnectionPhase {
        *locked(&self.phase)
    }

    /// The head of a request has come whole.
    pub(super) fn request_started(&self) {
        *locked(&self.phase) = ConnectionPhase::InRequest;
    }

    /// The response to the request is ready; what comes from here on belongs to the next request.
    pub(super) fn response_ready(&self) {
        *locked(&self.request_bytes) = RequestBytes::default();
        *locked(&self.phase) = ConnectionPhase::Idle { since: Instant::now() };
    }

    /// Whether a request has come on it at any time.
    pub(super) fn had_request(&self) -> bool {
        !matches!(self.phase(), ConnectionPhase::AwaitingFirstRequest { .. })
    }

    /// Whether it has answered a request and a part of the next one's head has come.
    pub(super) fn next_request_begun(&self) -> bool {
        matches!(self.phase(), ConnectionPhase::Idle { .. }) && locked(&self.request_bytes).begun
    }

    /// Bytes that came behind the head of the current request.
    pub(super) fn bytes_past_head(&self) -> usize {
        locked(&self.request_bytes).past_head
    }

    /// Asks the task that serves the connection to close it: room is needed for another.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until the connection is to be closed for another.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// What has come of the current request, counted from the bytes themselves: more of them than its length says are a
/// wrong length or another request hidden in the body, as clients of the protocol send one request at a time.
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

    /// The stream itself, of which nothing is counted any more.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let count = |bytes: &[u8]| locked(&this.connection.request_bytes).received(bytes);
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
