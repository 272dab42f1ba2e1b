//! What only the simulation can see of a run, kept beside the [`Report`] so that reports keep
//! their bytes: what cold endpoints were sent after each recovery, and what was sent to endpoints that were down.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationIndex, EndpointIndex};
use crate::report::Report;

/// Why an endpoint was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// A fault of the scenario.
    Fault,
    /// It was overloaded while it was cold after an earlier outage.
    Overload,
}

/// What an endpoint was sent while it warmed up after an outage, in the worst window of the length that the
/// settings name: the one whose sum was largest against what may be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryLoad {
    /// Index of the endpoint.
    #[serde(rename = "target")]
    pub endpoint: usize,
    /// Rank of its destination.
    pub destination: usize,
    /// Messages a second for the destination on a usual day, from all forwarders.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: f64,
    /// Whether the outage was itself an overload of this endpoint while it was cold.
    #[serde(rename = "after_a_fall")]
    pub after_overload: bool,
    /// Seconds from the recovery to the end of the worst window.
    pub after_s: f64,
    /// Work that reached the endpoint in that window, in requests of one message.
    #[serde(rename = "sum")]
    pub received_work: f64,
    /// What the settings allow in it, without what is left to chance: N.
    #[serde(rename = "allowed")]
    pub allowed_work: f64,
    /// What overloads it: N + 2 * sqrt(N) + 2.
    pub budget: f64,
    /// Part of the sum that came from forwarders that had seen the outage.
    #[serde(rename = "known")]
    pub informed_work: f64,
    /// The endpoint was overloaded.
    #[serde(rename = "fell")]
    pub overloaded: bool,
}

impl RecoveryLoad {
    /// The worst window's sum against the budget; over 1 the endpoint is overloaded.
    pub fn ratio(&self) -> f64 {
        if self.budget > 0.0 {
            self.received_work / self.budget
        } else {
            0.0
        }
    }
}

/// What was sent to endpoints while they were down, over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutageTraffic {
    /// Messages that were submitted while all endpoints of their destination were down.
    #[serde(rename = "handed_in")]
    pub submitted: u64,
    /// Priority weight of these.
    pub credit_asked: f64,
    /// Priority weight that these earned.
    pub credit_earned: f64,
    /// Attempts that left for an endpoint that was down then.
    #[serde(rename = "dispatches")]
    pub attempts: u64,
    /// New connections that were asked for there.
    pub connections: u64,
    /// Messages whose first attempt was one of these.
    #[serde(rename = "first_lost")]
    pub first_attempts_lost: u64,
    /// The same, where some forwarder had already seen a failure in that outage.
    #[serde(rename = "first_lost_to_known")]
    pub first_attempts_lost_to_known_outage: u64,
    /// Seconds that an endpoint was down, summed over all endpoints.
    #[serde(rename = "target_seconds")]
    pub endpoint_seconds: f64,
}

/// All that was observed in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observed {
    /// One for each recovery of an endpoint.
    #[serde(rename = "ramps")]
    pub recovery_loads: Vec<RecoveryLoad>,
    /// What was sent to endpoints that were down.
    #[serde(rename = "down")]
    pub outage_traffic: OutageTraffic,
}

/// A run, with what only the simulation can see of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRun {
    /// Its results.
    pub report: Report,
    /// What was observed beside them.
    pub observed: Observed,
}

/// An endpoint's recovery and what it was sent since, while the run goes on.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// End of the outage, since the start of the run.
    pub(crate) at: Duration,
    cause: OutageCause,
    worst: Option<RecoveryLoad>,
}

impl Recovery {
    pub(crate) fn new(at: Duration, cause: OutageCause) -> Recovery {
        Recovery { at, cause, worst: None }
    }

    /// Whether a window with this sum is worse than all before.
    pub(crate) fn is_worse(&self, sum: f64, budget: f64) -> bool {
        self.worst.as_ref().is_none_or(|worst| sum > worst.ratio() * budget)
    }

    /// Keeps the worst window so far.
    pub(crate) fn set_worst_load(&mut self, ramp: RecoveryLoad) {
        self.worst = Some(ramp);
    }

    /// The worst window so far, or one in which nothing was sent.
    pub(crate) fn worst_load(
        &self,
        endpoint: EndpointIndex,
        destination: DestinationIndex,
        baseline_per_s: f64,
    ) -> RecoveryLoad {
        let nothing_sent = RecoveryLoad {
            endpoint: endpoint.0,
            destination: destination.0,
            baseline_per_s,
            after_overload: self.cause == OutageCause::Overload,
            after_s: 0.0,
            received_work: 0.0,
            allowed_work: 0.0,
            budget: 0.0,
            informed_work: 0.0,
            overloaded: false,
        };
        self.worst.clone().unwrap_or(nothing_sent)
    }
}
