//! The scenario file as a whole.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::destinations::DestinationKind;
use super::messages::{ClassSpec, Program};
use super::world::{EndpointListSettings, Fleet, GossipSettings, Network, RecoverySettings, Traffic};
use crate::distribution::Span;
use crate::fault::Fault;
use crate::rule::Rule;

/// The version of the scenario file's format that is read and written.
pub const VERSION: u32 = 1;

/// A simulated world and what happens to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a scenario")]
pub struct Scenario {
    /// [`VERSION`].
    pub version: u32,
    /// Name under which results are shown.
    pub name: String,
    /// What the scenario is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// How long messages arrive; the run goes on until each has its final answer.
    #[serde(rename = "lasts_s")]
    pub duration: Span,
    /// The forwarders.
    pub fleet: Fleet,
    /// How many messages arrive, and for which destinations.
    pub traffic: Traffic,
    /// Delays and timeouts of connections.
    #[serde(default)]
    pub network: Network,
    /// How forwarders learn of endpoints.
    #[serde(rename = "list", default)]
    pub endpoint_list: EndpointListSettings,
    /// Gossip between forwarders.
    #[serde(rename = "notes", default)]
    pub gossip: GossipSettings,
    /// Slow start after an outage, and overload of an endpoint that is still cold.
    #[serde(rename = "returning", default)]
    pub recovery: RecoverySettings,
    /// Message classes.
    #[serde(rename = "category")]
    pub classes: Vec<ClassSpec>,
    /// Client programs; each is a tenant of the forwarders.
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
    /// Kinds of destinations.
    #[serde(rename = "kind")]
    pub kinds: Vec<DestinationKind>,
    /// Faults and when they are active.
    #[serde(rename = "trouble", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<ScheduledFault>,
    /// What a search saw with this scenario, so that it can be seen again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<SearchFinding>,
}

/// What a search for weaknesses saw with a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of what a search found")]
pub struct SearchFinding {
    /// Seed of the run.
    pub seed: u64,
    /// The rule that was broken; absent where credit was far from the best known instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rule: Option<Rule>,
    /// Part of all credit that the delivery policy earned.
    pub credit: f64,
    /// Part of all credit that a single attempt for each message earned.
    #[serde(rename = "one_try")]
    pub one_attempt: f64,
    /// Part of all credit that the policy which sees the true state earned.
    #[serde(rename = "ceiling")]
    pub upper_bound: f64,
}

/// A fault and when it is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a trouble and its times")]
pub struct ScheduledFault {
    /// Start of the fault, from the start of the run.
    #[serde(rename = "at_s")]
    pub start: Span,
    /// Duration of the fault.
    #[serde(rename = "for_s")]
    pub duration: Span,
    /// The fault itself.
    #[serde(rename = "what")]
    pub fault: Fault,
}

impl ScheduledFault {
    /// End of the fault, from the start of the run.
    pub fn end(&self) -> Duration {
        self.start.0 + self.duration.0
    }
}
