//! Values of the policy's interface in plain words, for the texts of violations.

use std::fmt;

use reeddock::{AttemptOutcome, EndpointState};

/// The outcome of an attempt in plain words.
pub(super) struct OutcomeText(pub(super) AttemptOutcome);

impl fmt::Display for OutcomeText {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            AttemptOutcome::Completed => formatter.write_str("completed"),
            AttemptOutcome::Error => formatter.write_str("error"),
            AttemptOutcome::Rejected { retry_after: None } => formatter.write_str("rejected"),
            AttemptOutcome::Rejected { retry_after: Some(wait) } => {
                write!(formatter, "rejected, Retry-After {:.6} s", wait.as_secs_f64())
            }
            AttemptOutcome::TimedOut => formatter.write_str("timed out"),
            AttemptOutcome::NoConnection => formatter.write_str("no connection"),
            AttemptOutcome::ConnectionReset => formatter.write_str("connection reset"),
            AttemptOutcome::Cancelled => formatter.write_str("cancelled"),
            AttemptOutcome::NotSent => formatter.write_str("not sent"),
            AttemptOutcome::Malformed => formatter.write_str("malformed response"),
        }
    }
}

/// The state of an endpoint on the endpoint list in plain words.
pub(super) struct StateText(pub(super) EndpointState);

impl fmt::Display for StateText {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self.0 {
            EndpointState::Active => "active",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        })
    }
}
