//! The rules that no policy may break.

use serde::{Deserialize, Serialize};

/// A rule, in the order in which the operators number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The host's interface is used as documented; an unknown message, for one, is not.
    Interface,
    /// Each message gets one final answer, in time.
    OneAnswer,
    /// What is not idempotent has its effect once.
    NoDoubleEffect,
    /// Attempts go to listed endpoints only, and to draining ones within the grace period.
    Drains,
    /// An endpoint that has just recovered is not overloaded.
    NotPushedOver,
    /// Messages of one ordering key go one after the other.
    Order,
    /// Retry-After is honored.
    Waits,
}

impl Rule {
    /// The operators' number of this rule; 0 for [`Rule::Interface`].
    pub fn number(self) -> u8 {
        self as u8
    }
}
