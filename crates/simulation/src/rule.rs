//! The rules that no policy may break.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A rule, in the order in which the operators number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The host's interface is used as documented: no command names a message that the forwarder does not have.
    Interface,
    /// Each message gets one final answer, in time.
    OneAnswer,
    /// What is not idempotent has its effect once.
    NoDoubleEffect,
    /// Attempts go to listed endpoints only, and to draining ones within the grace period.
    Drains,
    /// An endpoint that has just recovered is not overloaded.
    #[serde(rename = "not_pushed_over")]
    NoOverload,
    /// Messages of one ordering key go one after the other.
    Order,
    /// Retry-After is honored.
    #[serde(rename = "waits")]
    RetryAfterHonored,
}

impl Rule {
    /// The operators' number of this rule; 0 for [`Rule::Interface`].
    pub fn number(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Rule::Interface => "host interface",
            Rule::OneAnswer => "one final answer",
            Rule::NoDoubleEffect => "no double effect",
            Rule::Drains => "drains",
            Rule::NoOverload => "no overload after recovery",
            Rule::Order => "order within a key",
            Rule::RetryAfterHonored => "Retry-After honored",
        })
    }
}
