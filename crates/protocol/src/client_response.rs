//! What a client is answered.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::SubmissionError;

/// What a forwarder answers a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    /// 202: from here on the forwarder owes the message its final answer.
    Accepted,
    /// 429: load was shed, and nothing was executed. Submitting it again is harmless, best after this time.
    Rejected(Option<Duration>),
    /// 422: the message failed at once.
    Failed,
    /// 503: this process has no capacity left; nothing was accepted.
    NoCapacity,
    /// 400: the request is no submission, with the reason in the body.
    Malformed(SubmissionError),
    /// 413: the body is longer than [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    TooLarge,
    /// 408: the body did not come in time.
    RequestTimeout,
    /// 411: a body without a plain length.
    LengthRequired,
    /// 400: more bytes came than the length says.
    LengthMismatch,
    /// 409: the id is that of another message, of now or of a moment ago.
    DuplicateId,
    /// 503: the endpoint list has no such destination, or not yet; nothing was accepted.
    UnknownDestination,
    /// 404: no such path or method.
    NotFound,
    /// 200 to a health check: messages are accepted. With what an operator should know all the same.
    Healthy(Option<String>),
    /// 503 to a health check: the process is shutting down.
    ShuttingDown,
}

impl ClientResponse {
    /// Encodes the response. `close_connection` asks the client to use another connection from now on.
    #[must_use]
    pub fn encode(self, close_connection: bool) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.status();
        if let Some(value) = self.retry_after_value() {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if close_connection {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        *response.body_mut() = Full::new(self.into_body());
        response
    }

    fn status(&self) -> StatusCode {
        match self {
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
        }
    }

    /// `Retry-After` in seconds with three decimals.
    fn retry_after_value(&self) -> Option<HeaderValue> {
        let ClientResponse::Rejected(Some(wait)) = self else { return None };
        HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).ok()
    }

    fn into_body(self) -> Bytes {
        match self {
            ClientResponse::Malformed(error) => Bytes::from(format!("{error}\n")),
            ClientResponse::Healthy(None) => Bytes::from_static(b"ok\n"),
            ClientResponse::Healthy(Some(warning)) => Bytes::from(format!("ok; {warning}\n")),
            _ => Bytes::new(),
        }
    }
}
