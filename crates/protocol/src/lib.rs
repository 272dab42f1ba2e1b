//! Typed values for the HTTP messages that a forwarder exchanges, with their decoders and encoders. Names on
//! the wire are used only in this package. The package performs no I/O and makes no delivery decisions.
//!
//! | Direction | Module | Types |
//! | --- | --- | --- |
//! | client to forwarder | `submission`, `client_response` | [`Submission`], [`ClientResponse`] |
//! | forwarder to endpoint | `request`, `response`, `batch_response` | [`OutgoingMessage`], [`AttemptResult`] |
//! | forwarder to platform | `notice` | [`DeliveryNotice`], [`FinalAnswer`] |
//! | discovery to forwarder | `list` | [`ListDecoder`], [`ListEvent`], [`ListPart`] |

mod attempt_result;
mod batch_response;
mod client_response;
mod error;
mod headers;
mod list;
mod notice;
mod request;
mod response;
mod submission;

pub use attempt_result::AttemptResult;
pub use batch_response::{BatchResponseDecoder, BodyEnd};
pub use client_response::{ClientResponse, ConnectionOption};
pub use error::{EntryError, ListError, ListFault, ListLocation, ListPartError, SubmissionError};
pub use list::{
    watch_request, ListDecoder, ListEntry, ListEvent, ListLimits, ListPart, MIN_ENTRY_MEMORY_BYTES,
};
pub use notice::{notices_request, DeliveryNotice, FinalAnswer};
pub use request::{batch_request, single_request, split_into_batches, OutgoingMessage};
pub use response::{
    parse_attempt_result, parse_load_report, parse_retry_after, rejects_connection, ResponseHead,
};
pub use submission::{Submission, SubmissionHead};

/// Maximum size of a request body in either direction, in bytes, as defined by the wire protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
