//! An open HTTP/1 connection and the requests sent on it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use reeddock_protocol::AttemptResult;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::observed_stream::{ExchangeProgress, ObservedStream};
use crate::limits::MAX_RESPONSE_HEAD_BYTES;

/// The task that runs a connection. Dropping the value aborts the task, which closes the connection.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How a connection is opened.
pub(crate) struct ConnectionOptions {
    /// The time limit for connecting.
    pub connect_timeout: Duration,
    /// The maximum length of a response head, in bytes. A response with a longer or endless head fails.
    pub max_head_bytes: usize,
    /// Counts the connection against a limit, until the connection closes. `None` without a limit.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl ConnectionOptions {
    /// Returns the options of a connection to the platform, which counts against no limit.
    pub(crate) fn to_platform(connect_timeout: Duration) -> ConnectionOptions {
        ConnectionOptions { connect_timeout, max_head_bytes: MAX_RESPONSE_HEAD_BYTES, permit: None }
    }
}

/// An open connection. Dropping it closes the connection, including any request in flight.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Arc<ExchangeProgress>,
    requests_sent: u32,
    /// How long the connection was idle before its last request.
    idle_before_use: Duration,
    _driver: Driver,
}

impl Connection {
    /// Connects to an address.
    ///
    /// An error means that nothing was sent: connecting timed out or was refused, or this machine has no
    /// descriptor left.
    pub(crate) async fn open(address: SocketAddr, options: ConnectionOptions) -> Result<Self, AttemptResult> {
        let ConnectionOptions { connect_timeout, max_head_bytes, permit } = options;
        let stream = connect(address, connect_timeout).await?;
        let progress = Arc::<ExchangeProgress>::default();
        let observed = ObservedStream::new(stream, progress.clone());
        let handshake = http1::Builder::new().max_buf_size(max_head_bytes).handshake(observed).await;
        let (sender, connection) = handshake.map_err(|_| AttemptResult::ResetWhileSending)?;
        let driver = tokio::spawn(async move {
            // A request in flight receives the connection's error from `send`.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            progress,
            requests_sent: 0,
            idle_before_use: Duration::ZERO,
            _driver: Driver(driver.abort_handle()),
        })
    }

    /// Sends a request once and waits for the head of its response.
    ///
    /// The error says whether the last byte of the request was sent. Only then may the request have been
    /// executed.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptResult> {
        let body_bytes = request.body().size_hint().exact().unwrap_or(u64::MAX);
        self.progress.begin_request(usize::try_from(body_bytes).unwrap_or(usize::MAX));
        let response = self.sender.send_request(request).await;
        self.requests_sent += 1;
        response.map_err(|error| self.send_error(&error))
    }

    /// Logs why a request got no response and returns the corresponding result.
    fn send_error(&self, error: &hyper::Error) -> AttemptResult {
        let fully_sent = self.progress.request_complete();
        tracing::debug!(
            %error,
            fully_sent,
            earlier_requests = self.requests_sent - 1,
            idle_for = ?self.idle_before_use,
            "request got no response"
        );
        match (fully_sent, error.is_parse()) {
            (false, _) => AttemptResult::ResetWhileSending,
            (true, false) => AttemptResult::ConnectionReset,
            (true, true) => AttemptResult::MalformedResponse,
        }
    }

    /// Records that the connection was taken from the pool after it was idle for `idle`.
    pub(super) fn with_idle_before_use(self, idle: Duration) -> Connection {
        Connection { idle_before_use: idle, ..self }
    }

    pub(super) fn idle_before_use(&self) -> Duration {
        self.idle_before_use
    }

    /// Returns whether any request was sent on the connection.
    pub(super) fn was_used(&self) -> bool {
        self.requests_sent > 0
    }

    /// Returns whether the last request was the first one on the connection.
    pub(crate) fn is_first_request(&self) -> bool {
        self.requests_sent == 1
    }

    /// Returns whether a reused connection ended before any byte of the last request was sent.
    ///
    /// Such a failure gives no information about the endpoint, and the request may be sent on another
    /// connection.
    pub(crate) fn ended_while_idle(&self) -> bool {
        self.requests_sent > 1 && !self.progress.request_begun()
    }

    /// Returns whether any byte of a response to the last request was received.
    pub(super) fn response_begun(&self) -> bool {
        self.progress.response_begun()
    }

    /// Returns whether the status line of the response says 200.
    pub(crate) fn status_is_ok(&self) -> bool {
        self.progress.status_is_ok()
    }

    /// Waits until a status line that says 200 is received, even if the rest of the response is invalid.
    pub(crate) fn wait_for_ok_status(&self) -> impl Future<Output = ()> {
        let progress = self.progress.clone();
        async move { progress.wait_for_ok_status().await }
    }

    /// Waits until the last response was read completely. Returns whether another request may be sent.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether another request may be sent immediately.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the other side has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Opens a TCP stream. An error means that no connection was established.
async fn connect(address: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, AttemptResult> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Err(_) => return Err(AttemptResult::ConnectTimedOut),
        Ok(Err(error)) if is_resource_exhausted(&error) => return Err(AttemptResult::NotSent),
        Ok(Err(_)) => return Err(AttemptResult::ConnectionRefused),
        Ok(Ok(stream)) => stream,
    };
    // Disables Nagle's algorithm, which delays a small request until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Returns whether this machine, and not the other side, lacks the resources for another connection.
pub(crate) fn is_resource_exhausted(error: &io::Error) -> bool {
    // Linux error numbers without an `io::ErrorKind` of their own.
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}
