//! Reads a scenario from its file, and writes it as one.

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
    /// A file that cannot be read, and all that [`Scenario::parse`] refuses.
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

    /// Reads a scenario's text, with single values put in the place of those that stand there.
    ///
    /// # Errors
    ///
    /// Text that is no TOML, unknown keys, and values that are out of range or contradict each other.
    pub fn parse(file: &str, text: &str, overrides: &[ValueOverride]) -> Result<Scenario, ScenarioError> {
        let error = |line, problem| ScenarioError { file: file.to_owned(), line, problem };
        let syntax_error = |fault: toml::de::Error| {
            let line = fault.span().map(|span| line_at(text, span.start));
            error(line, ScenarioProblem::Syntax(in_plain_words(fault.message())))
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

    /// As a file that [`Scenario::read`] takes.
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

fn parse_with_overrides(
    mut table: toml::Table,
    overrides: &[ValueOverride],
) -> Result<Scenario, ScenarioProblem> {
    for one in overrides {
        apply_override(&mut table, one)?;
    }
    let text = toml::to_string(&table).map_err(|error| ScenarioProblem::Syntax(error.to_string()))?;
    toml::from_str(&text).map_err(|error| {
        let paths: Vec<&str> = overrides.iter().map(|one| one.path.as_str()).collect();
        ScenarioProblem::Overridden { paths: paths.join(", "), message: in_plain_words(error.message()) }
    })
}

/// The line of a byte offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// What the parser says, on one line, and without the names that the language has for types of numbers.
fn in_plain_words(message: &str) -> String {
    let message = message.trim().replace('\n', "; ");
    match message.rsplit_once("expected ") {
        Some((before, "u32" | "u64")) => format!("{before}expected a whole number from 0 up"),
        Some((before, "f64")) => format!("{before}expected a number"),
        _ => message,
    }
}
