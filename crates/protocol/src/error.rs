//! What can be wrong with bytes that come from outside. The `Display` text of each error is part of the interface: a
//! client gets it in the body of a 400, and operators find it in the log.

use std::fmt;

use thiserror::Error;

/// Why a client's request is not a message that can be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmissionError {
    /// A header that each request must carry is absent or empty.
    #[error("{header} is missing")]
    MissingHeader {
        /// The header's name in lower case.
        header: &'static str,
    },
    /// A header's value is of another form than the wire protocol demands.
    #[error("{header} is malformed")]
    MalformedHeader {
        /// The header's name in lower case.
        header: &'static str,
    },
    /// The routing header has no `dest=` with a number.
    #[error("x-route-to names no destination")]
    NoDestination,
    /// The body could not be read to its end.
    #[error("body: {reason}")]
    UnreadableBody {
        /// What the HTTP implementation reports.
        reason: String,
    },
}

/// Where in a watch response a decoder found a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLocation {
    /// Bytes of the response body up to there.
    pub offset: u64,
    /// The index in `instances` of the entry that is at fault, where it is one.
    pub entry: Option<usize>,
}

impl fmt::Display for ListLocation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "byte {}", self.offset)?;
        self.entry.map_or(Ok(()), |index| write!(f, ", instances[{index}]"))
    }
}

/// Why the bytes of a watch response are no endpoint list, and where.
#[derive(Debug, Error)]
#[error("{location}: {fault}")]
pub struct ListError {
    /// Where the fault was found.
    pub location: ListLocation,
    /// What was found there.
    pub fault: ListFault,
}

/// What is wrong at one place of an endpoint list.
#[derive(Debug, Error)]
pub enum ListFault {
    /// The bytes there do not conform to the grammar of a list.
    #[error("expected {expected}, found {found}")]
    Unexpected {
        /// What was expected there.
        expected: &'static str,
        /// The character that was found, in quotes, or `an empty line`.
        found: String,
    },
    /// A key, an entry or another value with a meaning has too many bytes.
    #[error("expected {limit} bytes at most in one value")]
    ValueTooLong {
        /// [`ListLimits::max_value_bytes`](crate::ListLimits::max_value_bytes).
        limit: usize,
    },
    /// The same key twice in one part.
    #[error("expected {key} once, found it twice")]
    DuplicateKey {
        /// The key on the wire.
        key: String,
    },
    /// A value is no JSON, or of a type that its key does not have.
    #[error("{label}{source}")]
    InvalidValue {
        /// The key with a colon and a blank behind it; empty where the location says enough.
        label: &'static str,
        /// What the JSON decoder reports.
        source: serde_json::Error,
    },
    /// The part has more entries than are accepted.
    #[error("expected {limit} entries at most in a list")]
    TooManyEntries {
        /// [`ListLimits::entries`](crate::ListLimits::max_entries).
        limit: usize,
    },
    /// Too many bytes of entries came before both `generation` and `reset` were known.
    #[error("expected generation and reset before instances, or {limit} bytes of these at most")]
    EntriesBeforeHeader {
        /// [`ListLimits::max_buffered_bytes`](crate::ListLimits::max_buffered_bytes).
        limit: usize,
    },
    /// The part ended without a generation.
    #[error("expected generation in each part, found none")]
    MissingGeneration,
}

/// Why one entry of the endpoint list can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// `lifecycle` has a value that the wire protocol does not list.
    #[error("unknown lifecycle {0:?}")]
    UnknownLifecycle(String),
    /// `hostPort` is no IP address with a port, and the endpoint is not gone.
    #[error("{0:?} is no address")]
    InvalidAddress(String),
}

/// Why a text is not a complete part of the endpoint list.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct ListPartError(#[from] serde_json::Error);
