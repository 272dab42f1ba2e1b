//! Why a run has no result. Each error is shown as one line.

use std::fmt::Display;

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
pub enum ScaleTestError {
    /// The scenario or the command line is invalid.
    #[error("{place}: expected {expected}, found {found}")]
    InvalidInput {
        /// The file, line, key or option concerned.
        place: String,
        /// What would have been accepted.
        expected: String,
        /// What was there instead.
        found: String,
    },
    /// The scenario needs more than this machine has.
    #[error("{place}: needs {needed}, and {limit}")]
    OverBudget {
        /// The part of the scenario that needs it.
        place: String,
        /// How much is needed, with its unit.
        needed: String,
        /// The limit that it goes beyond, as a clause.
        limit: String,
    },
    /// The run was aborted.
    #[error("{operation}: {reason}")]
    Aborted {
        /// What was being done.
        operation: String,
        /// Why it could not go on.
        reason: String,
    },
}

impl ScaleTestError {
    /// An error about input that can't be used.
    pub fn invalid_input(place: impl Display, expected: impl Display, found: impl Display) -> ScaleTestError {
        ScaleTestError::InvalidInput {
            place: place.to_string(),
            expected: expected.to_string(),
            found: found.to_string(),
        }
    }

    /// An error that ends the run.
    pub fn aborted(operation: impl Display, reason: impl Display) -> ScaleTestError {
        ScaleTestError::Aborted { operation: operation.to_string(), reason: reason.to_string() }
    }
}
