//! Overrides of single values of a scenario file, as given by `--set` on the command line.

use thiserror::Error;

/// An override of one value of a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueOverride {
    /// Path of the value: keys and array indices joined by dots, such as `traffic.load` or
    /// `kind.0.told_waits`.
    pub path: String,
    /// New value in TOML syntax; anything that is not valid TOML is taken as a string.
    pub value: String,
}

impl ValueOverride {
    /// Creates an override of the value at a path.
    pub fn new(path: impl Into<String>, value: impl Into<String>) -> ValueOverride {
        ValueOverride { path: path.into(), value: value.into() }
    }
}

/// An override that cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// The value is neither valid TOML nor a string, with the error text of the parser.
    #[error("{0}")]
    InvalidValue(String),
    /// The value is empty.
    #[error("the value is empty: expected a TOML value or text")]
    NoValue,
    /// A step of the path does not exist in the file.
    #[error("{path}: \"{step}\" does not exist, expected keys and indices such as kind.0.batch")]
    NothingAt {
        /// Path of the override.
        path: String,
        /// Step of the path that does not exist.
        step: String,
    },
}

/// Sets one value in a parsed scenario file; missing tables on the path are added.
pub(super) fn apply_override(
    table: &mut toml::Table,
    value_override: &ValueOverride,
) -> Result<(), OverrideError> {
    let ValueOverride { path, value } = value_override;
    let value = parse_value(value)?;
    let mut steps = path.split('.');
    let first = steps.next().unwrap_or_default();
    let mut target = table.entry(first).or_insert_with(empty_table);
    for step in steps {
        let next = match target {
            toml::Value::Table(table) => Some(table.entry(step).or_insert_with(empty_table)),
            toml::Value::Array(array) => step.parse::<usize>().ok().and_then(|index| array.get_mut(index)),
            _ => None,
        };
        let missing = || OverrideError::NothingAt { path: path.clone(), step: step.to_owned() };
        target = next.ok_or_else(missing)?;
    }
    *target = value;
    Ok(())
}

fn empty_table() -> toml::Value {
    toml::Value::Table(toml::Table::new())
}

/// Parses a TOML value; text that is not valid TOML becomes a string.
fn parse_value(value: &str) -> Result<toml::Value, OverrideError> {
    let read = |text: &str| toml::from_str::<toml::Table>(&format!("value = {text}"));
    let table = read(value)
        .or_else(|_| read(&format!("{value:?}")))
        .map_err(|error| OverrideError::InvalidValue(error.message().to_owned()))?;
    table.into_iter().next().map(|(_, value)| value).ok_or(OverrideError::NoValue)
}
