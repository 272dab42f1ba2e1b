//! What a client submits, and what it is answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{request, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use reeddock::{DestinationId, MessageId, OrderingKey};

use crate::{header, span_in, SubmissionError, IDEMPOTENCY_KEY};

/// Bytes in a body at most.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// One message as it is submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub id: MessageId,
    pub class: String,
    pub tenant: Option<String>,
    pub key: Option<OrderingKey>,
    pub destination: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Duration,
    /// Passes on unchanged: by it the destination knows a repeat.
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

impl Submission {
    pub fn decode(parts: &request::Parts, body: Bytes) -> Result<Submission, SubmissionError> {
        let named = |name: &'static str| {
            header(&parts.headers, name)
                .filter(|v| !v.is_empty())
                .ok_or(SubmissionError::MissingHeader { header: name })
        };
        // Both stand in lines of a batch, and the id in notices, where these would break it.
        let word = |name: &'static str, text: &str| match text.len() > 128
            || text.bytes().any(|b| !b.is_ascii_graphic())
        {
            true => Err(SubmissionError::MalformedHeader { header: name }),
            false => Ok(()),
        };
        let id = named("x-call-id")?;
        word("x-call-id", id)?;
        let idempotency_key = header(&parts.headers, IDEMPOTENCY_KEY).filter(|k| !k.is_empty());
        idempotency_key.map_or(Ok(()), |key| word(IDEMPOTENCY_KEY, key))?;
        let route = named("x-route-to")?;
        let destination = route.split([',', ';']).find_map(|part| part.trim().strip_prefix("dest="));
        let destination = destination.and_then(|d| d.trim().parse().ok());
        let key = header(&parts.headers, "x-route-hash");
        let key = key.map(|k| k.rsplit('=').next().unwrap_or(k).trim().parse());
        Ok(Submission {
            id: MessageId(Arc::from(id)),
            class: named("x-call-class")?.to_owned(),
            tenant: header(&parts.headers, "x-caller").map(str::to_owned),
            key: key
                .transpose()
                .map_err(|_| SubmissionError::MalformedHeader { header: "x-route-hash" })?
                .map(OrderingKey),
            destination: DestinationId(destination.ok_or(SubmissionError::NoDestination)?),
            idempotency_key: idempotency_key.map(str::to_owned),
            time_left: span_in(named("x-budget")?)
                .ok_or(SubmissionError::MalformedHeader { header: "x-budget" })?,
            // A copy: the original is a part of the connection's buffer, and would keep all of that.
            body: Bytes::copy_from_slice(&body),
        })
    }
}

/// What a forwarder answers a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    /// It owes the message its end from here on.
    Accepted,
    /// Shed: handing it in again is harmless, best after this time.
    Rejected(Option<Duration>),
    /// Broken off at once.
    Failed,
    /// No room on this machine; nothing was accepted.
    NoCapacity,
    Malformed(SubmissionError),
    TooLarge,
    RequestTimeout,
    /// A body with no plain length.
    LengthRequired,
    /// More came than its length says.
    LengthMismatch,
    /// Its id is that of another message, of now or of a moment ago.
    DuplicateId,
    /// The list knows no such destination, or not yet; nothing was accepted.
    UnknownDestination,
    NotFound,
    /// It takes messages on; with what staff should know all the same.
    Healthy(Option<String>),
    /// Asked for its health while it stops.
    ShuttingDown,
}

impl ClientResponse {
    /// `last` asks the client to use another connection from now on.
    pub fn encode(self, last: bool) -> Response<Full<Bytes>> {
        let status = match &self {
            ClientResponse::Accepted => StatusCode::ACCEPTED,
            ClientResponse::Rejected(_) => StatusCode::TOO_MANY_REQUESTS,
            ClientResponse::Failed => StatusCode::UNPROCESSABLE_ENTITY,
            ClientResponse::NoCapacity
            | ClientResponse::UnknownDestination
            | ClientResponse::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            ClientResponse::Malformed(_) | ClientResponse::LengthMismatch => StatusCode::BAD_REQUEST,
            ClientResponse::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ClientResponse::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            ClientResponse::LengthRequired => StatusCode::LENGTH_REQUIRED,
            ClientResponse::DuplicateId => StatusCode::CONFLICT,
            ClientResponse::NotFound => StatusCode::NOT_FOUND,
            ClientResponse::Healthy(_) => StatusCode::OK,
        };
        let mut retry_after = None;
        let body = match self {
            ClientResponse::Rejected(wait) => {
                retry_after = wait;
                Bytes::new()
            }
            ClientResponse::Malformed(fault) => Bytes::from(format!("{fault}\n")),
            ClientResponse::Healthy(None) => Bytes::from_static(b"ok\n"),
            ClientResponse::Healthy(Some(trouble)) => Bytes::from(format!("ok; {trouble}\n")),
            _ => Bytes::new(),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Some(Ok(value)) = retry_after.map(|w| HeaderValue::try_from(format!("{:.3}", w.as_secs_f64())))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if last {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
