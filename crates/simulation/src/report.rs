//! The results of a run, in simulated time.

use serde::{Deserialize, Serialize};

pub use crate::account::LatencyBucket;
use crate::account::{AttemptCounts, DestinationLoad, MessageOutcomes, SecondCounts};
use crate::invariants::Violation;

/// Length of the period over which [`Report::credit_worst_span`] is computed, in seconds.
pub const WORST_SPAN_SECONDS: usize = 10;

/// Credit of one message class, program or destination. Credit is priority weight, which a message earns in
/// full until its latency objective and in part until its deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupCredit {
    /// Name of the class or program, or a label of the destination.
    pub name: String,
    /// Sum of the priority weights of all submissions.
    #[serde(rename = "asked")]
    pub credit_possible: f64,
    /// Share of `credit_possible` that was earned, from 0 to 1.
    #[serde(rename = "share")]
    pub earned_share: f64,
}

/// All results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy, see [`BuiltInPolicy::name`](crate::BuiltInPolicy::name).
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Share of the possible credit that was earned, from 0 to 1.
    pub credit: f64,
    /// Share of the possible credit that was earned by messages first submitted in the worst
    /// [`WORST_SPAN_SECONDS`] seconds.
    pub credit_worst_span: f64,
    /// Share of the possible credit that was earned by the worst message class.
    #[serde(rename = "credit_worst_category")]
    pub credit_worst_class: f64,
    /// Number of messages that clients wanted delivered, each counted once.
    #[serde(rename = "first_tries")]
    pub submissions: u64,
    /// Number of messages that forwarders accepted; each submission after a rejection counts again.
    #[serde(rename = "envelopes")]
    pub messages: u64,
    /// Credit by message class.
    #[serde(rename = "categories")]
    pub classes: Vec<GroupCredit>,
    /// Credit by client program.
    pub programs: Vec<GroupCredit>,
    /// Credit of the destinations that lost most, the worst first.
    pub destinations: Vec<GroupCredit>,
    /// Number of messages by how they ended.
    pub ends: MessageOutcomes,
    /// Number of attempts by how they ended.
    #[serde(rename = "dispatches")]
    pub attempts: AttemptCounts,
    /// Latency from the first submission to the completion, in milliseconds.
    pub latency_ms: Latency,
    /// Mean number of attempts for each submission.
    #[serde(rename = "dispatches_per_try")]
    pub attempts_per_submission: f64,
    /// Mean number of attempts that endpoints rejected, for each submission.
    #[serde(rename = "refusals_per_try")]
    pub rejections_per_submission: f64,
    /// Share of the endpoints' work that was spent on requests whose forwarder no longer waited for them.
    pub work_wasted: f64,
    /// Mean share of the fleet's maximum requests in flight that was used while messages arrived.
    #[serde(rename = "slots_used")]
    pub in_flight_used: f64,
    /// Mean number of new connections for each submission.
    #[serde(rename = "new_connections_per_try")]
    pub new_connections_per_submission: f64,
    /// Number of repeated effects of messages whose class allows repeats.
    pub repeats_applied: u64,
    /// Number of times that an endpoint was overloaded during its slow start.
    #[serde(rename = "falls")]
    pub overloads: u64,
    /// Number of rule violations.
    pub rules_broken: usize,
    /// Details of the first rule violations.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Counts for each second of the run.
    pub seconds: Vec<SecondCounts>,
    /// Load of the destinations with the most traffic.
    #[serde(rename = "watched")]
    pub watched_destinations: Vec<WatchedDestination>,
    /// Histogram of the latencies, without empty buckets.
    #[serde(rename = "latency_steps")]
    pub latency_buckets: Vec<LatencyBucket>,
    /// Number of submissions that had not ended at the end of the run; 0 unless the simulation has a bug.
    #[serde(rename = "unfinished")]
    pub unfinished_submissions: usize,
    /// Simulated duration of the run, in seconds.
    #[serde(rename = "ran_s")]
    pub simulated_s: f64,
    /// Number of events processed.
    pub events: u64,
    /// Number of times that a policy ran its due work.
    #[serde(rename = "turns")]
    pub policy_runs: u64,
}

/// Quantiles and maximum of the latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median latency.
    pub p50: u64,
    /// 90th percentile of the latency.
    pub p90: u64,
    /// 99th percentile of the latency.
    pub p99: u64,
    /// Maximum latency.
    #[serde(rename = "worst")]
    pub max: u64,
}

/// Load of a destination with much traffic, for each second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchedDestination {
    /// Rank of the destination by traffic, from 0.
    pub destination: usize,
    /// Name of the destination's kind.
    pub kind: String,
    /// Rate limit in requests a second; `None` if only the capacity limits the destination.
    pub limit: Option<f64>,
    /// Load in each second of the run.
    pub seconds: Vec<DestinationLoad>,
}

/// Rounds to six decimals, as further digits differ between platforms; 0 if the value is not finite.
pub fn rounded(value: f64) -> f64 {
    if value.is_finite() {
        (value * 1e6).round() / 1e6
    } else {
        0.0
    }
}
