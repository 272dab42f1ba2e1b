//! What a client hands in, and what it is answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{request, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use reeddock::{DestinationId, EnvelopeId, KeyId};

use crate::{header, span_in, Fault, IDEMPOTENCY_KEY};

/// Bytes in a body at most.
pub const MOST_BODY: usize = 64 * 1024;

/// One envelope as it is handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct HandIn {
    pub id: EnvelopeId,
    pub category: String,
    pub tenant: Option<String>,
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Duration,
    /// Passes on unchanged: by it the destination knows a repeat.
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

impl HandIn {
    pub fn decode(parts: &request::Parts, body: Bytes) -> Result<HandIn, Fault> {
        let named = |name: &str| {
            header(&parts.headers, name).filter(|v| !v.is_empty()).ok_or_else(|| format!("{name} is missing"))
        };
        // Both stand in lines of a bundle, and the id in notices, where these would break it.
        let word =
            |name: &str, text: &str| match text.len() > 128 || text.bytes().any(|b| !b.is_ascii_graphic()) {
                true => Err(format!("{name} is malformed")),
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
        Ok(HandIn {
            id: EnvelopeId(Arc::from(id)),
            category: named("x-call-class")?.to_owned(),
            tenant: header(&parts.headers, "x-caller").map(str::to_owned),
            key: key.transpose().map_err(|_| "x-route-hash is malformed")?.map(KeyId),
            destination: DestinationId(destination.ok_or("x-route-to names no destination")?),
            idempotency_key: idempotency_key.map(str::to_owned),
            time_left: span_in(named("x-budget")?).ok_or("x-budget is malformed")?,
            // A copy: the original is a part of the connection's buffer, and would keep all of that.
            body: Bytes::copy_from_slice(&body),
        })
    }
}

/// What a forwarder answers a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It owes the envelope its end from here on.
    TakenOn,
    /// Shed: handing it in again is harmless, best after this time.
    Shed(Option<Duration>),
    /// Broken off at once.
    BrokenOff,
    /// No room on this machine; nothing was taken on.
    NoRoom,
    Malformed(Fault),
    TooLarge,
    TooSlow,
    /// A body with no plain length.
    NoLength,
    /// More came than its length says.
    WrongLength,
    /// Its id is that of another envelope, of now or of a moment ago.
    IdTaken,
    /// The list knows no such destination, or not yet; nothing was taken on.
    NoDestination,
    NotFound,
    /// It takes envelopes on; with what staff should know all the same.
    Healthy(Option<Fault>),
    /// Asked for its health while it stops.
    Leaving,
}

impl Answer {
    /// `last` asks the client to use another connection from now on.
    pub fn encode(self, last: bool) -> Response<Full<Bytes>> {
        let status = match &self {
            Answer::TakenOn => StatusCode::ACCEPTED,
            Answer::Shed(_) => StatusCode::TOO_MANY_REQUESTS,
            Answer::BrokenOff => StatusCode::UNPROCESSABLE_ENTITY,
            Answer::NoRoom | Answer::NoDestination | Answer::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Answer::Malformed(_) | Answer::WrongLength => StatusCode::BAD_REQUEST,
            Answer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Answer::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Answer::NoLength => StatusCode::LENGTH_REQUIRED,
            Answer::IdTaken => StatusCode::CONFLICT,
            Answer::NotFound => StatusCode::NOT_FOUND,
            Answer::Healthy(_) => StatusCode::OK,
        };
        let mut come_back = None;
        let body = match self {
            Answer::Shed(wait) => {
                come_back = wait;
                Bytes::new()
            }
            Answer::Malformed(fault) => Bytes::from(fault + "\n"),
            Answer::Healthy(None) => Bytes::from_static(b"ok\n"),
            Answer::Healthy(Some(trouble)) => Bytes::from(format!("ok; {trouble}\n")),
            _ => Bytes::new(),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Some(Ok(value)) = come_back.map(|w| HeaderValue::try_from(format!("{:.3}", w.as_secs_f64()))) {
            headers.insert(RETRY_AFTER, value);
        }
        if last {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
