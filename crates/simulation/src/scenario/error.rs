//! The error of a scenario file that cannot be used.

use std::fmt;

/// What is wrong with a scenario, in one line: file, line where it is known, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Path or name under which the scenario was read.
    pub file: String,
    /// Line of the file, counted from 1; absent where the fault is of no one line.
    pub line: Option<usize>,
    /// What is wrong, and what was expected.
    pub what: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(formatter, "{}:{line}: {}", self.file, self.what),
            None => write!(formatter, "{}: {}", self.file, self.what),
        }
    }
}

impl std::error::Error for ScenarioError {}
