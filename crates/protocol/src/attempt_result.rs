//! The results of delivery attempts on connections, and their conversion to outcomes for the delivery policy.

use std::fmt;
use std::time::Duration;

use reeddock::AttemptOutcome;

/// The result of one delivery attempt on its connection.
///
/// A batch request carries one attempt for each of its messages, and each attempt has its own result. A
/// message can be sent again only if it was not executed or if repeated execution is safe. Logs contain the
/// `Display` text.
///
/// | Result | Event on the connection | Message executed? |
/// | --- | --- | --- |
/// | `Completed` | 200, or `accepted` in a batch response | yes |
/// | `Failed` | 500, or `fault` in a batch response | possibly |
/// | `UnexpectedStatus` | a status that the protocol does not define | possibly |
/// | `MalformedResponse` | an incomplete or invalid HTTP response | possibly |
/// | `ConnectionReset` | connection lost after the request's last byte was written | possibly |
/// | `TimedOut` | no response in time | possibly, now or later |
/// | `Cancelled` | connection closed by this forwarder | possibly, now or later |
/// | `Rejected` | 429, 503, or `deferred` in a batch response | no |
/// | `EgressFull` | 503 with `X-Egress-Full` | no |
/// | `AttemptsExhausted` | 504, or `no_more` in a batch response | no |
/// | `AlreadyFinished` | 410, or `expired` in a batch response | no |
/// | `Malformed` | 400 or 413 for a request with one message | no |
/// | `BatchMalformed` | 400 or 413 for a batch | no |
/// | `ConnectionRefused` | connection refused or failed | no |
/// | `ConnectTimedOut` | connection not established in time | no |
/// | `ResetWhileSending` | connection lost before the request's last byte was written | no |
/// | `RetryAfterActive`, `EndpointDraining`, `NotSent` | request not sent | no |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint executed the message.
    Completed,
    /// The endpoint reported an error and may have executed the message.
    Failed,
    /// The endpoint rejected the message before execution.
    Rejected {
        /// `Retry-After` of the response. `None` if it is absent, malformed or zero.
        retry_after: Option<Duration>,
    },
    /// The request was not forwarded because all request slots of this forwarder were in use.
    EgressFull,
    /// The request was not forwarded because the message has no attempts left. The final answer is still due.
    AttemptsExhausted,
    /// The request was not forwarded because the message already has its final answer.
    AlreadyFinished,
    /// The endpoint could not parse the request, or it was too large. The message was the only one in the
    /// request.
    Malformed,
    /// The endpoint could not parse a batch, or it was too large. The faulty message is unknown.
    BatchMalformed,
    /// The endpoint responded with a status that the protocol does not define and may have executed the
    /// message.
    UnexpectedStatus,
    /// The connection was refused or could not be established.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// The connection was lost before the request's last byte was written.
    ResetWhileSending,
    /// The connection was lost after the request's last byte was written.
    ConnectionReset,
    /// The response was incomplete or invalid, after the request's last byte was written.
    MalformedResponse,
    /// No response was received in time.
    TimedOut,
    /// The forwarder cancelled the attempt by closing its connection.
    Cancelled,
    /// The request was not sent because the endpoint set a `Retry-After` while the connection was being
    /// established.
    RetryAfterActive,
    /// The request was not sent because the endpoint list marked the endpoint as draining or gone while the
    /// connection was being established.
    EndpointDraining,
    /// The request was not sent because no file descriptor was available, the write-ahead log could not be
    /// written, or the attempt was cancelled first.
    NotSent,
}

/// Formats the result for logs.
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
    /// Returns the outcome that the delivery policy receives for this result.
    #[must_use]
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Completed => AttemptOutcome::Completed,
            Self::Failed | Self::UnexpectedStatus | Self::MalformedResponse => AttemptOutcome::Error,
            Self::Rejected { retry_after } => AttemptOutcome::Rejected { retry_after },
            // `Rejected` would be wrong: these two results give no information about the endpoint's capacity.
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

    /// Returns whether the message is finished with this result, so that no delivery notice is due.
    #[must_use]
    pub fn finishes_message(self) -> bool {
        matches!(self, AttemptResult::Completed | AttemptResult::AlreadyFinished)
    }
}
