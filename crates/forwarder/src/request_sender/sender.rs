//! Sends one request on a connection and reads from its response how each message ended.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{response, Request, Response};
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::Incoming;
use reeddock::EndpointId;
use reeddock_protocol::{self as protocol, AttemptResult, BatchResponseBody, BodyEnd, OutgoingMessage};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};
use tower::Service;

use super::request::{BatchMessage, EndpointRequest, MessageResult, RequestResult};
use crate::connections::{lock, Connection, ConnectionPool};

/// How long the rest of a response is read before a result that is already certain is returned. If the rest arrives by
/// then, a request that follows immediately can reuse the connection.
const RESPONSE_REMAINDER_BEFORE_RESULT: Duration = Duration::from_millis(20);
/// How long the rest is read in the background after that; then the connection is closed.
const RESPONSE_REMAINDER_AFTER_RESULT: Duration = Duration::from_secs(2);
/// The most bytes of a response body that are read. No response of the protocol is longer, and some never end.
const MAX_RESPONSE_BYTES: usize = 2 * protocol::MAX_BODY_BYTES;

/// Sends requests to endpoints. Dropping the future of one closes its connection and so cancels the request.
///
/// Clones share one pool of connections and one set of background tasks; these are aborted with the last clone.
#[derive(Clone)]
pub struct RequestSender {
    /// The pool of connections to endpoints.
    connections: ConnectionPool,
    remainders: ResponseRemainders,
}

impl RequestSender {
    /// A sender that uses the connections of this pool.
    pub fn new(connections: ConnectionPool) -> RequestSender {
        RequestSender { connections, remainders: ResponseRemainders::default() }
    }

    /// The pool of connections to endpoints.
    pub fn connections(&self) -> &ConnectionPool {
        &self.connections
    }
}

/// Owns the tasks that read the rest of responses whose results are known. None of them holds a clone of this.
#[derive(Clone, Default)]
struct ResponseRemainders(Arc<Mutex<JoinSet<()>>>);

impl ResponseRemainders {
    /// Starts a task that reads the rest of a response, and ends by its time limit at the latest.
    fn spawn(&self, remainder: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.0);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async {
            let _ = timeout(RESPONSE_REMAINDER_AFTER_RESULT, remainder).await;
        });
    }
}

impl Service<EndpointRequest> for RequestSender {
    type Response = RequestResult;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<RequestResult, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: EndpointRequest) -> Self::Future {
        let RequestSender { connections, remainders } = self.clone();
        Box::pin(async move {
            let positions = 0..request.messages.len();
            let not_sent = |result| RequestResult::same_for_all(positions, result);
            let delivery = RequestDelivery { connections, remainders, request };
            Ok(delivery.run().await.unwrap_or_else(not_sent))
        })
    }
}

/// The messages of a request that are sent, by their positions in it. Never empty.
struct SentBatch {
    positions: Vec<usize>,
    messages: Vec<OutgoingMessage>,
    /// The latest time until which a response is waited for; sent to the endpoint as a time limit.
    response_deadline: Instant,
}

impl SentBatch {
    /// The message of a request with one message; None for a batch.
    fn single(&self) -> Option<&OutgoingMessage> {
        match &self.messages[..] {
            [message] => Some(message),
            _ => None,
        }
    }

    /// The HTTP request that carries them, with the longest of their time limits.
    fn http_request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, AttemptResult> {
        let response_timeout = self.response_deadline.saturating_duration_since(Instant::now());
        let request = match self.single() {
            Some(message) => protocol::single_request(address, message, response_timeout),
            None => protocol::batch_request(address, &self.messages, response_timeout),
        };
        request.map_err(|_| AttemptResult::NotSent)
    }

    fn same_for_all(&self, result: AttemptResult) -> RequestResult {
        RequestResult::same_for_all(self.positions.iter().copied(), result)
    }
}

/// The outcome of sending a request on one connection, up to the head of its response.
enum Exchange {
    /// The head was received, or the request failed.
    Finished(Result<Response<Incoming>, AttemptResult>),
    /// The status line says that the only message is completed; the rest of the head was not received in time.
    CompletedByStatusLine,
}

/// One request, from its connection to its results.
struct RequestDelivery {
    connections: ConnectionPool,
    remainders: ResponseRemainders,
    request: EndpointRequest,
}

impl RequestDelivery {
    /// Sends the request. An error is the result of every message, none of which was sent.
    async fn run(self) -> Result<RequestResult, AttemptResult> {
        loop {
            let mut connection =
                self.connections.acquire(self.request.endpoint, self.request.address).await?;
            let batch = match self.start_sending() {
                Ok(batch) => batch,
                Err(result) => {
                    self.return_unused(connection).await;
                    return Err(result);
                }
            };
            let http_request = batch
                .http_request(self.request.address)
                .inspect_err(|_| self.request.departure.revert_to_awaiting_connection())?;
            let response = match exchange(&mut connection, &batch, http_request).await {
                Exchange::Finished(response) => response,
                Exchange::CompletedByStatusLine => return Ok(batch.same_for_all(AttemptResult::Completed)),
            };
            if response.is_err() && connection.ended_while_idle() {
                // No byte of it was sent, so that it may be sent on another connection.
                self.request.departure.revert_to_awaiting_connection();
                continue;
            }
            match &response {
                Ok(_) => self.connections.record_answer(&connection),
                Err(_) => self.connections.record_break(&connection),
            }
            return Ok(self.read_results(connection, response, &batch).await);
        }
    }

