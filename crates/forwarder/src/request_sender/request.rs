//! The parts of a request to an endpoint, and its results.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, OutgoingMessage};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::BatchDeparture;

/// One HTTP request to one endpoint, with one message or several. Messages are identified by their position.
pub struct EndpointRequest {
    /// The endpoint, by its number.
    pub endpoint: EndpointId,
    /// The endpoint's address at the time when the request was decided.
    pub address: SocketAddr,
    /// The messages that the request delivers.
    pub messages: Vec<BatchMessage>,
    /// Which of the messages are still sent, shared with the supervisor.
    pub(super) departure: BatchDeparture,
    /// Set to the `Retry-After` of a response whose body is late: the pause counts from the head.
    pub(super) early_retry_after: watch::Sender<Option<Duration>>,
}

/// One message of a request.
#[derive(Clone, Debug)]
pub struct BatchMessage {
    /// The message.
    pub message: OutgoingMessage,
    /// The time until which its result is waited for.
    pub response_deadline: Instant,
}

impl EndpointRequest {
    /// A request with these messages, none of which was sent or cancelled yet.
    pub fn new(endpoint: EndpointId, address: SocketAddr, messages: Vec<BatchMessage>) -> EndpointRequest {
        let (departure, early_retry_after) = (BatchDeparture::default(), watch::Sender::default());
        EndpointRequest { endpoint, address, messages, departure, early_retry_after }
    }
}

/// How one message of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageResult {
    /// The message's position in its request.
    pub position: usize,
    /// How its attempt ended.
    pub result: AttemptResult,
}

/// The results of a request.
pub struct RequestResult {
    /// How each message that was sent ended.
    pub results: Vec<MessageResult>,
    /// The `Retry-After` of a response to a batch, which holds beside the results of its messages.
    pub retry_after: Option<Duration>,
    /// The load report of the response.
    pub load_report: Option<LoadReport>,
}

impl RequestResult {
    /// Results without `Retry-After` and load report.
    pub fn new(results: Vec<MessageResult>) -> RequestResult {
        RequestResult { results, retry_after: None, load_report: None }
    }

    /// The same result for all of these positions.
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
    /// The message.
    pub message: MessageId,
    /// Which of the message's attempts it is.
    pub number: AttemptNumber,
    /// The latest time for its first byte; after that it is not sent.
    pub start_deadline: Instant,
    /// Resolves when the attempt is cancelled. Dropping the sender cancels nothing.
    pub cancelled: oneshot::Receiver<()>,
}
