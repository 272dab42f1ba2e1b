//! The parts of a request to an endpoint, and its results.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, OutgoingMessage};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::BatchDeparture;

/// One HTTP request to one endpoint, with one message or several. A message is known by its position in `messages`.
pub struct EndpointRequest {
    /// The endpoint, by its number.
    pub endpoint: EndpointId,
    /// The endpoint's address at the time when the request was decided.
    pub to: SocketAddr,
    /// What is to be delivered.
    pub messages: Vec<OutgoingMessage>,
    /// For each message, until when its result is waited for.
    pub until: Vec<Instant>,
    /// Which of the messages are still sent, shared with the supervisor.
    pub departure: BatchDeparture,
}

/// One message of a request.
#[derive(Clone, Debug)]
pub struct BatchMessage {
    /// What is to be delivered.
    pub message: OutgoingMessage,
    /// Until when its result is waited for.
    pub answer_by: Instant,
}

impl EndpointRequest {
    /// A request with these messages, none of which was sent or cancelled yet.
    pub fn new(endpoint: EndpointId, to: SocketAddr, batch: Vec<BatchMessage>) -> EndpointRequest {
        let (messages, until) = batch.into_iter().map(|member| (member.message, member.answer_by)).unzip();
        EndpointRequest { endpoint, to, messages, until, departure: BatchDeparture::default() }
    }

    /// The message at a position.
    pub(super) fn message(&self, position: usize) -> BatchMessage {
        BatchMessage { message: self.messages[position].clone(), answer_by: self.until[position] }
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
    /// How each message that was sent ended, by its position in the request.
    pub results: Vec<(usize, AttemptResult)>,
    /// A wait that the endpoint asks for beside the results of a batch (`Retry-After`).
    pub wait: Option<Duration>,
    /// What the response reports of the endpoint's load.
    pub report: Option<LoadReport>,
}

impl RequestResult {
    /// The same result for all of these positions.
    pub(super) fn same_for_all(
        positions: impl IntoIterator<Item = usize>,
        result: AttemptResult,
    ) -> RequestResult {
        let results = positions.into_iter().map(|position| (position, result)).collect();
        RequestResult { results, wait: None, report: None }
    }

    /// The results as named values.
    pub(super) fn message_results(&self) -> impl Iterator<Item = MessageResult> + '_ {
        self.results.iter().map(|(position, result)| MessageResult { position: *position, result: *result })
    }
}

/// The delivery attempt that a request makes for one of its messages.
pub struct PendingAttempt {
    /// The message.
    pub message: MessageId,
    /// Which of the message's attempts it is.
    pub no: AttemptNumber,
    /// Its first byte is sent by then or never.
    pub begin_by: Instant,
    /// Resolves when the attempt is cancelled. Dropping the sender cancels nothing.
    pub cancelled: oneshot::Receiver<()>,
}
