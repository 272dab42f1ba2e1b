//! The one list of ways in which an attempt on a connection can end, and what each means to the delivery policy.

use std::time::Duration;

use reeddock::AttemptOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered: delivered.
    Completed,
    /// Answered: it failed there, and may have run.
    Failed,
    /// Turned away unseen, perhaps with a wait.
    Rejected { retry_after: Option<Duration> },
    /// Not sent on: every slot of this forwarder was taken.
    EgressFull,
    /// Not sent on: the message has had all its attempts.
    AttemptsExhausted,
    /// Not sent on: the message is over, and nothing more is owed.
    AlreadyFinished,
    /// A call with nothing else was answered as not readable or too large; it never ran.
    Malformed,
    /// The same for a call with others, one of which may be at fault.
    BatchMalformed,
    /// Answered with what no one agreed on; it may have run.
    UnexpectedStatus,
    /// The connection was refused, or the attempt to make it failed.
    ConnectionRefused,
    /// No connection came up in time.
    ConnectTimedOut,
    /// The connection broke before the call's last byte was written.
    ResetWhileSending,
    /// The connection broke after the last byte was written.
    ConnectionReset,
    /// What came back after that was no answer, or not a whole one.
    MalformedResponse,
    /// No answer in time.
    TimedOut,
    /// Given up by this forwarder.
    Cancelled,
    /// Not sent on: while its connection was being made, its endpoint asked to be left alone for a while.
    RetryAfterActive,
    /// Not sent on: while its connection was being made, the list said that its endpoint leaves or is gone.
    EndpointDraining,
    /// It never left: no descriptor was free for it, the write-ahead log could not be written first, or it was given up
    /// before.
    NotSent,
}

impl AttemptResult {
    /// The only place where an ending becomes the delivery policy's outcome.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            AttemptResult::Completed => AttemptOutcome::Completed,
            AttemptResult::Failed | AttemptResult::UnexpectedStatus | AttemptResult::MalformedResponse => {
                AttemptOutcome::Error
            }
            AttemptResult::Rejected { retry_after: wait } => AttemptOutcome::Rejected { retry_after: wait },
            // These two say nothing of room at the endpoint, so that they are no `Full`.
            AttemptResult::AttemptsExhausted | AttemptResult::AlreadyFinished => AttemptOutcome::NotSent,
            AttemptResult::EgressFull | AttemptResult::BatchMalformed => AttemptOutcome::NotSent,
            AttemptResult::RetryAfterActive | AttemptResult::EndpointDraining | AttemptResult::NotSent => {
                AttemptOutcome::NotSent
            }
            AttemptResult::Malformed => AttemptOutcome::Malformed,
            AttemptResult::ConnectionRefused
            | AttemptResult::ConnectTimedOut
            | AttemptResult::ResetWhileSending => AttemptOutcome::NoConnection,
            AttemptResult::ConnectionReset => AttemptOutcome::ConnectionReset,
            AttemptResult::TimedOut => AttemptOutcome::TimedOut,
            AttemptResult::Cancelled => AttemptOutcome::Cancelled,
        }
    }

    /// Whether the message is over with it, with no notice owed.
    pub fn finishes_message(self) -> bool {
        matches!(self, AttemptResult::Completed | AttemptResult::AlreadyFinished)
    }
}
