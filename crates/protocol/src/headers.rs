//! Names of headers, and how their values are read.

use std::time::Duration;

use http::HeaderMap;

/// The id of a message.
pub(crate) const MESSAGE_ID: &str = "x-call-id";
/// The class of a message.
pub(crate) const MESSAGE_CLASS: &str = "x-call-class";
/// The tenant that a message belongs to.
pub(crate) const TENANT: &str = "x-caller";
/// The destination of a message, as `dest=NUMBER` among other parts.
pub(crate) const DESTINATION: &str = "x-route-to";
/// The ordering key of a message, as `NAME=NUMBER` or the number alone.
pub(crate) const ORDERING_KEY: &str = "x-route-hash";
/// How long a message may still be delivered, or how long its response is waited for, in seconds.
pub(crate) const TIME_LEFT: &str = "x-budget";
/// The key by which a destination recognises a repeated message.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// In a 503: every request slot of this forwarder was taken, so that the request was not forwarded.
pub(crate) const EGRESS_FULL: &str = "x-egress-full";
/// The load report in a response.
pub(crate) const LOAD_REPORT: &str = "x-load-report";

/// Longest time that a header is read as, in seconds: sums of times stay far from where they overflow.
const MAX_SECONDS: f64 = 1e9;

/// The value of a header without white space at its ends. None if it is absent or no text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// Parses a time in a header: seconds with decimals. None if the text is no number, or a negative one.
pub(crate) fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok()?;
    if !seconds.is_finite() {
        return None;
    }
    Duration::try_from_secs_f64(seconds.min(MAX_SECONDS)).ok()
}
