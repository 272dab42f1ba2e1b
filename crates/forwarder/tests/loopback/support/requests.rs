//! Requests to endpoints as the event loop would send them, for tests of the request sender by itself.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, MessageId};
use reeddock_forwarder::connections::ConnectionPool;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::request_sender::{BatchMessage, EndpointRequest, PendingAttempt, RequestSender};
use reeddock_protocol::{AttemptResult, OutgoingMessage};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{ms, StubServer};

/// The endpoint to which [`request`] is addressed.
pub const ENDPOINT: EndpointId = EndpointId(1);
/// Longer than any of these tests takes: a limit that is never reached.
pub const NEVER_REACHED: Duration = ms(20_000);

/// A request sender with four connections to an endpoint at most, which waits for a new one so long.
pub fn request_sender(connect_timeout: Duration) -> RequestSender {
    RequestSender::new(ConnectionPool::new(4, connect_timeout, ms(5000)))
}

/// A request sender that waits for connections for longer than the test lasts.
pub fn patient_request_sender() -> RequestSender {
    request_sender(ms(30_000))
}

/// A request with one message, whose response is waited for up to 5 s.
pub fn request_to(endpoint: &StubServer, id: &str) -> EndpointRequest {
    request(endpoint.address, &[(id, ms(5000))])
}

/// One request with these messages, each of which may take so long.
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

/// One attempt for each message of a request, with what cancels it.
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

/// The next result that the event loop receives: the message of the attempt, and how it ended.
pub async fn next_result(events: &mut mpsc::Receiver<Event>) -> (String, AttemptResult) {
    match events.recv().await {
        Some(Event::AttemptFinished { message, result, .. }) => (message.0.to_string(), result),
        _ => panic!("expected the result of an attempt"),
    }
}
