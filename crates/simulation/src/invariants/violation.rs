//! Violations of rules as they are written to results.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::EndpointIndex;
use crate::rule::Rule;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, in seconds since the start of the run.
    pub at_s: f64,
    /// Index of the forwarder that owned the message, `None` without a message.
    pub forwarder: Option<usize>,
    /// Index of the message, `None` if the violation is not about one message.
    #[serde(rename = "envelope")]
    pub message: Option<usize>,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// Events of the message before the violation, oldest first. For an overload, the work from each
    /// forwarder, largest first.
    #[serde(rename = "led_by")]
    pub history: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "rule {} ({}) at {:.6} s", self.rule.number(), self.rule, self.at_s)?;
        if let Some(forwarder) = self.forwarder {
            write!(formatter, ", forwarder {forwarder}")?;
        }
        if let Some(message) = self.message {
            write!(formatter, ", envelope {message}")?;
        }
        write!(formatter, ": {}", self.description)?;
        self.history.iter().try_for_each(|line| write!(formatter, "\n    {line}"))
    }
}

/// The scope of a Retry-After: a destination, or an endpoint if each endpoint has its own circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAfterScope {
    /// All endpoints of the destination with this rank.
    Destination(usize),
    /// The endpoint that sent the Retry-After.
    Endpoint(EndpointIndex),
}

impl fmt::Display for RetryAfterScope {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RetryAfterScope::Destination(rank) => write!(formatter, "destination {rank}"),
            RetryAfterScope::Endpoint(endpoint) => write!(formatter, "target {}", endpoint.0),
        }
    }
}
