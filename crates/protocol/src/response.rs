//! What an endpoint's response says of each message in its request.

use std::time::Duration;

use http::header::{CONNECTION, RETRY_AFTER};
use http::{response, StatusCode};
use reeddock::LoadReport;

use crate::headers::{header_text, parse_seconds, EGRESS_FULL, LOAD_REPORT};
use crate::{AttemptResult, OutgoingMessage};

/// The field of a load report with the share of the limit that is left.
const REPORT_LEFT: &str = "x0";
/// The field of a load report with the limit, in requests a second.
const REPORT_LIMIT: &str = "x1";

/// The `Retry-After` of a response. None if it is absent, malformed or zero.
#[must_use]
pub fn parse_retry_after(response: &response::Parts) -> Option<Duration> {
    let text = header_text(&response.headers, RETRY_AFTER.as_str())?;
    parse_seconds(text).filter(|wait| !wait.is_zero())
}

/// The load report of a response: what is left of the limit of the endpoint's circuit, and the limit. Other fields are
/// passed over. None if one of the two is missing or no number.
#[must_use]
pub fn parse_load_report(response: &response::Parts) -> Option<LoadReport> {
    let report = header_text(&response.headers, LOAD_REPORT)?;
    LoadReport::new(report_field(report, REPORT_LEFT), report_field(report, REPORT_LIMIT))
}

/// The first number with a name in a report of the form `x0=0.4,x1=25`.
fn report_field(report: &str, name: &str) -> Option<f64> {
    let fields = report.split(',').filter_map(|field| field.trim().split_once('='));
    fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.parse().ok())
}

/// Whether the response to the first request of a connection says that the endpoint accepts no further connections: a
/// 503 that closes the connection.
#[must_use]
pub fn rejects_connection(response: &response::Parts) -> bool {
    if response.status != StatusCode::SERVICE_UNAVAILABLE {
        return false;
    }
    let Some(options) = header_text(&response.headers, CONNECTION.as_str()) else { return false };
    options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// What the head of a response says of every message in its request.
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

/// The body of a response to a batch, as it was received.
#[derive(Clone, Copy, Debug)]
pub struct BatchResponseBody<'b> {
    /// One line for each message: its id and a word for its result.
    pub bytes: &'b [u8],
    /// Whether the last line is known to be complete.
    pub end: BodyEnd,
}

/// Whether the end of a response's body is known to be the end that the endpoint sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The connection is ready for another request: nothing of the body was lost, and nothing followed it.
    Confirmed,
    /// The connection was closed or further bytes followed, so that the end of the body may have been lost.
    Unconfirmed,
}

impl BatchResponseBody<'_> {
    /// Whether the last line may have lost its end.
    fn may_be_truncated(&self) -> bool {
        self.end == BodyEnd::Unconfirmed && !self.bytes.ends_with(b"\n")
    }
}

/// What a response to a batch says of each of its messages, in their order.
///
/// A body that leaves a message out, or may have lost its end, proves nothing of any message: all of them get
/// [`AttemptResult::MalformedResponse`].
#[must_use]
pub fn parse_batch_results(
    response: &response::Parts,
    body: BatchResponseBody,
    messages: &[OutgoingMessage],
) -> Vec<AttemptResult> {
    match parse_attempt_result(response) {
        AttemptResult::Completed => {}
        AttemptResult::Malformed => return vec![AttemptResult::BatchMalformed; messages.len()],
        of_all => return vec![of_all; messages.len()],
    }
    let malformed = || vec![AttemptResult::MalformedResponse; messages.len()];
    if body.may_be_truncated() {
        return malformed();
    }
    let lines = String::from_utf8_lossy(body.bytes);
    let result = |message: &OutgoingMessage| batch_line_result(response, &lines, &message.id.0);
    messages.iter().map(result).collect::<Option<Vec<_>>>().unwrap_or_else(malformed)
}

/// The result in the first line that has a message's id and a second word. None if there is no such line, or the word
/// is unknown.
fn batch_line_result(response: &response::Parts, lines: &str, message_id: &str) -> Option<AttemptResult> {
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
