//! The messages that a request carries when it is sent.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock_protocol::{self as protocol, AttemptResult, OutgoingMessage};
use tokio::time::Instant;

use super::request::RequestResult;

/// The messages of a request that are sent, and their positions in the request. Never empty.
pub(super) struct SentBatch {
    /// The positions of the messages in the request.
    pub(super) positions: Vec<usize>,
    /// The messages, in the order of `positions`.
    pub(super) messages: Vec<OutgoingMessage>,
    /// The latest response deadline of the messages, sent to the endpoint as a time limit.
    pub(super) response_deadline: Instant,
}

impl SentBatch {
    /// Returns the message of a request that carries only one. `None` for a batch.
    pub(super) fn single_message(&self) -> Option<&OutgoingMessage> {
        match &self.messages[..] {
            [message] => Some(message),
            _ => None,
        }
    }

    /// Builds the HTTP request that carries the messages, with the longest of their time limits.
    pub(super) fn http_request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, AttemptResult> {
        let response_timeout = self.response_deadline.saturating_duration_since(Instant::now());
        let request = match self.single_message() {
            Some(message) => protocol::single_request(address, message, response_timeout),
            None => protocol::batch_request(address, &self.messages, response_timeout),
        };
        request.map_err(|_| AttemptResult::NotSent)
    }

    /// Returns the same result for all messages.
    pub(super) fn same_for_all(&self, result: AttemptResult) -> RequestResult {
        RequestResult::same_for_all(self.positions.iter().copied(), result)
    }
}
