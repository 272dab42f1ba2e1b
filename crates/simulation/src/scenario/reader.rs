//! Reads and writes scenario files.

use std::path::Path;

use super::error::{ScenarioError, ScenarioProblem};
use super::model::Scenario;
use super::overrides::{apply_override, ValueOverride};
use super::validation::validate;

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or [`Scenario::parse`] fails.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Scenario::parse(&file, &text, &[]),
            Err(error) => {
                let problem = ScenarioProblem::Unreadable(error.to_string());
                Err(ScenarioError { file, line: None, problem })
            }
        }
    }

    /// Parses the text of a scenario file after applying overrides; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML, an override cannot be applied, a key is unknown, or values are out of
    /// range or contradict each other.
    pub fn parse(file: &str, text: &str, overrides: &[ValueOverride]) -> Result<Scenario, ScenarioError> {
        let error = |line, problem| ScenarioError { file: file.to_owned(), line, problem };
        let syntax_error = |parse_error: toml::de::Error| {
            let line = parse_error.span().map(|span| line_at(text, span.start));
            error(line, ScenarioProblem::Syntax(plain_message(parse_error.message())))
        };
        let scenario: Scenario = if overrides.is_empty() {
            toml::from_str(text).map_err(syntax_error)?
        } else {
            let table: toml::Table = toml::from_str(text).map_err(syntax_error)?;
            parse_with_overrides(table, overrides).map_err(|problem| error(None, problem))?
        };
        validate(&scenario).map_err(|invalid| error(invalid.section.line_in(text), invalid.error.into()))?;
        Ok(scenario)
    }

    /// Returns the text of a scenario file that [`Scenario::read`] accepts.
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

fn parse_with_overrides(
    mut table: toml::Table,
    overrides: &[ValueOverride],
) -> Result<Scenario, ScenarioProblem> {
    for value_override in overrides {
        apply_override(&mut table, value_override)?;
    }
    let text = toml::to_string(&table).map_err(|error| ScenarioProblem::Syntax(error.to_string()))?;
    toml::from_str(&text).map_err(|error| {
        let paths: Vec<&str> = overrides.iter().map(|value_override| value_override.path.as_str()).collect();
        ScenarioProblem::Overridden { paths: paths.join(", "), message: plain_message(error.message()) }
    })
}

/// Returns the line number of a byte offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Returns the parser's message on one line, with Rust's names of number types replaced by plain words.
fn plain_message(message: &str) -> String {
    let message = message.trim().replace('\n', "; ");
    match message.rsplit_once("expected ") {
        Some((before, "u32" | "u64")) => format!("{before}expected a whole number from 0 up"),
        Some((before, "f64")) => format!("{before}expected a number"),
        _ => message,
    }
}
