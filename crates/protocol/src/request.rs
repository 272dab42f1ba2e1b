//! Encoding of requests from a forwarder to an endpoint, with a single message or a batch.

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

/// Terminates each message in a batch.
const FRAME_END: &[u8] = b"\r\n";

/// Placeholder in a batch for a message without an idempotency key.
const NO_IDEMPOTENCY_KEY: &str = "-";

/// A message in a request to an endpoint.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Id that the client assigned.
    pub id: MessageId,
    /// Key with which the destination detects repeated deliveries. `None` if the client gave none.
    pub idempotency_key: Option<Arc<str>>,
    /// Message body as submitted by the client.
    pub body: Bytes,
}

impl OutgoingMessage {
    /// Returns the line before the body in a batch: id, idempotency key and length of the body.
    fn frame_header(&self) -> String {
        let key = self.idempotency_key.as_deref().unwrap_or(NO_IDEMPOTENCY_KEY);
        format!("{} {key} {}\r\n", self.id.0, self.body.len())
    }

    /// Returns the size of the message in the body of a batch, in bytes.
    fn framed_len(&self) -> usize {
        self.frame_header().len() + self.body.len() + FRAME_END.len()
    }
}

/// Builds a request with a single message. `response_timeout` is sent to the endpoint.
pub fn single_request(
    endpoint: SocketAddr,
    message: &OutgoingMessage,
    response_timeout: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut request = post_request(endpoint, "/events", response_timeout).header(MESSAGE_ID, &*message.id.0);
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    request.body(Full::new(message.body.clone()))
}

/// Builds a request with a batch of messages. `response_timeout` is sent to the endpoint.
pub fn batch_request(
    endpoint: SocketAddr,
    messages: &[OutgoingMessage],
    response_timeout: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut body = BytesMut::new();
    for message in messages {
        body.put_slice(message.frame_header().as_bytes());
        body.put_slice(&message.body);
        body.put_slice(FRAME_END);
    }
    post_request(endpoint, "/events/bundle", response_timeout).body(Full::new(body.freeze()))
}

/// Splits messages, in order, into batches of at most `max_batch` messages and [`MAX_BODY_BYTES`] bytes.
/// Returns the number of messages in each batch. A message that exceeds the size limit gets a batch of its
/// own.
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

/// Starts a POST request to an endpoint. The timeout is rounded up to whole milliseconds, so that the
/// endpoint's timeout is never shorter than the forwarder's.
fn post_request(endpoint: SocketAddr, path: &str, response_timeout: Duration) -> http::request::Builder {
    let millis = response_timeout.as_micros().div_ceil(1000);
    let seconds = format!("{}.{:03}", millis / 1000, millis % 1000);
    Request::post(path).header(HOST, endpoint.to_string()).header(TIME_LEFT, seconds)
}
