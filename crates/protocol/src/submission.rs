//! What a client submits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{request, HeaderMap};
use reeddock::{DestinationId, MessageId, OrderingKey};

use crate::headers::{
    header_text, parse_seconds, DESTINATION, IDEMPOTENCY_KEY, MESSAGE_CLASS, MESSAGE_ID, ORDERING_KEY,
    TENANT, TIME_LEFT,
};
use crate::SubmissionError;

/// Most bytes of a message id or an idempotency key.
const MAX_ID_BYTES: usize = 128;

/// One message as a client submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The client's id of the message, new with each submission.
    pub id: MessageId,
    /// The name of its message class.
    pub class: String,
    /// The tenant that it belongs to, whose quota it counts against.
    pub tenant: Option<String>,
    /// Messages with the same ordering key are delivered in order, where their class says so.
    pub ordering_key: Option<OrderingKey>,
    /// Where it is to be delivered.
    pub destination: DestinationId,
    /// How long it may still be delivered, from when the client sent it.
    pub time_left: Duration,
    /// Passed on unchanged: by it the destination recognises a repeat.
    pub idempotency_key: Option<String>,
    /// The body, passed on unchanged.
    pub body: Bytes,
}

impl Submission {
    /// Decodes the head of a client's request; `body` is its complete body.
    pub fn decode(parts: &request::Parts, body: Bytes) -> Result<Submission, SubmissionError> {
        let headers = &parts.headers;
        let id = required(headers, MESSAGE_ID)?;
        check_id(MESSAGE_ID, id)?;
        let idempotency_key = header_text(headers, IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        if let Some(key) = idempotency_key {
            check_id(IDEMPOTENCY_KEY, key)?;
        }
        // The order of these checks decides which fault the client gets as the answer.
        let destination = parse_destination(required(headers, DESTINATION)?);
        let class = required(headers, MESSAGE_CLASS)?;
        let ordering_key = parse_ordering_key(headers)?;
        let destination = destination.ok_or(SubmissionError::NoDestination)?;
        let time_left = parse_seconds(required(headers, TIME_LEFT)?).ok_or(malformed(TIME_LEFT))?;
        Ok(Submission {
            id: MessageId(Arc::from(id)),
            class: class.to_owned(),
            tenant: header_text(headers, TENANT).map(str::to_owned),
            ordering_key,
            destination,
            time_left,
            idempotency_key: idempotency_key.map(str::to_owned),
            // A copy: the original is a part of the connection's buffer, and would keep all of that in memory.
            body: Bytes::copy_from_slice(&body),
        })
    }
}

fn malformed(header: &'static str) -> SubmissionError {
    SubmissionError::MalformedHeader { header }
}

/// The value of a header that each request must carry.
fn required<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<&'a str, SubmissionError> {
    let value = header_text(headers, header).filter(|value| !value.is_empty());
    value.ok_or(SubmissionError::MissingHeader { header })
}

/// Checks that a message id or an idempotency key is a short word of visible ASCII characters. Both are part of lines
/// of a batch, and the id also in notices: a blank or a line feed in one would break these.
fn check_id(header: &'static str, text: &str) -> Result<(), SubmissionError> {
    let too_long = text.len() > MAX_ID_BYTES;
    if too_long || text.bytes().any(|byte| !byte.is_ascii_graphic()) {
        return Err(malformed(header));
    }
    Ok(())
}

/// The number behind the first `dest=` of the routing header.
fn parse_destination(routing: &str) -> Option<DestinationId> {
    let number = routing.split([',', ';']).find_map(|part| part.trim().strip_prefix("dest="))?;
    number.trim().parse().ok().map(DestinationId)
}

/// The number behind the last `=` of the ordering header, or all of it if there is none.
fn parse_ordering_key(headers: &HeaderMap) -> Result<Option<OrderingKey>, SubmissionError> {
    let Some(text) = header_text(headers, ORDERING_KEY) else { return Ok(None) };
    let number = text.rsplit('=').next().unwrap_or(text).trim();
    let number = number.parse().map_err(|_| malformed(ORDERING_KEY))?;
    Ok(Some(OrderingKey(number)))
}
