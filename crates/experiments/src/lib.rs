//! The laboratory: experiments on the simulation, at all cores, with results that do not depend on how many
//! those are. `docs/experiments.md` shows a whole experiment.

mod draw;
mod page;
mod ramp;
mod record;
mod results;
mod runs;
mod search;
mod sharing;
mod shrink;

use std::fmt;
use std::str::FromStr;

use reeddock_simulation::BuiltInPolicy;

pub use draw::draw;
pub use page::page;
pub use ramp::{RampRow, Ramps};
pub use record::{compare_recordings, Compared, Recorded, RecordingRun, StreamRun};
pub use results::{Figures, Finding, Result, Row, Spread, SweepRow};
pub use runs::{Comparison, Lab, Sweep};
pub use search::Search;
pub use sharing::{Sharing, SharingRow, SharingTable};
pub use shrink::{shrink, Want};

/// What is wrong, in one line.
#[derive(Debug)]
pub struct ExperimentError(String);

impl ExperimentError {
    pub fn line(what: impl fmt::Display) -> ExperimentError {
        ExperimentError(what.to_string().trim().replace('\n', "; "))
    }
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl std::error::Error for ExperimentError {}

impl From<reeddock_simulation::ScenarioError> for ExperimentError {
    fn from(fault: reeddock_simulation::ScenarioError) -> ExperimentError {
        ExperimentError::line(fault)
    }
}

/// Policies by name, joined by commas.
#[derive(Clone, Debug)]
pub struct Policies(pub Vec<BuiltInPolicy>);

impl FromStr for Policies {
    type Err = String;
    fn from_str(names: &str) -> std::result::Result<Policies, String> {
        let one = |name: &str| {
            BuiltInPolicy::named(name.trim()).ok_or_else(|| {
                let known: Vec<&str> = BuiltInPolicy::ALL.iter().map(|k| k.name()).collect();
                format!("no policy {name:?}: expected {}", known.join(", "))
            })
        };
        names.split(',').map(one).collect::<std::result::Result<_, _>>().map(Policies)
    }
}

/// One place in a scenario, and the values to put there.
#[derive(Clone, Debug)]
pub struct Setting {
    pub key: String,
    pub values: Vec<String>,
}

impl FromStr for Setting {
    type Err = String;
    fn from_str(text: &str) -> std::result::Result<Setting, String> {
        let (key, values) = text.split_once('=').ok_or("expected KEY=VALUE,VALUE")?;
        let mut all = vec![String::new()];
        let mut depth = 0;
        // Commas inside a list or table of TOML part no values.
        for c in values.chars() {
            depth += i32::from(matches!(c, '[' | '{')) - i32::from(matches!(c, ']' | '}'));
            match c {
                ',' if depth == 0 => all.push(String::new()),
                c => all.last_mut().into_iter().for_each(|v| v.push(c)),
            }
        }
        if key.trim().is_empty() || all.iter().any(|v| v.trim().is_empty()) {
            return Err("expected KEY=VALUE,VALUE".to_owned());
        }
        let values = all.iter().map(|v| v.trim().to_owned()).collect();
        Ok(Setting { key: key.trim().to_owned(), values })
    }
}
