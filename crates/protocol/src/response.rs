//! Decoding of an endpoint's response into one attempt result for each message of the request.

use std::time::Duration;

use http::header::{CONNECTION, RETRY_AFTER};
use http::{response, StatusCode};
use reeddock::LoadReport;

use crate::headers::{header_text, parse_seconds, EGRESS_FULL, LOAD_REPORT};
use crate::{AttemptResult, OutgoingMessage};

/// Load report field with the unused share of the rate limit, from 0 to 1.
const REPORT_LEFT: &str = "x0";
/// Load report field with the rate limit, in requests per second.
const REPORT_LIMIT: &str = "x1";

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

/// The received body of a response to a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchResponseBody<'b> {
    /// One line for each message with its id and its result.
    pub bytes: &'b [u8],
    /// Whether the last line is known to be complete, set by the receiver of the response.
    pub end: BodyEnd,
}

/// Whether a response body is known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete: the connection is ready for another request and no further bytes followed.
    Confirmed,
    /// The body may be truncated: the connection was closed or further bytes followed.
    Unconfirmed,
}

impl BatchResponseBody<'_> {
    /// Returns whether the last line may be truncated.
    fn may_be_truncated(&self) -> bool {
        self.end == BodyEnd::Unconfirmed && !self.bytes.ends_with(b"\n")
    }
}

/// Returns the attempt results that a response to a batch gives for its messages, in the order of `messages`.
///
/// All messages get [`AttemptResult::MalformedResponse`] if the body omits one of them or may be truncated.
#[must_use]
pub fn parse_batch_results(
    response: &response::Parts,
    body: BatchResponseBody,
    messages: &[OutgoingMessage],
) -> Vec<AttemptResult> {
    match parse_attempt_result(response) {
        AttemptResult::Completed => {}
        AttemptResult::Malformed => return vec![AttemptResult::BatchMalformed; messages.len()],
        common_result => return vec![common_result; messages.len()],
    }
    let malformed = || vec![AttemptResult::MalformedResponse; messages.len()];
    if body.may_be_truncated() {
        return malformed();
    }
    let lines = String::from_utf8_lossy(body.bytes);
    let result = |message: &OutgoingMessage| parse_batch_line(response, &lines, &message.id.0);
    messages.iter().map(result).collect::<Option<Vec<_>>>().unwrap_or_else(malformed)
}

/// Parses the result in the first line with this message id and a second word. `None` if there is no such
/// line or the word is unknown.
fn parse_batch_line(response: &response::Parts, lines: &str, message_id: &str) -> Option<AttemptResult> {
    let status = lines.lines().find_map(|line| {
        let mut words = line.split_ascii_whitespace();
        if words.next() != Some(message_id) {
            return None;
        }
        words.next()
    })?;
    match status {
        "accepted" => Some(AttemptResult::Completed),
        "fault" => Some(AttemptResult::Failed),
        "deferred" => Some(AttemptResult::Rejected { retry_after: parse_retry_after(response) }),
        "expired" => Some(AttemptResult::AlreadyFinished),
        "no_more" => Some(AttemptResult::AttemptsExhausted),
        _ => None,
    }
}
