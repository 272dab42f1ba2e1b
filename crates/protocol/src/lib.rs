//! The messages of a forwarder on sockets, as small typed values: each is decoded once and encoded once. The
//! names on the wire end here. There is no input or output in this package, and nothing is decided.

mod call;
mod ending;
mod hand_in;
mod list;
mod notice;

pub use call::{
    bundle, bundles, ending_of, endings_of_bundle, one, report_of, turns_connection_away, wait_of, Letter,
};
pub use ending::Ending;
pub use hand_in::{Answer, HandIn, MOST_BODY};
pub use list::{watch, Bounds, Entry, ListDecoder, ListEvent, ListPart};
pub use notice::{notices, GivenUp, Notice};

/// What is wrong with a message, in one line.
pub type Fault = String;

/// No span is read as longer: sums of times stay far from where they overflow.
const LONGEST: f64 = 1e9;

/// Where a receipted envelope carries the mark by which a repeat is known.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Seconds with decimals, as spans travel in headers.
fn span_in(text: &str) -> Option<std::time::Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite())?;
    std::time::Duration::try_from_secs_f64(seconds.min(LONGEST)).ok()
}

fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}
