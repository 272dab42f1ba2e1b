//! Encoding of responses to clients.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::SubmissionError;

/// A forwarder's response to a submission or to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    /// 202: the message was accepted, and the forwarder is responsible for its final answer.
    Accepted,
    /// 429: the message was rejected because of overload and was not executed. The client can submit it
    /// again.
    Rejected {
        /// Recommended wait before the client submits it again. `None` if no wait is recommended.
        retry_after: Option<Duration>,
    },
    /// 422: the message failed before it was accepted.
    Failed,
    /// 503: the process has no capacity left. The message was not accepted.
    NoCapacity,
    /// 400: the request is not a valid submission.
    Malformed {
        /// The reason, sent in the response body.
        error: SubmissionError,
    },
    /// 413: the body is longer than [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    TooLarge,
    /// 408: the body was not received in time.
    RequestTimeout,
    /// 411: the request has a body without a usable `Content-Length`.
    LengthRequired,
    /// 400: the body is longer than its `Content-Length`.
    LengthMismatch,
    /// 409: another message with the same id is pending or was pending recently.
    DuplicateId,
    /// 503: the endpoint list does not contain the destination. The message was not accepted.
    UnknownDestination,
    /// 404: the path or method does not exist.
    NotFound,
    /// 200 to a health check: the forwarder accepts messages.
    Healthy {
        /// One-line description of a fault of the endpoint list, sent in the response body. `None` without a
        /// fault.
        list_fault: Option<String>,
    },
    /// 503 to a health check: the process is shutting down.
    ShuttingDown,
}

/// Whether the connection of a response remains open for further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The connection stays open.
    KeepAlive,
    /// The connection is closed after the response. The response carries `Connection: close`.
    Close,
}

impl ClientResponse {
    /// Encodes the response as an HTTP message, with a `Connection: close` header if requested.
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

    /// Returns the value of `Retry-After` in seconds with three decimals. `None` for responses without one.
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
