//! Requests to endpoints and their results.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, OutgoingMessage};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::BatchSendState;

/// An HTTP request to an endpoint with one or more messages, each identified by its position.
pub struct EndpointRequest {
    /// The endpoint that receives the request.
    pub endpoint: EndpointId,
    /// The endpoint's address when the request was scheduled.
    pub address: SocketAddr,
    /// The messages of the request, in the order in which they are sent.
    pub messages: Vec<BatchMessage>,
    /// Which of the messages are sent, shared with the supervisor.
    pub(super) send_state: BatchSendState,
    /// The `Retry-After` of a response whose body is late. Set early because the wait counts from the
    /// response head.
    pub(super) early_retry_after: watch::Sender<Option<Duration>>,
}

/// A message of a request, with its response deadline.
#[derive(Clone, Debug)]
pub struct BatchMessage {
    /// The message as it is sent to the endpoint.
    pub message: OutgoingMessage,
    /// The time until which the result of the message is awaited.
    pub response_deadline: Instant,
}

impl EndpointRequest {
    /// Creates a request with these messages, none of which is sent or cancelled.
    pub fn new(endpoint: EndpointId, address: SocketAddr, messages: Vec<BatchMessage>) -> EndpointRequest {
        let (send_state, early_retry_after) = (BatchSendState::default(), watch::Sender::default());
        EndpointRequest { endpoint, address, messages, send_state, early_retry_after }
    }
}

/// The result of one message of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageResult {
    /// The message's position in its request.
    pub position: usize,
    /// The result of the delivery attempt for the message.
    pub result: AttemptResult,
}

/// The results of a request and the endpoint's state from its response.
pub struct RequestResult {
    /// The result of each message. Withheld messages may be missing.
    pub results: Vec<MessageResult>,
    /// The `Retry-After` of a response, valid in addition to the results of the messages. `None` without one,
    /// and for a response to a single message whose result carries it.
    pub retry_after: Option<Duration>,
    /// The load report of the response. `None` if the response has none or is missing.
    pub load_report: Option<LoadReport>,
}

impl RequestResult {
    /// Creates results without a `Retry-After` and a load report.
    pub fn new(results: Vec<MessageResult>) -> RequestResult {
        RequestResult { results, retry_after: None, load_report: None }
    }

    /// Creates the same result for all of these positions.
    pub(super) fn same_for_all(
        positions: impl IntoIterator<Item = usize>,
        result: AttemptResult,
    ) -> RequestResult {
        let message_result = |position| MessageResult { position, result };
        RequestResult::new(positions.into_iter().map(message_result).collect())
    }
}

/// The delivery attempt that a request makes for one of its messages.
pub struct PendingAttempt {
    /// The id of the message.
    pub message: MessageId,
    /// The number of the attempt among those of its message.
    pub number: AttemptNumber,
    /// The latest time for the first byte of the message. A message that is later is not sent.
    pub start_deadline: Instant,
    /// Resolves when the attempt is cancelled. Dropping its sender does not cancel the attempt.
    pub cancelled: oneshot::Receiver<()>,
}
