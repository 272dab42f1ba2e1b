//! What can go wrong with a run, each told in one line.

use std::fmt::Display;

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The scenario, or the command line, can't be used as it stands.
    #[error("{place}: expected {expected}, found {found}")]
    Input { place: String, expected: String, found: String },
    /// The machine has no room for what the scenario asks for.
    #[error("{place}: needs {needed}, and {limit}")]
    NoRoom { place: String, needed: String, limit: String },
    /// The run broke off.
    #[error("{doing}: {why}")]
    Broken { doing: String, why: String },
}

impl Fault {
    pub fn input(place: impl Display, expected: impl Display, found: impl Display) -> Fault {
        Fault::Input { place: place.to_string(), expected: expected.to_string(), found: found.to_string() }
    }

    pub fn broken(doing: impl Display, why: impl Display) -> Fault {
        Fault::Broken { doing: doing.to_string(), why: why.to_string() }
    }
}
