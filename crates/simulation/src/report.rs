//! What a run came to. All figures are emulated.

use serde::{Deserialize, Serialize};

use crate::account::{Dispatches, Ends, Load, Second};
use crate::invariants::Broken;

/// Seconds in the worst span that is reported.
pub const WORST_SPAN: usize = 10;

/// Part of the credit asked for that was earned, and how much was asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub name: String,
    pub asked: f64,
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    /// Part of the credit asked for that was earned.
    pub credit: f64,
    /// The same in the worst ten seconds, by first tries.
    pub credit_worst_span: f64,
    pub credit_worst_category: f64,
    pub first_tries: u64,
    pub envelopes: u64,
    pub categories: Vec<Part>,
    pub programs: Vec<Part>,
    /// The destinations that lost most credit, the worst first.
    pub destinations: Vec<Part>,
    pub ends: Ends,
    pub dispatches: Dispatches,
    /// Milliseconds from a first try to its completion.
    pub latency_ms: Latency,
    pub dispatches_per_try: f64,
    pub refusals_per_try: f64,
    /// Part of the work done by destinations that completed nothing.
    pub work_wasted: f64,
    /// Mean part of all slots in use while messages arrive.
    pub slots_used: f64,
    pub new_connections_per_try: f64,
    /// Effects applied again where a category allows that.
    pub repeats_applied: u64,
    pub falls: u64,
    pub rules_broken: usize,
    /// The first of them in full.
    pub broken: Vec<Broken>,
    pub seconds: Vec<Second>,
    pub watched: Vec<Watched>,
    /// Upper end of each step in milliseconds, and its count.
    pub latency_steps: Vec<(u64, u64)>,
    /// First tries without an end; one would be a fault of the simulation.
    pub unfinished: usize,
    /// Seconds that the run went on for, and events that it took.
    pub ran_s: f64,
    pub events: u64,
    pub turns: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub p50: u64,
    pub p90: u64,
    pub p99: u64,
    pub worst: u64,
}

/// A destination with much traffic, second by second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    pub destination: usize,
    pub kind: String,
    /// Calls a second that it takes at most by its limit; none: its capacity alone.
    pub limit: Option<f64>,
    pub seconds: Vec<Load>,
}

/// Six digits: beyond that no figure here means anything, and the last bits differ between platforms.
pub fn rounded(value: f64) -> f64 {
    if value.is_finite() {
        (value * 1e6).round() / 1e6
    } else {
        0.0
    }
}
