//! Errors of decoding input. Clients receive the `Display` text in the body of a 400 response, and operators
//! find it in the log.

use std::borrow::Cow;
use std::fmt;

use thiserror::Error;

use crate::headers::{MAX_ID_BYTES, ORDERING_KEY, TIME_LEFT};

/// The reason why a client's request is not a valid submission.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmissionError {
    /// A mandatory header is absent or empty.
    #[error("header {header} is missing or empty")]
    MissingHeader {
        /// The header's name in lower case.
        header: &'static str,
    },
    /// The value of a header does not have the form that the wire protocol defines.
    #[error("header {header} is malformed: expected {}", expected_value(header))]
    MalformedHeader {
        /// The header's name in lower case.
        header: &'static str,
    },
    /// The routing header has no `dest=NUMBER` part.
    #[error("header x-route-to names no destination: expected dest=NUMBER")]
    NoDestination,
    /// Reading the request body failed.
    #[error("request body could not be read completely: {reason}")]
    UnreadableBody {
        /// The error text of the HTTP library.
        reason: String,
    },
}

/// Returns a description of the valid values of a header, for error messages.
fn expected_value(header: &str) -> Cow<'static, str> {
    match header {
        TIME_LEFT => "seconds, 0 or more".into(),
        ORDERING_KEY => "a whole number, with or without NAME= before it".into(),
        _ => format!("1 to {MAX_ID_BYTES} visible ASCII characters").into(),
    }
}

/// The position of a fault in a watch response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLocation {
    /// Number of bytes of the response body before the fault.
    pub offset: u64,
    /// Index in `instances` of the faulty entry. `None` if the fault is outside the entries.
    pub entry: Option<usize>,
}

impl fmt::Display for ListLocation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "byte {}", self.offset)?;
        self.entry.map_or(Ok(()), |index| write!(f, ", instances[{index}]"))
    }
}

/// A watch response that is not a valid endpoint list.
#[derive(Debug, Error)]
#[error("{location}: {fault}")]
pub struct ListError {
    /// The position of the fault.
    pub location: ListLocation,
    /// The kind of fault.
    pub fault: ListFault,
}

/// A fault at one position of an endpoint list.
#[derive(Debug, Error)]
pub enum ListFault {
    /// The bytes do not conform to the grammar of an endpoint list.
    #[error("expected {expected}, found {found}")]
    Unexpected {
        /// Description of the valid input at this position.
        expected: &'static str,
        /// The character that was found, in quotes, or `an empty line`.
        found: String,
    },
    /// A key, an entry or the value of a known key is too long.
    #[error("expected at most {limit} bytes in one value")]
    ValueTooLong {
        /// The limit, [`ListLimits::max_value_bytes`](crate::ListLimits::max_value_bytes).
        limit: usize,
    },
    /// A part of the endpoint list has the same key more than once.
    #[error("expected {key} once in a part of the list, found a duplicate")]
    DuplicateKey {
        /// The name of the key on the wire.
        key: String,
    },
    /// A value is not valid JSON or has the wrong type for its key.
    #[error("{label}{source}")]
    InvalidValue {
        /// `key: `, `generation: ` or `reset: `, which names the invalid value; empty for any other value.
        label: &'static str,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A part of the endpoint list has too many entries.
    #[error("expected at most {limit} entries in a part of the list")]
    TooManyEntries {
        /// The limit, [`ListLimits::max_entries`](crate::ListLimits::max_entries).
        limit: usize,
    },
    /// The entries of a part of the endpoint list need too much memory.
    #[error("expected a part of the list whose entries take at most {limit} bytes of memory")]
    EntriesTooLarge {
        /// The limit, [`ListLimits::max_memory_bytes`](crate::ListLimits::max_memory_bytes).
        limit: usize,
    },
    /// Too many bytes of entries precede `generation` or `reset` in a part of the endpoint list.
    #[error(
        "expected generation and reset before instances, or at most {limit} bytes of instances before them"
    )]
    BufferedEntriesTooLarge {
        /// The limit, [`ListLimits::max_buffered_bytes`](crate::ListLimits::max_buffered_bytes).
        limit: usize,
    },
    /// A part of the endpoint list has no `generation`.
    #[error("expected generation in each part of the list, found none")]
    MissingGeneration,
}

/// The reason why an entry of the endpoint list is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// `lifecycle` has a value that the wire protocol does not define.
    #[error("unknown lifecycle {0:?}, expected Ready, Terminating or Gone")]
    UnknownLifecycle(String),
    /// `hostPort` is not an IP address with a port, although the endpoint is not `Gone`.
    #[error("invalid hostPort {0:?}, expected an IP address and port")]
    InvalidAddress(String),
}

/// A JSON text that is not a complete and valid part of the endpoint list.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct ListPartError(#[from] serde_json::Error);
