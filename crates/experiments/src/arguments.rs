//! Values of the command line that name policies and override keys of a scenario.

use std::str::FromStr;

use reeddock_simulation::BuiltInPolicy;

/// Why a value of the command line was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArgumentError {
    /// A policy that does not exist.
    #[error("no policy \"{0}\": expected {known}", known = known_policies())]
    UnknownPolicy(String),
    /// An override that is not of the form `KEY=VALUE,VALUE`, or has an empty part.
    #[error("expected KEY=VALUE,VALUE")]
    MalformedOverride,
}

fn known_policies() -> String {
    BuiltInPolicy::ALL.map(BuiltInPolicy::name).join(", ")
}

/// Policies to run, in the order of the command line; text form: names joined by commas.
#[derive(Clone, Debug)]
pub struct PolicyList(Vec<BuiltInPolicy>);

impl PolicyList {
    /// The policies, in order; at least one.
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

/// A key of a scenario and the values to put there, each in a run of its own; text form: `KEY=VALUE,VALUE`.
#[derive(Clone, Debug)]
pub struct ScenarioOverride {
    /// A path of keys and positions joined by dots, such as `kind.1.batch`.
    pub key: String,
    /// Values in TOML; at least one, none of them empty.
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

/// Splits at commas, except those inside a list or table of TOML.
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
