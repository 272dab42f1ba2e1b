//! Outcomes of delivery attempts.

use std::time::Duration;

/// Outcome of a delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The message was delivered.
    Completed,
    /// The endpoint answered with an error; the message may have been executed.
    Error,
    /// The endpoint rejected the request before execution, for example because of a rate limit or a full
    /// queue.
    Rejected {
        /// Retry-After of the response; `None` if the response has none.
        retry_after: Option<Duration>,
    },
    /// No response arrived within the response timeout.
    TimedOut,
    /// No connection was established, or it was lost before the request's last byte was written.
    NoConnection,
    /// The connection was lost after the request's last byte was written.
    ConnectionReset,
    /// The policy cancelled the attempt.
    Cancelled,
    /// No part of the request left the forwarder.
    NotSent,
    /// The endpoint could not parse the request and executed no part of it.
    Malformed,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the message was not executed.
    #[must_use]
    pub fn proves_not_executed(self) -> bool {
        use AttemptOutcome::{Malformed, NoConnection, NotSent, Rejected};
        matches!(self, Rejected { .. } | NoConnection | NotSent | Malformed)
    }
}
