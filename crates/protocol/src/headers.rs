//! Header names and parsers for header values.

use std::time::Duration;

use http::HeaderMap;

pub(crate) const MESSAGE_ID: &str = "x-call-id";
pub(crate) const MESSAGE_CLASS: &str = "x-call-class";
pub(crate) const TENANT: &str = "x-caller";
/// The destination of a message, in the form `dest=NUMBER`. Other parts of the value are ignored.
pub(crate) const DESTINATION: &str = "x-route-to";
/// The ordering key of a message, in the form `NAME=NUMBER` or `NUMBER`.
pub(crate) const ORDERING_KEY: &str = "x-route-hash";
/// In a submission, the time left until the message's deadline. In a request, the response timeout. Both in
/// seconds.
pub(crate) const TIME_LEFT: &str = "x-budget";
/// The key with which a destination detects repeated deliveries of a message.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Marks a 503 response to a request that was not forwarded because all request slots of this forwarder were
/// in use.
pub(crate) const EGRESS_FULL: &str = "x-egress-full";
pub(crate) const LOAD_REPORT: &str = "x-load-report";

/// Maximum length of a message id or an idempotency key, in bytes.
pub(crate) const MAX_ID_BYTES: usize = 128;
/// Upper limit for parsed times, in seconds. Larger values are reduced to it so that adding times cannot
/// overflow.
const MAX_SECONDS: f64 = 1e9;

/// Returns the value of a header without surrounding white space. `None` if the header is absent or not
/// visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// Parses a time in decimal seconds. `None` if the text is not a finite number or is negative.
pub(crate) fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok()?;
    if !seconds.is_finite() {
        return None;
    }
    Duration::try_from_secs_f64(seconds.min(MAX_SECONDS)).ok()
}
