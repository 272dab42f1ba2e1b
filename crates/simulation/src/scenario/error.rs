//! Errors of reading a scenario file.

use std::fmt;

use thiserror::Error;

use super::overrides::OverrideError;
use super::validation::ValidationError;

/// An invalid scenario. Its text is one line with the file, the line number if known, and what was expected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioError {
    /// Path or name of the scenario file.
    pub file: String,
    /// Line number from 1; `None` if the problem does not belong to a single line.
    pub line: Option<usize>,
    /// Cause of the error.
    pub problem: ScenarioProblem,
}

/// Cause of a [`ScenarioError`].
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioProblem {
    /// The file cannot be read, with the error text of the operating system.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text is not valid TOML or not a valid scenario, with the error text of the parser.
    #[error("{0}")]
    Syntax(String),
    /// An override cannot be applied.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The scenario is invalid after overrides were applied, with the error text of the parser.
    #[error("invalid after overriding {paths}: {message}")]
    Overridden {
        /// Paths of all overrides, separated by commas.
        paths: String,
        /// Error text of the parser.
        message: String,
    },
    /// Values are out of range or contradict each other.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(formatter, "{}:{line}: {}", self.file, self.problem),
            None => write!(formatter, "{}: {}", self.file, self.problem),
        }
    }
}

impl std::error::Error for ScenarioError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.problem)
    }
}
