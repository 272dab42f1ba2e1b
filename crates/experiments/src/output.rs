//! How results are printed to standard output: as text for people, or as JSON for machines.

use serde::Serialize;

use crate::error::ExperimentError;

/// The form in which a result is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON on one line.
    Json,
}

impl OutputFormat {
    /// Prints a result; its text ends with a line break.
    pub(crate) fn print(
        self,
        result: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), ExperimentError> {
        match self {
            OutputFormat::Text => print!("{}", text()),
            OutputFormat::Json => println!("{}", serde_json::to_string(result)?),
        }
        Ok(())
    }
}
