//! Requests from a forwarder to an endpoint, with one message or a batch of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::HOST;
use http::Request;
use http_body_util::Full;
use reeddock::MessageId;

use crate::headers::{IDEMPOTENCY_KEY, MESSAGE_ID, TIME_LEFT};
use crate::MAX_BODY_BYTES;

/// The end of each message in a batch.
const FRAME_END: &[u8] = b"\r\n";

/// Replaces the idempotency key of a message that has none.
const NO_IDEMPOTENCY_KEY: &str = "-";

/// One message within a request.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The id that the client gave it.
    pub id: MessageId,
    /// The key by which the destination recognises a repeat, as the client gave it.
    pub idempotency_key: Option<Arc<str>>,
    /// The body as the client submitted it.
    pub body: Bytes,
}

impl OutgoingMessage {
    /// The line that precedes the body in a batch: id, idempotency key and length.
    fn frame_head(&self) -> String {
        let key = self.idempotency_key.as_deref().unwrap_or(NO_IDEMPOTENCY_KEY);
        format!("{} {key} {}\r\n", self.id.0, self.body.len())
    }

    /// Bytes of the message in the body of a batch.
    fn framed_len(&self) -> usize {
        self.frame_head().len() + self.body.len() + FRAME_END.len()
    }
}

/// A request with a single message. `response_timeout` is how long its response is waited for.
pub fn single_request(
    endpoint: SocketAddr,
    message: &OutgoingMessage,
    response_timeout: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut request = post(endpoint, "/events", response_timeout).header(MESSAGE_ID, &*message.id.0);
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    request.body(Full::new(message.body.clone()))
}

/// A request with a batch of messages. `response_timeout` is how long its response is waited for.
pub fn batch_request(
    endpoint: SocketAddr,
    messages: &[OutgoingMessage],
    response_timeout: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut body = BytesMut::new();
    for message in messages {
        body.put_slice(message.frame_head().as_bytes());
        body.put_slice(&message.body);
        body.put_slice(FRAME_END);
    }
    post(endpoint, "/events/bundle", response_timeout).body(Full::new(body.freeze()))
}

/// Splits messages, in their order, into batches of at most `max_batch` messages and [`MAX_BODY_BYTES`] bytes. Returns
/// how many messages each batch has; a message that is too long for any batch is alone in its own.
#[must_use]
pub fn split_into_batches(messages: &[OutgoingMessage], max_batch: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = Vec::new();
    let mut batch_bytes = 0;
    for message in messages {
        let size = message.framed_len();
        let fits = |count: &usize| *count < max_batch && batch_bytes + size <= MAX_BODY_BYTES;
        match counts.last_mut().filter(|count| fits(count)) {
            Some(count) => *count += 1,
            None => {
                counts.push(1);
                batch_bytes = 0;
            }
        }
        batch_bytes += size;
    }
    counts
}

/// The head of a request. The timeout is written rounded up to a millisecond: a response that the endpoint sends after
/// the written time must also come after the time that this forwarder waits.
fn post(endpoint: SocketAddr, path: &str, response_timeout: Duration) -> http::request::Builder {
    let millis = response_timeout.as_micros().div_ceil(1000);
    let seconds = format!("{}.{:03}", millis / 1000, millis % 1000);
    Request::post(path).header(HOST, endpoint.to_string()).header(TIME_LEFT, seconds)
}
