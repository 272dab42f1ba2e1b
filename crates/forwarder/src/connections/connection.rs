//! One open HTTP/1 connection and the requests on it.

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

/// Bytes of a response head at most: far more than any response of the protocol has. One without end fails here.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The task that drives a connection. Dropping this aborts the task, which closes the connection.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One open connection. Dropping it closes it, whatever is in flight on it.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Arc<ExchangeProgress>,
    /// The number of requests that were sent on it.
    requests: u32,
    /// How long it was idle before the last of them.
    idle_before_use: Duration,
    _driver: Driver,
}

impl Connection {
    /// Connects to an address.
    ///
    /// The permit is released once the connection is closed. On an error nothing was sent: connecting timed out, was
    /// refused, or this machine has no descriptor for the connection.
    pub(crate) async fn open(
        to: SocketAddr,
        within: Duration,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Self, AttemptResult> {
        let stream = connect(to, within).await?;
        let progress = Arc::<ExchangeProgress>::default();
        let observed = ObservedStream::new(stream, progress.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(observed).await;
        let (sender, connection) = handshake.map_err(|_| AttemptResult::ResetWhileSending)?;
        let driver = tokio::spawn(async move {
            // A request on the connection gets its error from `send`.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            progress,
            requests: 0,
            idle_before_use: Duration::ZERO,
            _driver: Driver(driver.abort_handle()),
        })
    }

    /// Sends one request, once, and waits for the head of its response.
    ///
    /// The error depends on whether the last byte of the request had been sent: only then may it have been executed.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptResult> {
        let body_bytes = request.body().size_hint().exact().unwrap_or(u64::MAX);
        self.progress.begin(usize::try_from(body_bytes).unwrap_or(usize::MAX));
        let response = self.sender.send_request(request).await;
        self.requests += 1;
        response.map_err(|error| self.send_error(&error))
    }

    /// Logs why a request got no response, and returns the result that this proves.
    fn send_error(&self, error: &hyper::Error) -> AttemptResult {
        let fully_sent = self.progress.request_complete();
        tracing::debug!(
            %error,
            fully_sent,
            earlier_requests = self.requests - 1,
            idle_for = ?self.idle_before_use,
            "request got no response"
        );
        match (fully_sent, error.is_parse()) {
            (false, _) => AttemptResult::ResetWhileSending,
            (true, false) => AttemptResult::ConnectionReset,
            (true, true) => AttemptResult::MalformedResponse,
        }
    }

    /// Marks the connection as taken out of the pool, after it was idle for this long.
    pub(super) fn reused_after(self, idle: Duration) -> Connection {
        Connection { idle_before_use: idle, ..self }
    }

    /// How long it was idle before its last request.
    pub(super) fn idle_before_use(&self) -> Duration {
        self.idle_before_use
    }

    /// Whether exactly one request was sent on it.
    pub(crate) fn is_new(&self) -> bool {
        self.requests == 1
    }

    /// Whether the connection had already ended between two requests: it has carried one, and nothing of the last
    /// one was written. Such an end says nothing about the endpoint, and the request may go on another connection.
    pub(crate) fn ended_while_idle(&self) -> bool {
        self.requests > 1 && !self.progress.request_begun()
    }

    /// Whether any byte of a response to the last request was received.
    pub(super) fn response_begun(&self) -> bool {
        self.progress.response_begun()
    }

    /// Whether the status line of the response says that the request was completed.
    pub(crate) fn status_is_ok(&self) -> bool {
        self.progress.status_is_ok()
    }

    /// Waits until the status line of the response says that the request was completed, whatever follows it.
    pub(crate) fn wait_for_ok_status(&self) -> impl Future<Output = ()> {
        let progress = self.progress.clone();
        async move { progress.wait_for_ok_status().await }
    }

    /// Waits until the last response was read completely; returns whether another request may be sent.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether another request may be sent at once.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the other side has closed it.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Opens a TCP stream.
async fn connect(to: SocketAddr, within: Duration) -> Result<TcpStream, AttemptResult> {
    let stream = match timeout(within, TcpStream::connect(to)).await {
        Err(_) => return Err(AttemptResult::ConnectTimedOut),
        Ok(Err(error)) if out_of_descriptors(&error) => return Err(AttemptResult::NotSent),
        Ok(Err(_)) => return Err(AttemptResult::ConnectionRefused),
        Ok(Ok(stream)) => stream,
    };
    // With Nagle's algorithm a small request would wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Whether this machine, and not the other side, lacks the resources for one more connection.
pub(crate) fn out_of_descriptors(error: &io::Error) -> bool {
    // Linux error numbers that have no `io::ErrorKind` of their own.
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}
