//! The responses to clients.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::SubmissionError;

/// A forwarder's response to a client: to a submission, or to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    /// 202: from here on the forwarder owes the message its final answer.
    Accepted,
    /// 429: the message was rejected to shed load, and was not executed. Submitting it again is harmless.
    Rejected {
        /// How long the client had best wait before it does.
        retry_after: Option<Duration>,
    },
    /// 422: the message failed before it was accepted.
    Failed,
    /// 503: this process has no capacity left; nothing was accepted.
    NoCapacity,
    /// 400: the request is no valid submission.
    Malformed {
        /// The reason, which the body of the response states.
        error: SubmissionError,
    },
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
    /// 200 to a health check: messages are accepted.
    Healthy {
        /// What is wrong with the endpoint list, in one line, which the body of the response states.
        list_fault: Option<String>,
    },
    /// 503 to a health check: the process is shutting down.
    ShuttingDown,
}

/// Whether a client may send further requests on the connection of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The connection stays open.
    KeepAlive,
    /// The connection is closed after the response, which has `Connection: close`.
    Close,
}

impl ClientResponse {
    /// Encodes the response.
    #[must_use]
    pub fn encode(self, connection: ConnectionOption) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.status();
        if let Some(value) = self.retry_after_value() {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if connection == ConnectionOption::Close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        *response.body_mut() = Full::new(self.into_body());
        response
    }

    fn status(&self) -> StatusCode {
        match self {
            ClientResponse::Accepted => StatusCode::ACCEPTED,
            ClientResponse::Rejected { .. } => StatusCode::TOO_MANY_REQUESTS,
            ClientResponse::Failed => StatusCode::UNPROCESSABLE_ENTITY,
            ClientResponse::NoCapacity
            | ClientResponse::UnknownDestination
            | ClientResponse::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            ClientResponse::Malformed { .. } | ClientResponse::LengthMismatch => StatusCode::BAD_REQUEST,
            ClientResponse::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ClientResponse::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            ClientResponse::LengthRequired => StatusCode::LENGTH_REQUIRED,
            ClientResponse::DuplicateId => StatusCode::CONFLICT,
            ClientResponse::NotFound => StatusCode::NOT_FOUND,
            ClientResponse::Healthy { .. } => StatusCode::OK,
        }
    }

    /// `Retry-After` in seconds with three decimals.
    fn retry_after_value(&self) -> Option<HeaderValue> {
        let ClientResponse::Rejected { retry_after } = self else { return None };
        let seconds = (*retry_after)?.as_secs_f64();
        HeaderValue::try_from(format!("{seconds:.3}")).ok()
    }

    fn into_body(self) -> Bytes {
        match self {
            ClientResponse::Malformed { error } => Bytes::from(format!("{error}\n")),
            ClientResponse::Healthy { list_fault: None } => Bytes::from_static(b"ok\n"),
            ClientResponse::Healthy { list_fault: Some(fault) } => Bytes::from(format!("ok; {fault}\n")),
            _ => Bytes::new(),
        }
    }
}
