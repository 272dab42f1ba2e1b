//! Display forms of policy types in descriptions of violations.

use std::fmt;

use reeddock::{AttemptOutcome, EndpointState};

/// Displays the outcome of an attempt.
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

/// Displays the state of an endpoint on the endpoint list.
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
