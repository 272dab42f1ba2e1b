//! Output of results to standard output, as text or as JSON.

use serde::Serialize;

use crate::error::ExperimentError;

/// The form in which a result is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Readable text, mostly tables.
    Text,
    /// JSON on one line.
    Json,
}

impl OutputFormat {
    /// Prints a result to standard output; `text` returns its readable form, with a line break at the end.
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
