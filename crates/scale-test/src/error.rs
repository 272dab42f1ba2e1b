//! Errors that leave a run without results. Each error is one line of text.

use std::fmt::Display;

/// An error that leaves a run without results.
#[derive(Debug, thiserror::Error)]
pub enum ScaleTestError {
    /// The scenario file or the command line is invalid.
    #[error("{place}: expected {expected}, found {found}")]
    InvalidInput {
        /// The file, line, key or option at fault.
        place: String,
        /// The input that is accepted.
        expected: String,
        /// The input that was read.
        found: String,
    },
    /// The scenario needs more memory or descriptors than this machine provides.
    #[error("{place}: needs {needed}, but {limit}")]
    InsufficientResources {
        /// The tables of the scenario that set the sizes.
        place: String,
        /// The amount needed, with its unit.
        needed: String,
        /// The limit that is exceeded, as a clause.
        limit: String,
    },
    /// A run that had valid input could not be completed.
    #[error("{operation}: {reason}")]
    Aborted {
        /// The operation that failed, or how it failed.
        operation: String,
        /// The cause.
        reason: String,
    },
}

impl ScaleTestError {
    /// Returns an error for invalid input.
    pub fn invalid_input(place: impl Display, expected: impl Display, found: impl Display) -> ScaleTestError {
        ScaleTestError::InvalidInput {
            place: place.to_string(),
            expected: expected.to_string(),
            found: found.to_string(),
        }
    }

    /// Returns an error that ends the run.
    pub fn aborted(operation: impl Display, reason: impl Display) -> ScaleTestError {
        ScaleTestError::Aborted { operation: operation.to_string(), reason: reason.to_string() }
    }
}
