//! One call to a target: what is sent, and what its answer says of each envelope.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::{response, Request, StatusCode};
use http_body_util::Full;
use reeddock::{EnvelopeId, LimitReport};

use crate::{header, span_in, Ending, Fault, IDEMPOTENCY_KEY, MOST_BODY};

/// One envelope within a call.
#[derive(Clone, Debug)]
pub struct Letter {
    pub id: EnvelopeId,
    pub idempotency_key: Option<Arc<str>>,
    pub body: Bytes,
}

/// The wait is told rounded up: an answer after the time that its target knows must also come after ours.
fn post(to: SocketAddr, path: &str, wait: Duration) -> http::request::Builder {
    let millis = wait.as_micros().div_ceil(1000);
    let budget = format!("{}.{:03}", millis / 1000, millis % 1000);
    Request::post(path).header(HOST, to.to_string()).header("x-budget", budget)
}

/// A call with a single envelope; `wait` is how long the answer is waited for.
pub fn one(to: SocketAddr, letter: &Letter, wait: Duration) -> Result<Request<Full<Bytes>>, Fault> {
    let mut call = post(to, "/events", wait).header("x-call-id", &*letter.id.0);
    if let Some(key) = &letter.idempotency_key {
        call = call.header(IDEMPOTENCY_KEY, &**key);
    }
    call.body(Full::new(letter.body.clone())).map_err(|e| e.to_string())
}

/// Parts a line of letters into calls: so many in each at most, and no more bytes than a body may have.
pub fn bundles(letters: &[Letter], most: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = Vec::new();
    let mut bytes = 0;
    for letter in letters {
        let size = frame(letter).len() + letter.body.len() + FRAME_END.len();
        match counts.last_mut().filter(|count| **count < most && bytes + size <= MOST_BODY) {
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

fn frame(letter: &Letter) -> String {
    let key = letter.idempotency_key.as_deref().unwrap_or("-");
    format!("{} {key} {}\r\n", letter.id.0, letter.body.len())
}

/// A call with several.
pub fn bundle(to: SocketAddr, letters: &[Letter], wait: Duration) -> Result<Request<Full<Bytes>>, Fault> {
    let mut body = BytesMut::new();
    for letter in letters {
        body.put_slice(frame(letter).as_bytes());
        body.put_slice(&letter.body);
        body.put_slice(FRAME_END);
    }
    post(to, "/events/bundle", wait).body(Full::new(body.freeze())).map_err(|e| e.to_string())
}

/// The wait that an answer asks for.
pub fn wait_of(answer: &response::Parts) -> Option<Duration> {
    header(&answer.headers, RETRY_AFTER.as_str()).and_then(span_in).filter(|w| !w.is_zero())
}

/// What an answer tells of its route's limit: `x0` and `x1` of its load report, whatever else stands there.
/// None where one is missing or no number.
pub fn report_of(answer: &response::Parts) -> Option<LimitReport> {
    let line = header(&answer.headers, "x-load-report")?;
    let told = |name: &str| {
        let values = line.split(',').filter_map(|part| part.trim().split_once('='));
        values.filter(|(field, _)| *field == name).find_map(|(_, v)| v.parse::<f64>().ok())
    };
    LimitReport::told(told("x0"), told("x1"))
}

/// Whether an answer to the first request of a connection says that its target has no room for the connection: it
/// turns the request away and closes.
pub fn turns_connection_away(answer: &response::Parts) -> bool {
    let closes = header(&answer.headers, CONNECTION.as_str());
    let closes = closes.is_some_and(|h| h.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")));
    answer.status == StatusCode::SERVICE_UNAVAILABLE && closes
}

/// What the head of an answer says of all envelopes of its call.
pub fn ending_of(answer: &response::Parts) -> Ending {
    let wait = || wait_of(answer);
    match answer.status {
        StatusCode::OK => Ending::Completed,
        StatusCode::INTERNAL_SERVER_ERROR => Ending::Failed,
        StatusCode::TOO_MANY_REQUESTS => Ending::TurnedAway(wait()),
        StatusCode::SERVICE_UNAVAILABLE if answer.headers.contains_key("x-egress-full") => Ending::NoSlot,
        StatusCode::SERVICE_UNAVAILABLE => Ending::TurnedAway(wait()),
        StatusCode::GATEWAY_TIMEOUT => Ending::NoMoreDispatches,
        StatusCode::GONE => Ending::Over,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => Ending::NotReadable,
        _ => Ending::Unheard,
    }
}

/// What a whole answer says of each envelope of a bundle, in their order; `clean` says that nothing came behind
/// it. One that leaves an envelope out, or may have lost its end, is believed in nothing.
pub fn endings_of_bundle(
    answer: &response::Parts,
    body: &[u8],
    clean: bool,
    letters: &[Letter],
) -> Vec<Ending> {
    let for_all = ending_of(answer);
    if for_all == Ending::NotReadable {
        return vec![Ending::NotReadableTogether; letters.len()];
    }
    if for_all != Ending::Completed {
        return vec![for_all; letters.len()];
    }
    let text = String::from_utf8_lossy(body);
    let told = |id: &str| {
        let mut lines = text.lines().map(|line| line.split_ascii_whitespace());
        lines.find_map(|mut words| (words.next() == Some(id)).then(|| words.next()).flatten())
    };
    let ending = |letter: &Letter| match told(&letter.id.0) {
        Some("accepted") => Some(Ending::Completed),
        Some("fault") => Some(Ending::Failed),
        Some("deferred") => Some(Ending::TurnedAway(wait_of(answer))),
        Some("expired") => Some(Ending::Over),
        Some("no_more") => Some(Ending::NoMoreDispatches),
        _ => None,
    };
    let endings: Option<Vec<Ending>> = letters.iter().map(ending).collect();
    let whole = endings.filter(|_| clean || body.ends_with(b"\n"));
    whole.unwrap_or_else(|| vec![Ending::Spoilt; letters.len()])
}
