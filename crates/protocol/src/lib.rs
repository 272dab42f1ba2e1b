//! The messages of a forwarder on sockets, as small typed values: each is decoded once and encoded once. The
//! names on the wire end here. There is no input or output in this package, and nothing is decided.

mod attempt_result;
mod error;
mod list;
mod notice;
mod request;
mod submission;

pub use attempt_result::AttemptResult;
pub use error::{EntryError, ListError, ListFault, ListLocation, ListPartError, SubmissionError};
/// The old name of [`ListEntry`], until its users follow.
pub use list::ListEntry as Entry;
pub use list::{watch_request, ListDecoder, ListEntry, ListEvent, ListLimits, ListPart};
pub use notice::{notices_request, DeliveryNotice, FinalAnswer};
pub use request::{
    attempt_result_of, attempt_results_of_batch, batch_request, load_report_of, rejects_connection,
    retry_after_of, single_request, split_into_batches, OutgoingMessage,
};
pub use submission::{ClientResponse, Submission, MAX_BODY_BYTES};

/// No span is read as longer: sums of times stay far from where they overflow.
const LONGEST: f64 = 1e9;

/// Where a keyed message carries the mark by which a repeat is known.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Seconds with decimals, as spans travel in headers.
fn span_in(text: &str) -> Option<std::time::Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite())?;
    std::time::Duration::try_from_secs_f64(seconds.min(LONGEST)).ok()
}

fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}
