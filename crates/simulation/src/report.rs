//! The results of a run, in simulated time.

use serde::{Deserialize, Serialize};

pub use crate::account::LatencyStep;
use crate::account::{AttemptCounts, DestinationLoad, MessageOutcomes, SecondCounts};
use crate::invariants::Violation;

/// Seconds in the worst span that is reported.
pub const WORST_SPAN_SECONDS: usize = 10;

/// Credit of one class, program or destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupCredit {
    /// Name of the class, program or destination.
    pub name: String,
    /// Credit asked for.
    #[serde(rename = "asked")]
    pub credit_asked: f64,
    /// Part of it that was earned.
    #[serde(rename = "share")]
    pub earned_share: f64,
}

/// All results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Part of the credit asked for that was earned.
    pub credit: f64,
    /// The same in the worst [`WORST_SPAN_SECONDS`] seconds, by first submissions.
    pub credit_worst_span: f64,
    /// The same for the worst message class.
    #[serde(rename = "credit_worst_category")]
    pub credit_worst_class: f64,
    /// What clients wanted delivered.
    #[serde(rename = "first_tries")]
    pub submissions: u64,
    /// Messages that forwarders accepted, each submission after a rejection counted again.
    #[serde(rename = "envelopes")]
    pub messages: u64,
    /// By message class.
    #[serde(rename = "categories")]
    pub classes: Vec<GroupCredit>,
    /// By program.
    pub programs: Vec<GroupCredit>,
    /// The destinations that lost most credit, the worst first.
    pub destinations: Vec<GroupCredit>,
    /// How messages ended.
    pub ends: MessageOutcomes,
    /// How attempts ended.
    #[serde(rename = "dispatches")]
    pub attempts: AttemptCounts,
    /// Milliseconds from a first submission to its completion.
    pub latency_ms: Latency,
    /// Attempts for each submission, in the mean.
    #[serde(rename = "dispatches_per_try")]
    pub attempts_per_submission: f64,
    /// Attempts that endpoints rejected, for each submission in the mean.
    #[serde(rename = "refusals_per_try")]
    pub rejections_per_submission: f64,
    /// Part of the work done by destinations that completed nothing.
    pub work_wasted: f64,
    /// Mean part of all requests that may be in flight that were, while messages arrive.
    #[serde(rename = "slots_used")]
    pub in_flight_used: f64,
    /// New connections for each submission, in the mean.
    #[serde(rename = "new_connections_per_try")]
    pub new_connections_per_submission: f64,
    /// Effects applied again where a class allows that.
    pub repeats_applied: u64,
    /// Endpoints that were overloaded while cold.
    #[serde(rename = "falls")]
    pub overloads: u64,
    /// How often a rule was broken.
    pub rules_broken: usize,
    /// The first of these in full.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Second by second.
    pub seconds: Vec<SecondCounts>,
    /// The destinations with most traffic, second by second.
    #[serde(rename = "watched")]
    pub watched_destinations: Vec<WatchedDestination>,
    /// Histogram of the latencies, without its empty steps.
    pub latency_steps: Vec<LatencyStep>,
    /// Submissions without an end; one would be a fault of the simulation.
    #[serde(rename = "unfinished")]
    pub unfinished_submissions: usize,
    /// Simulated seconds that the run went on for.
    #[serde(rename = "ran_s")]
    pub simulated_s: f64,
    /// Events that it took.
    pub events: u64,
    /// Times that a policy ran its due work.
    #[serde(rename = "turns")]
    pub policy_runs: u64,
}

/// Quantiles of the latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    #[serde(rename = "worst")]
    pub max: u64,
}

/// A destination with much traffic, second by second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchedDestination {
    /// Its rank by traffic.
    pub destination: usize,
    /// Name of its kind.
    pub kind: String,
    /// Requests a second that pass its limit at most; absent where there is none but its capacity.
    pub limit: Option<f64>,
    /// Its load in each second.
    pub seconds: Vec<DestinationLoad>,
}

/// Rounds a result to six decimals: the digits after them mean nothing, and differ between platforms.
pub fn rounded(value: f64) -> f64 {
    if value.is_finite() {
        (value * 1e6).round() / 1e6
    } else {
        0.0
    }
}
