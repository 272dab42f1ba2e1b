//! The rules of delivery that no policy may break.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A rule of delivery. The order of the variants gives their [numbers](Rule::number).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The host's interface is used as documented: commands name only messages that the forwarder has.
    Interface,
    /// Each message gets exactly one final answer, by its deadline.
    OneAnswer,
    /// Messages that are not idempotent take effect at most once.
    NoDoubleEffect,
    /// Attempts go to listed endpoints only, and to a draining endpoint only within the grace period.
    Drains,
    /// Endpoints that warm up after an outage are not overloaded.
    #[serde(rename = "not_pushed_over")]
    NoOverload,
    /// Messages of one ordering key are delivered one after the other.
    Order,
    /// No attempt goes to an endpoint or destination before its Retry-After has passed.
    #[serde(rename = "waits")]
    RetryAfterHonored,
}

impl Rule {
    /// Returns the number under which the rule is documented; 0 for [`Rule::Interface`].
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
