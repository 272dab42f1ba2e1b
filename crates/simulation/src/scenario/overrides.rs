//! Single values put in the place of those of a scenario file, as `--set` on the command line does.

use thiserror::Error;

/// A value that is put in the place of one of a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueOverride {
    /// The place: keys and positions joined by dots, such as `traffic.load` or `kind.0.told_waits`.
    pub path: String,
    /// The value as TOML has it; what is no TOML is meant as text.
    pub value: String,
}

impl ValueOverride {
    /// An override of the value at a path.
    pub fn new(path: impl Into<String>, value: impl Into<String>) -> ValueOverride {
        ValueOverride { path: path.into(), value: value.into() }
    }
}

/// Why a value could not be put into a scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// The value is no TOML value, nor text.
    #[error("{0}")]
    InvalidValue(String),
    /// The value is empty.
    #[error("no value")]
    NoValue,
    /// A step of the path names nothing in the file.
    #[error("{path}: nothing at \"{step}\", expected keys and numbers, as kind.0.batch")]
    NothingAt {
        /// The whole path.
        path: String,
        /// The step that failed.
        step: String,
    },
}

/// Puts one value into a table that was read.
pub(super) fn apply_override(table: &mut toml::Table, one: &ValueOverride) -> Result<(), OverrideError> {
    let ValueOverride { path, value } = one;
    let value = parse_value(value)?;
    let mut steps = path.split('.');
    let first = steps.next().unwrap_or_default();
    let mut at = table.entry(first).or_insert_with(empty_table);
    for step in steps {
        let next = match at {
            toml::Value::Table(table) => Some(table.entry(step).or_insert_with(empty_table)),
            toml::Value::Array(array) => step.parse::<usize>().ok().and_then(|index| array.get_mut(index)),
            _ => None,
        };
        let missing = || OverrideError::NothingAt { path: path.clone(), step: step.to_owned() };
        at = next.ok_or_else(missing)?;
    }
    *at = value;
    Ok(())
}

fn empty_table() -> toml::Value {
    toml::Value::Table(toml::Table::new())
}

/// Reads a TOML value; what is none is meant as text.
fn parse_value(value: &str) -> Result<toml::Value, OverrideError> {
    let read = |text: &str| toml::from_str::<toml::Table>(&format!("value = {text}"));
    let table = read(value)
        .or_else(|_| read(&format!("{value:?}")))
        .map_err(|error| OverrideError::InvalidValue(error.message().to_owned()))?;
    table.into_iter().next().map(|(_, value)| value).ok_or(OverrideError::NoValue)
}
