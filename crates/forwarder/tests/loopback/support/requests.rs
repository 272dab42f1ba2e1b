//! Requests to endpoints as the event loop creates them, for tests of the request sender alone.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, MessageId};
use reeddock_forwarder::connections::ConnectionPool;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::request_sender::{BatchMessage, EndpointRequest, PendingAttempt, RequestSender};
use reeddock_protocol::{AttemptResult, OutgoingMessage};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{ms, wait_for, StubServer};

/// The endpoint to which [`request`] is addressed.
pub const ENDPOINT: EndpointId = EndpointId(1);
/// A time limit that is longer than any test.
pub const LONG_TIMEOUT: Duration = ms(20_000);

/// Returns a request sender with at most four connections and this connect timeout.
pub fn request_sender(connect_timeout: Duration) -> RequestSender {
    RequestSender::new(ConnectionPool::new(4, connect_timeout, ms(5000)))
}

/// Returns a request sender whose connect timeout is longer than any test.
pub fn request_sender_with_long_connect_timeout() -> RequestSender {
    request_sender(ms(30_000))
}

/// Waits until the next request to an endpoint can use an idle connection.
pub async fn wait_for_settled_connection(request_sender: &RequestSender, endpoint: EndpointId) {
    let settled = || request_sender.connections().has_settled_connection(endpoint).then_some(());
    wait_for("a settled connection", settled).await
}

/// Returns a request with one message and a response deadline in 5 s.
pub fn request_to(endpoint: &StubServer, id: &str) -> EndpointRequest {
    request(endpoint.address, &[(id, ms(5000))])
}

/// Returns a request with these messages and their response timeouts.
pub fn request(address: SocketAddr, messages: &[(&str, Duration)]) -> EndpointRequest {
    let message = |id: &str| OutgoingMessage {
        id: MessageId(id.into()),
        idempotency_key: None,
        body: Default::default(),
    };
    let now = Instant::now();
    let members = messages.iter();
    let members =
        members.map(|(id, limit)| BatchMessage { message: message(id), response_deadline: now + *limit });
    EndpointRequest::new(ENDPOINT, address, members.collect())
}

/// Returns an attempt for each message of a request and the senders that cancel the attempts.
pub fn pending_attempts(
    request: &EndpointRequest,
    start_within: Duration,
) -> (Vec<PendingAttempt>, Vec<oneshot::Sender<()>>) {
    let start_deadline = Instant::now() + start_within;
    let attempt = |BatchMessage { message, .. }: &BatchMessage| {
        let (cancel, cancelled) = oneshot::channel();
        let (message, number) = (message.id.clone(), AttemptNumber(0));
        (PendingAttempt { message, number, start_deadline, cancelled }, cancel)
    };
    request.messages.iter().map(attempt).unzip()
}

/// Returns the message id and the result of the next finished attempt.
pub async fn next_result(events: &mut mpsc::Receiver<Event>) -> (String, AttemptResult) {
    match events.recv().await {
        Some(Event::AttemptFinished { message, result, .. }) => (message.0.to_string(), result),
        _ => panic!("expected the result of an attempt"),
    }
}
