//! Decoding of the head of an endpoint's response.

use std::time::Duration;

use http::header::{CONNECTION, RETRY_AFTER};
use http::{response, StatusCode};
use reeddock::LoadReport;

use crate::headers::{header_text, parse_seconds, EGRESS_FULL, LOAD_REPORT};
use crate::AttemptResult;

/// Load report field with the unused share of the rate limit, from 0 to 1.
const REPORT_LEFT: &str = "x0";
/// Load report field with the rate limit, in requests per second.
const REPORT_LIMIT: &str = "x1";

/// What the head of an endpoint's response says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// The result for all messages of the request. For a batch with [`AttemptResult::Completed`], the body has
    /// the result of each message.
    pub result: AttemptResult,
    /// The `Retry-After` of the response, see [`parse_retry_after`].
    pub retry_after: Option<Duration>,
    /// The load report of the response, see [`parse_load_report`].
    pub load_report: Option<LoadReport>,
    /// Whether the endpoint accepts no further connections, see [`rejects_connection`].
    pub rejects_connection: bool,
}

impl ResponseHead {
    /// Decodes the head of a response. The result shares no memory with the head.
    #[must_use]
    pub fn decode(response: &response::Parts) -> ResponseHead {
        ResponseHead {
            result: parse_attempt_result(response),
            retry_after: parse_retry_after(response),
            load_report: parse_load_report(response),
            rejects_connection: rejects_connection(response),
        }
    }
}

/// Returns the `Retry-After` of a response. `None` if it is absent, malformed or zero.
#[must_use]
pub fn parse_retry_after(response: &response::Parts) -> Option<Duration> {
    let text = header_text(&response.headers, RETRY_AFTER.as_str())?;
    parse_seconds(text).filter(|wait| !wait.is_zero())
}

/// Returns the load report of a response: the endpoint's rate limit and the unused share of it. Other fields
/// are ignored. `None` if one of the two values is missing, negative or not a finite number.
#[must_use]
pub fn parse_load_report(response: &response::Parts) -> Option<LoadReport> {
    let report = header_text(&response.headers, LOAD_REPORT)?;
    LoadReport::new(report_field(report, REPORT_LEFT), report_field(report, REPORT_LIMIT))
}

/// Returns the first numeric value with this field name in a report of the form `x0=0.4,x1=25`.
fn report_field(report: &str, name: &str) -> Option<f64> {
    let fields = report.split(',').filter_map(|field| field.trim().split_once('='));
    fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.parse().ok())
}

/// Returns whether the endpoint accepts no further connections: the response to the first request of a
/// connection is a 503 that closes the connection.
#[must_use]
pub fn rejects_connection(response: &response::Parts) -> bool {
    if response.status != StatusCode::SERVICE_UNAVAILABLE {
        return false;
    }
    let Some(options) = header_text(&response.headers, CONNECTION.as_str()) else { return false };
    options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns the attempt result that the head of a response gives for all messages of the request.
#[must_use]
pub fn parse_attempt_result(response: &response::Parts) -> AttemptResult {
    match response.status {
        StatusCode::OK => AttemptResult::Completed,
        StatusCode::INTERNAL_SERVER_ERROR => AttemptResult::Failed,
        StatusCode::SERVICE_UNAVAILABLE if response.headers.contains_key(EGRESS_FULL) => {
            AttemptResult::EgressFull
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AttemptResult::Rejected { retry_after: parse_retry_after(response) }
        }
        StatusCode::GATEWAY_TIMEOUT => AttemptResult::AttemptsExhausted,
        StatusCode::GONE => AttemptResult::AlreadyFinished,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => AttemptResult::Malformed,
        _ => AttemptResult::UnexpectedStatus,
    }
}