    /// Decides which messages are sent, now that the connection is open: conditions may have changed since the request
    /// was decided on. An error is the result of every message.
    fn start_sending(&self) -> Result<SentBatch, AttemptResult> {
        self.connections.check_may_send(self.request.endpoint)?;
        let positions = self.request.departure.start_sending(self.request.messages.len());
        let batch: Vec<&BatchMessage> =
            positions.iter().map(|position| &self.request.messages[*position]).collect();
        let response_deadline =
            batch.iter().map(|member| member.response_deadline).max().ok_or(AttemptResult::NotSent)?;
        let messages = batch.into_iter().map(|member| member.message.clone()).collect();
        Ok(SentBatch { positions, messages, response_deadline })
    }

    /// Returns a connection to the pool on which nothing was sent.
    async fn return_unused(&self, mut connection: Connection) {
        self.request.departure.revert_to_awaiting_connection();
        if connection.ready().await {
            self.connections.release(self.request.endpoint, connection);
        }
    }

    /// Reads how each message ended.
    async fn read_results(
        &self,
        connection: Connection,
        response: Result<Response<Incoming>, AttemptResult>,
        batch: &SentBatch,
    ) -> RequestResult {
        let single = batch.single().is_some();
        let (head, body) = match response {
            Ok(response) => response.into_parts(),
            // The library could not read the head, but its first line is known.
            Err(_) if single && connection.status_is_ok() => {
                return batch.same_for_all(AttemptResult::Completed)
            }
            Err(result) => return batch.same_for_all(result),
        };
        if connection.is_new() && protocol::rejects_connection(&head) {
            self.connections.connection_rejected(self.request.endpoint);
        }
        let load_report = protocol::parse_load_report(&head);
        let result = if single && protocol::parse_attempt_result(&head) == AttemptResult::Completed {
            self.finish_in_background(connection, body).await;
            batch.same_for_all(AttemptResult::Completed)
        } else {
            self.read_whole_response(connection, &head, body, batch).await
        };
        RequestResult { load_report, ..result }
    }

    /// Reads the rest of a response whose result is known, so that the connection can be reused. Waits only shortly for
    /// it; then the rest is read in the background.
    async fn finish_in_background(&self, connection: Connection, body: Incoming) {
        let remainder = read_remainder(self.connections.clone(), self.request.endpoint, connection, body);
        let mut remainder = Box::pin(remainder);
        if timeout(RESPONSE_REMAINDER_BEFORE_RESULT, &mut remainder).await.is_err() {
            self.remainders.spawn(remainder);
        }
    }

    /// Reads the body of a response. Where it is late, the `Retry-After` in the head is reported meanwhile: the pause
    /// has begun, and no other request may be sent to the endpoint while the body is outstanding.
    async fn read_body(
        &self,
        head: &response::Parts,
        body: Incoming,
    ) -> Result<Collected<Bytes>, Box<dyn Error + Send + Sync>> {
        let mut whole_body = pin!(Limited::new(body, MAX_RESPONSE_BYTES).collect());
        if let Ok(body) = timeout(RESPONSE_REMAINDER_BEFORE_RESULT, &mut whole_body).await {
            return body;
        }
        if let Some(retry_after) = protocol::parse_retry_after(head) {
            self.request.early_retry_after.send_replace(Some(retry_after));
        }
        whole_body.await
    }

    /// Reads a response whose results are in the body, or are proven only by a complete response.
    async fn read_whole_response(
        &self,
        mut connection: Connection,
        head: &response::Parts,
        body: Incoming,
        batch: &SentBatch,
    ) -> RequestResult {
        let Ok(body) = self.read_body(head, body).await else {
            // The `Retry-After` is in the head, and is valid even if the body is not.
            let retry_after = protocol::parse_retry_after(head);
            return RequestResult { retry_after, ..batch.same_for_all(AttemptResult::MalformedResponse) };
        };
        let end = if connection.ready().await {
            self.connections.release(self.request.endpoint, connection);
            BodyEnd::Confirmed
        } else {
            BodyEnd::Unconfirmed
        };
        if batch.single().is_some() {
            return batch.same_for_all(protocol::parse_attempt_result(head));
        }
        let body = BatchResponseBody { bytes: &body.to_bytes(), end };
        let results = protocol::parse_batch_results(head, body, &batch.messages);
        let members = batch.positions.iter().zip(results);
        let results =
            members.map(|(position, result)| MessageResult { position: *position, result }).collect();
        RequestResult { retry_after: protocol::parse_retry_after(head), ..RequestResult::new(results) }
    }
}

/// Sends a request and waits for the head of its response; for a single message no longer than shortly after a
/// status line that says 200, as the rest of the head may have no end, or can't be read.
async fn exchange(
    connection: &mut Connection,
    batch: &SentBatch,
    http_request: Request<Full<Bytes>>,
) -> Exchange {
    let ok_status = connection.wait_for_ok_status();
    let completed_by_status_line = async {
        ok_status.await;
        sleep(RESPONSE_REMAINDER_BEFORE_RESULT).await;
    };
    tokio::select! {
        biased;
        response = connection.send(http_request) => Exchange::Finished(response),
        () = completed_by_status_line, if batch.single().is_some() => Exchange::CompletedByStatusLine,
    }
}

/// Reads the rest of a response and returns its connection to the pool.
async fn read_remainder(
    connections: ConnectionPool,
    endpoint: EndpointId,
    mut connection: Connection,
    body: Incoming,
) {
    let complete = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.is_ok();
    if complete && connection.ready().await {
        connections.release(endpoint, connection);
    }
}
