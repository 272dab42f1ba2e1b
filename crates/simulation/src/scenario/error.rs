//! The error of a scenario file that cannot be used.

use std::fmt;

use thiserror::Error;

use super::overrides::OverrideError;
use super::validation::ValidationError;

/// What is wrong with a scenario, in one line: file, line where it is known, and what was expected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioError {
    /// Path or name under which the scenario was read.
    pub file: String,
    /// Line of the file, counted from 1; absent where the problem is of no one line.
    pub line: Option<usize>,
    /// What is wrong, and what was expected.
    pub problem: ScenarioProblem,
}

/// What is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioProblem {
    /// The file cannot be read; the text is the operating system's.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text is no TOML, or has keys or values that a scenario does not; the text is the parser's.
    #[error("{0}")]
    Syntax(String),
    /// A value cannot be put in the place of another.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// A scenario with values put in is no scenario; the text is the parser's.
    #[error("with {paths} put in: {message}")]
    Overridden {
        /// The paths of these values, joined by commas.
        paths: String,
        /// What the parser says of them.
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
