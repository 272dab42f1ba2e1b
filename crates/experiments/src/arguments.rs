//! Values of the command line that name policies and override keys of a scenario.

use std::str::FromStr;

use reeddock_simulation::BuiltInPolicy;

/// Why a value of the command line was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArgumentError {
    /// No built-in policy has this name.
    #[error("unknown policy \"{0}\": expected {known}", known = known_policies())]
    UnknownPolicy(String),
    /// The override is not of the form `KEY=VALUE,VALUE`, or its key or a value is empty.
    #[error("expected KEY=VALUE,VALUE")]
    MalformedOverride,
}

fn known_policies() -> String {
    BuiltInPolicy::ALL.map(BuiltInPolicy::name).join(", ")
}

/// Policies to run, in the order of the command line. Parsed from names separated by commas.
#[derive(Clone, Debug)]
pub struct PolicyList(Vec<BuiltInPolicy>);

impl PolicyList {
    /// Returns the policies in order; there is at least one.
    pub fn as_slice(&self) -> &[BuiltInPolicy] {
        &self.0
    }
}

impl FromStr for PolicyList {
    type Err = ArgumentError;

    fn from_str(names: &str) -> Result<PolicyList, ArgumentError> {
        let policy = |name: &str| {
            BuiltInPolicy::from_name(name.trim())
                .ok_or_else(|| ArgumentError::UnknownPolicy(name.trim().to_owned()))
        };
        names.split(',').map(policy).collect::<Result<_, _>>().map(PolicyList)
    }
}

/// A key of a scenario and the values that replace its value, each in separate runs. Parsed from
/// `KEY=VALUE,VALUE`.
#[derive(Clone, Debug)]
pub struct ScenarioOverride {
    /// Path of keys and list positions separated by dots, such as `kind.1.batch`.
    pub key: String,
    /// Values in TOML syntax; there is at least one, and none is empty.
    pub values: Vec<String>,
}

impl FromStr for ScenarioOverride {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<ScenarioOverride, ArgumentError> {
        let (key, values) = text.split_once('=').ok_or(ArgumentError::MalformedOverride)?;
        let values = split_values(values);
        if key.trim().is_empty() || values.iter().any(String::is_empty) {
            return Err(ArgumentError::MalformedOverride);
        }
        Ok(ScenarioOverride { key: key.trim().to_owned(), values })
    }
}

/// Splits a text at commas, except those inside a TOML list or table.
fn split_values(text: &str) -> Vec<String> {
    let mut values = Vec::new();
    let mut value = String::new();
    let mut depth = 0;
    for character in text.chars() {
        match character {
            '[' | '{' => depth += 1,
            ']' | '}' => depth -= 1,
            _ => {}
        }
        if character == ',' && depth == 0 {
            values.push(std::mem::take(&mut value));
        } else {
            value.push(character);
        }
    }
    values.push(value);
    values.iter().map(|value| value.trim().to_owned()).collect()
}
