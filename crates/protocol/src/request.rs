//! One call to an endpoint: what is sent, and what its answer says of each message.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::{response, Request, StatusCode};
use http_body_util::Full;
use reeddock::{LoadReport, MessageId};

use crate::{header, span_in, AttemptResult, IDEMPOTENCY_KEY, MAX_BODY_BYTES};

/// One message within a call.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    pub id: MessageId,
    pub idempotency_key: Option<Arc<str>>,
    pub body: Bytes,
}

/// The wait is told rounded up: an answer after the time that its endpoint knows must also come after ours.
fn post(to: SocketAddr, path: &str, wait: Duration) -> http::request::Builder {
    let millis = wait.as_micros().div_ceil(1000);
    let budget = format!("{}.{:03}", millis / 1000, millis % 1000);
    Request::post(path).header(HOST, to.to_string()).header("x-budget", budget)
}

/// A call with a single message; `wait` is how long the answer is waited for.
pub fn single_request(
    to: SocketAddr,
    message: &OutgoingMessage,
    wait: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut call = post(to, "/events", wait).header("x-call-id", &*message.id.0);
    if let Some(key) = &message.idempotency_key {
        call = call.header(IDEMPOTENCY_KEY, &**key);
    }
    call.body(Full::new(message.body.clone()))
}

/// Parts a line of letters into calls: so many in each at most, and no more bytes than a body may have.
pub fn split_into_batches(messages: &[OutgoingMessage], most: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = Vec::new();
    let mut bytes = 0;
    for message in messages {
        let size = frame(message).len() + message.body.len() + FRAME_END.len();
        match counts.last_mut().filter(|count| **count < most && bytes + size <= MAX_BODY_BYTES) {
            Some(count) => *count += 1,
            None => {
                counts.push(1);
                bytes = 0;
            }
        }
        bytes += size;
    }
    counts
}

const FRAME_END: &[u8] = b"\r\n";

fn frame(message: &OutgoingMessage) -> String {
    let key = message.idempotency_key.as_deref().unwrap_or("-");
    format!("{} {key} {}\r\n", message.id.0, message.body.len())
}

/// A call with several.
pub fn batch_request(
    to: SocketAddr,
    messages: &[OutgoingMessage],
    wait: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let mut body = BytesMut::new();
    for message in messages {
        body.put_slice(frame(message).as_bytes());
        body.put_slice(&message.body);
        body.put_slice(FRAME_END);
    }
    post(to, "/events/bundle", wait).body(Full::new(body.freeze()))
}

/// The wait that an answer asks for.
pub fn retry_after_of(answer: &response::Parts) -> Option<Duration> {
    header(&answer.headers, RETRY_AFTER.as_str()).and_then(span_in).filter(|w| !w.is_zero())
}

/// What an answer tells of its route's limit: `x0` and `x1` of its load report, whatever else stands there.
/// None where one is missing or no number.
pub fn load_report_of(answer: &response::Parts) -> Option<LoadReport> {
    let line = header(&answer.headers, "x-load-report")?;
    let told = |name: &str| {
        let values = line.split(',').filter_map(|part| part.trim().split_once('='));
        values.filter(|(field, _)| *field == name).find_map(|(_, v)| v.parse::<f64>().ok())
    };
    LoadReport::new(told("x0"), told("x1"))
}

/// Whether an answer to the first request of a connection says that its endpoint has no room for the connection: it
/// turns the request away and closes.
pub fn rejects_connection(answer: &response::Parts) -> bool {
    let closes = header(&answer.headers, CONNECTION.as_str());
    let closes = closes.is_some_and(|h| h.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")));
    answer.status == StatusCode::SERVICE_UNAVAILABLE && closes
}

/// What the head of an answer says of all messages of its call.
pub fn attempt_result_of(answer: &response::Parts) -> AttemptResult {
    let wait = || retry_after_of(answer);
    match answer.status {
        StatusCode::OK => AttemptResult::Completed,
        StatusCode::INTERNAL_SERVER_ERROR => AttemptResult::Failed,
        StatusCode::TOO_MANY_REQUESTS => AttemptResult::Rejected { retry_after: wait() },
        StatusCode::SERVICE_UNAVAILABLE if answer.headers.contains_key("x-egress-full") => {
            AttemptResult::EgressFull
        }
        StatusCode::SERVICE_UNAVAILABLE => AttemptResult::Rejected { retry_after: wait() },
        StatusCode::GATEWAY_TIMEOUT => AttemptResult::AttemptsExhausted,
        StatusCode::GONE => AttemptResult::AlreadyFinished,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => AttemptResult::Malformed,
        _ => AttemptResult::UnexpectedStatus,
    }
}

/// What a whole answer says of each message of a batch, in their order; `clean` says that nothing came behind
/// it. One that leaves a message out, or may have lost its end, is believed in nothing.
pub fn attempt_results_of_batch(
    answer: &response::Parts,
    body: &[u8],
    clean: bool,
    messages: &[OutgoingMessage],
) -> Vec<AttemptResult> {
    let for_all = attempt_result_of(answer);
    if for_all == AttemptResult::Malformed {
        return vec![AttemptResult::BatchMalformed; messages.len()];
    }
    if for_all != AttemptResult::Completed {
        return vec![for_all; messages.len()];
    }
    let text = String::from_utf8_lossy(body);
    let told = |id: &str| {
        let mut lines = text.lines().map(|line| line.split_ascii_whitespace());
        lines.find_map(|mut words| (words.next() == Some(id)).then(|| words.next()).flatten())
    };
    let result = |message: &OutgoingMessage| match told(&message.id.0) {
        Some("accepted") => Some(AttemptResult::Completed),
        Some("fault") => Some(AttemptResult::Failed),
        Some("deferred") => Some(AttemptResult::Rejected { retry_after: retry_after_of(answer) }),
        Some("expired") => Some(AttemptResult::AlreadyFinished),
        Some("no_more") => Some(AttemptResult::AttemptsExhausted),
        _ => None,
    };
    let results: Option<Vec<AttemptResult>> = messages.iter().map(result).collect();
    let whole = results.filter(|_| clean || body.ends_with(b"\n"));
    whole.unwrap_or_else(|| vec![AttemptResult::MalformedResponse; messages.len()])
}
