//! Top level of the scenario file.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::destinations::DestinationKind;
use super::messages::{ClassSpec, Program};
use super::world::{EndpointListSettings, Fleet, GossipSettings, Network, RecoverySettings, Traffic};
use crate::distribution::Span;
use crate::fault::Fault;
use crate::rule::Rule;

/// Version of the scenario file format that is read and written.
pub const VERSION: u32 = 1;

/// A simulated world, its traffic and the faults of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a scenario")]
pub struct Scenario {
    /// Version of the file format; must equal [`VERSION`].
    pub version: u32,
    /// Name of the scenario in results.
    pub name: String,
    /// Purpose of the scenario, in one sentence.
    #[serde(default)]
    pub about: String,
    /// Time during which messages arrive; the run continues until each message has its final answer.
    #[serde(rename = "lasts_s")]
    pub duration: Span,
    /// Forwarders and their limits.
    pub fleet: Fleet,
    /// Rate of arriving messages and their distribution over destinations.
    pub traffic: Traffic,
    /// Delays and timeouts of connections.
    #[serde(default)]
    pub network: Network,
    /// Delay and content of the endpoint list.
    #[serde(rename = "list", default)]
    pub endpoint_list: EndpointListSettings,
    /// Gossip between forwarders.
    #[serde(rename = "notes", default)]
    pub gossip: GossipSettings,
    /// Slow start of endpoints after an outage, and their overload during the slow start.
    #[serde(rename = "returning", default)]
    pub recovery: RecoverySettings,
    /// Message classes.
    #[serde(rename = "category")]
    pub classes: Vec<ClassSpec>,
    /// Client programs; each is one tenant of the forwarders.
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
    /// Kinds of destinations.
    #[serde(rename = "kind")]
    pub kinds: Vec<DestinationKind>,
    /// Faults with the times at which they are active.
    #[serde(rename = "trouble", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<ScheduledFault>,
    /// Result of the search that found this scenario; `None` if no search wrote the file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<SearchFinding>,
}

/// Result of a search for scenarios in which the delivery policy does badly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table with the result of a search")]
pub struct SearchFinding {
    /// Seed of the run.
    pub seed: u64,
    /// Rule that was broken; `None` if the finding is a low credit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rule: Option<Rule>,
    /// Share of the possible credit that the delivery policy earned.
    pub credit: f64,
    /// Share of the possible credit that [`BuiltInPolicy::OneAttempt`](crate::BuiltInPolicy::OneAttempt)
    /// earned.
    #[serde(rename = "one_try")]
    pub one_attempt: f64,
    /// Share of the possible credit that [`BuiltInPolicy::UpperBound`](crate::BuiltInPolicy::UpperBound)
    /// earned.
    #[serde(rename = "ceiling")]
    pub upper_bound: f64,
}

/// A fault and the time at which it is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table with a fault, its start and its duration")]
pub struct ScheduledFault {
    /// Start of the fault, since the start of the run.
    #[serde(rename = "at_s")]
    pub start: Span,
    /// Duration of the fault.
    #[serde(rename = "for_s")]
    pub duration: Span,
    /// Type and parameters of the fault.
    #[serde(rename = "what")]
    pub fault: Fault,
}

impl ScheduledFault {
    /// Returns the end of the fault, since the start of the run.
    pub fn end(&self) -> Duration {
        self.start.0 + self.duration.0
    }
}
