//! How a delivery attempt ends, as the policy sees it.

use std::time::Duration;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Completed,
    /// Answered with an error; the message may have been executed.
    Error,
    /// Rejected before execution, as over a rate limit or with a full queue.
    Rejected {
        /// The Retry-After that the destination asks for, if it gave one.
        retry_after: Option<Duration>,
    },
    /// No answer came within the response timeout.
    TimedOut,
    /// No connection came up, or it broke before the request's last byte was written.
    NoConnection,
    /// The connection was lost after the request's last byte was written.
    ConnectionReset,
    /// Cancelled by the policy.
    Cancelled,
    /// The request never left the forwarder.
    NotSent,
    /// The endpoint could not parse the request, and executed nothing of it.
    Malformed,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the message was not executed.
    #[must_use]
    pub fn proves_not_executed(self) -> bool {
        use AttemptOutcome::{Malformed, NoConnection, NotSent, Rejected};
        matches!(self, Rejected { .. } | NoConnection | NotSent | Malformed)
    }
}
