//! What is said of a rule that was broken. Results hold these lines, in the operators' words.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::EndpointIndex;
use crate::rule::Rule;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// Index of the forwarder that broke it, where it was one.
    pub forwarder: Option<usize>,
    /// Index of the message, where it was about one.
    #[serde(rename = "envelope")]
    pub message: Option<usize>,
    /// How it was broken.
    #[serde(rename = "what")]
    pub description: String,
    /// What led to it, oldest first.
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

/// What a Retry-After holds for: a destination, or an endpoint where each endpoint has a circuit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAfterScope {
    /// All endpoints of the destination with this rank.
    Destination(usize),
    /// One endpoint.
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
