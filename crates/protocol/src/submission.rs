//! Decoding of messages that clients submit.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{request, HeaderMap};
use reeddock::{DestinationId, MessageId, OrderingKey};

use crate::headers::{
    header_text, parse_seconds, DESTINATION, IDEMPOTENCY_KEY, MAX_ID_BYTES, MESSAGE_CLASS, MESSAGE_ID,
    ORDERING_KEY, TENANT, TIME_LEFT,
};
use crate::SubmissionError;

/// A message that a client submits.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Id that the client assigned, unique for each submission.
    pub id: MessageId,
    /// Name of the message class.
    pub class: String,
    /// Tenant whose quota the message counts against. `None` if the client gave none.
    pub tenant: Option<String>,
    /// Key of messages that are delivered in order if their class is ordered.
    pub ordering_key: Option<OrderingKey>,
    /// Destination that the message is delivered to.
    pub destination: DestinationId,
    /// Time until the message's deadline, measured from when the client sent it.
    pub time_left: Duration,
    /// Key with which the destination detects repeated deliveries, forwarded unchanged.
    pub idempotency_key: Option<String>,
    /// Message body, forwarded unchanged.
    pub body: Bytes,
}

/// What the head of a client's request says of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmissionHead {
    id: MessageId,
    class: String,
    tenant: Option<String>,
    ordering_key: Option<OrderingKey>,
    destination: DestinationId,
    time_left: Duration,
    idempotency_key: Option<String>,
}

impl SubmissionHead {
    /// Decodes the head of a client's request. The result shares no memory with the head.
    pub fn decode(parts: &request::Parts) -> Result<SubmissionHead, SubmissionError> {
        let headers = &parts.headers;
        let id = required(headers, MESSAGE_ID)?;
        check_id(MESSAGE_ID, id)?;
        let idempotency_key = header_text(headers, IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        if let Some(key) = idempotency_key {
            check_id(IDEMPOTENCY_KEY, key)?;
        }
        // If several headers are invalid, the order of these checks determines which error the client
        // receives.
        let destination = parse_destination(required(headers, DESTINATION)?);
        let class = required(headers, MESSAGE_CLASS)?;
        let ordering_key = parse_ordering_key(headers)?;
        let destination = destination.ok_or(SubmissionError::NoDestination)?;
        let time_left = parse_seconds(required(headers, TIME_LEFT)?).ok_or(malformed(TIME_LEFT))?;
        Ok(SubmissionHead {
            id: MessageId(Arc::from(id)),
            class: class.to_owned(),
            tenant: header_text(headers, TENANT).map(str::to_owned),
            ordering_key,
            destination,
            time_left,
            idempotency_key: idempotency_key.map(str::to_owned),
        })
    }

    /// Returns the message with this complete body.
    #[must_use]
    pub fn with_body(self, body: Bytes) -> Submission {
        let SubmissionHead { id, class, tenant, ordering_key, destination, time_left, idempotency_key } =
            self;
        Submission { id, class, tenant, ordering_key, destination, time_left, idempotency_key, body }
    }
}

fn malformed(header: &'static str) -> SubmissionError {
    SubmissionError::MalformedHeader { header }
}

/// Returns the value of a mandatory header.
fn required<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<&'a str, SubmissionError> {
    let value = header_text(headers, header).filter(|value| !value.is_empty());
    value.ok_or(SubmissionError::MissingHeader { header })
}

/// Checks that a message id or an idempotency key consists of at most [`MAX_ID_BYTES`] visible ASCII
/// characters. White space in them would corrupt the lines of batches and notices.
fn check_id(header: &'static str, text: &str) -> Result<(), SubmissionError> {
    let too_long = text.len() > MAX_ID_BYTES;
    if too_long || text.bytes().any(|byte| !byte.is_ascii_graphic()) {
        return Err(malformed(header));
    }
    Ok(())
}

/// Parses the number after the first `dest=` of the routing header.
fn parse_destination(routing: &str) -> Option<DestinationId> {
    let number = routing.split([',', ';']).find_map(|part| part.trim().strip_prefix("dest="))?;
    number.trim().parse().ok().map(DestinationId)
}

/// Parses the number after the last `=` of the ordering header, or the whole value if it has no `=`.
fn parse_ordering_key(headers: &HeaderMap) -> Result<Option<OrderingKey>, SubmissionError> {
    let Some(text) = header_text(headers, ORDERING_KEY) else { return Ok(None) };
    let number = text.rsplit('=').next().unwrap_or(text).trim();
    let number = number.parse().map_err(|_| malformed(ORDERING_KEY))?;
    Ok(Some(OrderingKey(number)))
}
