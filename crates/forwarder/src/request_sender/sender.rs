//! Sends a request on a connection and reads the result of each message from the response.

use std::convert::Infallible;
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use reeddock_protocol::{AttemptResult, BatchResponseDecoder, BodyEnd, ResponseHead};
use tokio::time::{sleep, timeout};
use tower::Service;

use super::request::{BatchMessage, EndpointRequest, MessageResult, RequestResult};
use super::response_remainder::{
    ResponseRemainder, ResponseRemainders, MAX_RESPONSE_BYTES, REMAINDER_WAIT_BEFORE_RESULT,
};
use super::sent_batch::SentBatch;
use crate::body_reader::read_body;
use crate::connections::{Connection, ConnectionPool};

/// Sends requests to endpoints. Dropping the future of a request closes its connection and cancels the
/// request.
///
/// Clones share one pool of connections and one set of background tasks. The tasks are aborted when the last
/// clone is dropped.
#[derive(Clone)]
pub struct RequestSender {
    connections: ConnectionPool,
    remainders: ResponseRemainders,
}

impl RequestSender {
    /// Creates a sender that uses the connections of this pool.
    pub fn new(connections: ConnectionPool) -> RequestSender {
        RequestSender { connections, remainders: ResponseRemainders::default() }
    }

    /// Returns the pool of connections to endpoints.
    pub fn connections(&self) -> &ConnectionPool {
        &self.connections
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

/// The outcome of sending a request on a connection, up to the head of its response.
enum ExchangeOutcome {
    /// The response head was received, or the request failed.
    Finished(Result<Response<Incoming>, AttemptResult>),
    /// The status line says 200 for a single message, but the rest of the head was not received in time.
    CompletedByStatusLine,
}

/// A request in progress, from acquiring its connection to its results.
struct RequestDelivery {
    connections: ConnectionPool,
    remainders: ResponseRemainders,
    request: EndpointRequest,
}

impl RequestDelivery {
    /// Sends the request. The error is the result of every message, none of which was sent.
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
                .inspect_err(|_| self.request.send_state.revert_to_awaiting_connection())?;
            let response = match exchange(&mut connection, &batch, http_request).await {
                ExchangeOutcome::Finished(response) => response,
                ExchangeOutcome::CompletedByStatusLine => {
                    return Ok(batch.same_for_all(AttemptResult::Completed))
                }
            };
            if response.is_err() && connection.ended_while_idle() {
                // No byte was sent, so the request may be sent on another connection.
                self.request.send_state.revert_to_awaiting_connection();
                continue;
            }
            match &response {
                Ok(_) => self.connections.record_response(&connection),
                Err(_) => self.connections.record_broken_connection(&connection),
            }
            return Ok(self.read_results(connection, response, &batch).await);
        }
    }

    /// Selects the messages to send after the connection is open, because messages may have expired or been
    /// cancelled meanwhile. The error is the result of every message.
    fn start_sending(&self) -> Result<SentBatch, AttemptResult> {
        self.connections.check_may_send(self.request.endpoint, self.request.address)?;
        let positions = self.request.send_state.start_sending(self.request.messages.len());
        let batch: Vec<&BatchMessage> =
            positions.iter().map(|position| &self.request.messages[*position]).collect();
        let response_deadline =
            batch.iter().map(|member| member.response_deadline).max().ok_or(AttemptResult::NotSent)?;
        let messages = batch.into_iter().map(|member| member.message.clone()).collect();
        Ok(SentBatch { positions, messages, response_deadline })
    }

    /// Returns an unused connection to the pool. Nothing was sent on it since it was taken from the pool or
    /// opened.
    async fn return_unused(&self, mut connection: Connection) {
        self.request.send_state.revert_to_awaiting_connection();
        if connection.ready().await {
            self.connections.release(self.request.endpoint, connection);
        }
    }

    /// Reads the result of each message from the response.
    async fn read_results(
        &self,
        connection: Connection,
        response: Result<Response<Incoming>, AttemptResult>,
        batch: &SentBatch,
    ) -> RequestResult {
        let single = batch.single_message().is_some();
        let (parts, body) = match response {
            Ok(response) => response.into_parts(),
            // The HTTP library could not parse the head, but the status line says 200.
            Err(_) if single && connection.status_is_ok() => {
                return batch.same_for_all(AttemptResult::Completed)
            }
            Err(result) => return batch.same_for_all(result),
        };
        let head = ResponseHead::decode(&parts);
        // The headers are dropped before the body is read, because they keep the read buffer that they came in.
        drop(parts);
        if connection.is_first_request() && head.rejects_connection {
            self.connections.connection_rejected(self.request.endpoint);
        }
        let result = if single && head.result == AttemptResult::Completed {
            let remainder = ResponseRemainder { endpoint: self.request.endpoint, connection, body };
            self.remainders.read(&self.connections, remainder).await;
            batch.same_for_all(AttemptResult::Completed)
        } else {
            self.read_whole_response(connection, &head, body, batch).await
        };
        RequestResult { load_report: head.load_report, ..result }
    }

    /// Waits until the body of a response is read.
    ///
    /// If the body is late, the `Retry-After` of the head is reported first, because the wait counts from the
    /// head and no other request may be sent to the endpoint meanwhile.
    async fn wait_for_body<T>(&self, head: &ResponseHead, body: impl Future<Output = T>) -> T {
        let mut body = pin!(body);
        if let Ok(read) = timeout(REMAINDER_WAIT_BEFORE_RESULT, &mut body).await {
            return read;
        }
        if let Some(retry_after) = head.retry_after {
            self.request.early_retry_after.send_replace(Some(retry_after));
        }
        body.await
    }

    /// Reads a response whose results are in the body, or that is valid only if it is complete.
    async fn read_whole_response(
        &self,
        mut connection: Connection,
        head: &ResponseHead,
        body: Incoming,
        batch: &SentBatch,
    ) -> RequestResult {
        let mut decoder = BatchResponseDecoder::new(&batch.messages);
        let body = read_body(body, MAX_RESPONSE_BYTES, |bytes| decoder.decode(bytes));
        if self.wait_for_body(head, body).await.is_err() {
            // The `Retry-After` is in the head and is valid even if the body is incomplete.
            let retry_after = head.retry_after;
            return RequestResult { retry_after, ..batch.same_for_all(AttemptResult::MalformedResponse) };
        }
        let end = if connection.ready().await {
            self.connections.release(self.request.endpoint, connection);
            BodyEnd::Confirmed
        } else {
            BodyEnd::Unconfirmed
        };
        if batch.single_message().is_some() {
            return batch.same_for_all(head.result);
        }
        let sent_results = batch.positions.iter().zip(decoder.finish(head, end));
        let results =
            sent_results.map(|(position, result)| MessageResult { position: *position, result }).collect();
        RequestResult { retry_after: head.retry_after, ..RequestResult::new(results) }
    }
}

/// Sends a request and waits for the head of its response.
///
/// For a single message, waits only a short time after a status line that says 200, because the rest of the
/// head may be endless or invalid.
async fn exchange(
    connection: &mut Connection,
    batch: &SentBatch,
    http_request: Request<Full<Bytes>>,
) -> ExchangeOutcome {
    let ok_status = connection.wait_for_ok_status();
    let completed_by_status_line = async {
        ok_status.await;
        sleep(REMAINDER_WAIT_BEFORE_RESULT).await;
    };
    tokio::select! {
        biased;
        response = connection.send(http_request) => ExchangeOutcome::Finished(response),
        () = completed_by_status_line, if batch.single_message().is_some() => {
            ExchangeOutcome::CompletedByStatusLine
        }
    }
}
