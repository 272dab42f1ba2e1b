//! Every way in which a delivery attempt can end on a connection, and what each means to the delivery policy.

use std::fmt;
use std::time::Duration;

use reeddock::AttemptOutcome;

/// How one delivery attempt ended on its connection.
///
/// A batch request carries one attempt for each of its messages, and each gets a result of its own. Whether the message
/// may have been executed decides whether it can be sent again. Logs have each in the words of its `Display`:
///
/// | Result | What happened on the connection | Executed? |
/// | --- | --- | --- |
/// | `Completed` | 200, or `accepted` in a batch response | yes |
/// | `Failed` | 500, or `fault` in a batch response | possibly |
/// | `UnexpectedStatus` | a status that the protocol does not list | possibly |
/// | `MalformedResponse` | something other than a whole HTTP response came | possibly |
/// | `ConnectionReset` | lost after the request's last byte was written | possibly |
/// | `TimedOut` | no response in time | possibly, or it may yet be |
/// | `Cancelled` | this forwarder closed the connection | possibly, or it may yet be |
/// | `Rejected` | 429, 503, or `deferred` in a batch response | no |
/// | `EgressFull` | 503 with `X-Egress-Full` | no |
/// | `AttemptsExhausted` | 504, or `no_more` in a batch response | no |
/// | `AlreadyFinished` | 410, or `expired` in a batch response | no |
/// | `Malformed` | 400 or 413 for a request with one message | no |
/// | `BatchMalformed` | 400 or 413 for a batch | no |
/// | `ConnectionRefused` | refused, or the attempt to connect failed | no |
/// | `ConnectTimedOut` | not connected in time | no |
/// | `ResetWhileSending` | lost before the request's last byte was written | no |
/// | `RetryAfterActive`, `EndpointDraining`, `NotSent` | the request never left this process | no |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Delivered.
    Completed,
    /// The endpoint answered with an error, and may have executed the message.
    Failed,
    /// The endpoint rejected the message before execution.
    Rejected {
        /// The `Retry-After` of the response, if it carried one above zero.
        retry_after: Option<Duration>,
    },
    /// Not forwarded: every request slot of this forwarder was taken.
    EgressFull,
    /// Not forwarded: the message has had all its attempts. Its final answer is still due.
    AttemptsExhausted,
    /// Not forwarded: the message has its final answer already, and none is due.
    AlreadyFinished,
    /// A request with this message alone could not be parsed or was too large.
    Malformed,
    /// A batch could not be parsed or was too large; any one of its messages may be at fault.
    BatchMalformed,
    /// The endpoint answered with a status that the protocol does not list, and may have executed the message.
    UnexpectedStatus,
    /// The connection was refused, or the attempt to make it failed.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// The connection was lost before the request's last byte was written.
    ResetWhileSending,
    /// The connection was lost after the request's last byte was written.
    ConnectionReset,
    /// After the request's last byte was written came something other than a whole response.
    MalformedResponse,
    /// No response came in time.
    TimedOut,
    /// This forwarder gave the attempt up by closing its connection.
    Cancelled,
    /// Not sent: while the connection was established, the endpoint set a `Retry-After`.
    RetryAfterActive,
    /// Not sent: while the connection was established, the endpoint list named the endpoint as draining or gone.
    EndpointDraining,
    /// Not sent: no file descriptor was free, the write-ahead log could not be written first, or the attempt was
    /// cancelled before.
    NotSent,
}

/// In words for logs.
impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AttemptResult::Rejected { retry_after: Some(wait) } => {
                return write!(f, "rejected, retry after {wait:?}");
            }
            AttemptResult::Rejected { retry_after: None } => "rejected",
            AttemptResult::Completed => "completed",
            AttemptResult::Failed => "failed",
            AttemptResult::EgressFull => "not forwarded, egress full",
            AttemptResult::AttemptsExhausted => "not forwarded, attempts exhausted",
            AttemptResult::AlreadyFinished => "not forwarded, already finished",
            AttemptResult::Malformed => "request malformed",
            AttemptResult::BatchMalformed => "batch malformed",
            AttemptResult::UnexpectedStatus => "unexpected status",
            AttemptResult::ConnectionRefused => "connection refused",
            AttemptResult::ConnectTimedOut => "connecting timed out",
            AttemptResult::ResetWhileSending => "connection reset while sending",
            AttemptResult::ConnectionReset => "connection reset after sending",
            AttemptResult::MalformedResponse => "response malformed",
            AttemptResult::TimedOut => "response timed out",
            AttemptResult::Cancelled => "cancelled",
            AttemptResult::RetryAfterActive => "not sent, Retry-After active",
            AttemptResult::EndpointDraining => "not sent, endpoint draining",
            AttemptResult::NotSent => "not sent",
        })
    }
}

impl AttemptResult {
    /// The outcome as the delivery policy sees it. This is the only place where a result becomes an outcome.
    #[must_use]
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Completed => AttemptOutcome::Completed,
            Self::Failed | Self::UnexpectedStatus | Self::MalformedResponse => AttemptOutcome::Error,
            Self::Rejected { retry_after } => AttemptOutcome::Rejected { retry_after },
            // These two say nothing of the endpoint's capacity, so that they are no `Rejected`.
            Self::AttemptsExhausted | Self::AlreadyFinished => AttemptOutcome::NotSent,
            Self::EgressFull | Self::BatchMalformed => AttemptOutcome::NotSent,
            Self::RetryAfterActive | Self::EndpointDraining | Self::NotSent => AttemptOutcome::NotSent,
            Self::Malformed => AttemptOutcome::Malformed,
            Self::ConnectionRefused | Self::ConnectTimedOut | Self::ResetWhileSending => {
                AttemptOutcome::NoConnection
            }
            Self::ConnectionReset => AttemptOutcome::ConnectionReset,
            Self::TimedOut => AttemptOutcome::TimedOut,
            Self::Cancelled => AttemptOutcome::Cancelled,
        }
    }

    /// Whether the message is finished with this result, so that no notice of it is due.
    #[must_use]
    pub fn finishes_message(self) -> bool {
        matches!(self, AttemptResult::Completed | AttemptResult::AlreadyFinished)
    }
}
