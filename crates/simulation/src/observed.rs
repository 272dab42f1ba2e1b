//! Observations of a run that need the true state: the load of endpoints in slow start, and the
//! traffic to endpoints that were down. The [`Report`] does not contain these observations.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationIndex, EndpointIndex};
use crate::report::Report;

/// Cause of an outage of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// A fault of the scenario.
    Fault,
    /// An overload of the endpoint during its slow start after an earlier outage.
    Overload,
}

/// Load of an endpoint during its slow start after an outage, in the worst overload window. The worst window
/// has the largest ratio of `received_work` to `budget`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryLoad {
    /// Index of the endpoint among those of all destinations.
    #[serde(rename = "target")]
    pub endpoint: usize,
    /// Rank of the endpoint's destination by traffic, from 0.
    pub destination: usize,
    /// Messages a second for the destination at the baseline load, from all forwarders.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: f64,
    /// Whether the preceding outage was caused by an overload of the endpoint during an earlier slow start;
    /// `false` if a fault caused the outage.
    #[serde(rename = "after_a_fall")]
    pub after_overload: bool,
    /// Seconds from the recovery to the end of the worst window; 0 if the endpoint received nothing.
    pub after_s: f64,
    /// Work that reached the endpoint in the worst window, in requests of one message.
    #[serde(rename = "sum")]
    pub received_work: f64,
    /// Work that the settings allow in the window, in requests of one message, without the margin for random
    /// variation.
    #[serde(rename = "allowed")]
    pub allowed_work: f64,
    /// Work in the window above which the endpoint is overloaded, in requests of one message, see
    /// [`overload_budget`](crate::simulated_endpoint::overload_budget).
    pub budget: f64,
    /// Part of the received work that came from forwarders that had seen a failure in the outage, in requests
    /// of one message.
    #[serde(rename = "known")]
    pub informed_work: f64,
    /// Whether the received work overloaded the endpoint.
    #[serde(rename = "fell")]
    pub overloaded: bool,
}

impl RecoveryLoad {
    /// Returns the ratio of received work to budget; above 1 the endpoint is overloaded.
    pub fn ratio(&self) -> f64 {
        if self.budget > 0.0 {
            self.received_work / self.budget
        } else {
            0.0
        }
    }
}

/// Traffic of the whole fleet to destinations and endpoints that were down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutageTraffic {
    /// Number of messages that were submitted while all endpoints of their destination were down.
    #[serde(rename = "handed_in")]
    pub submitted: u64,
    /// Sum of the priority weights of the messages counted in `submitted`.
    #[serde(rename = "credit_asked")]
    pub credit_possible: f64,
    /// Priority weight earned by the messages counted in `submitted`.
    pub credit_earned: f64,
    /// Number of attempts that were sent to an endpoint while it was down.
    #[serde(rename = "dispatches")]
    pub attempts: u64,
    /// Number of connection attempts to endpoints that were down.
    pub connections: u64,
    /// Number of messages whose first attempt was sent to an endpoint that was down.
    #[serde(rename = "first_lost")]
    pub first_attempts_lost: u64,
    /// Number of messages counted in `first_attempts_lost` whose endpoint had already failed a request of any
    /// forwarder in the same outage.
    #[serde(rename = "first_lost_to_known")]
    pub first_attempts_lost_to_known_outage: u64,
    /// Time that endpoints were down, in seconds, summed over all endpoints.
    #[serde(rename = "target_seconds")]
    pub endpoint_seconds: f64,
}

/// Observations of a run that need the true state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observed {
    /// Loads after recoveries, one for each recovery of an endpoint.
    #[serde(rename = "ramps")]
    pub recovery_loads: Vec<RecoveryLoad>,
    /// Traffic to endpoints that were down.
    #[serde(rename = "down")]
    pub outage_traffic: OutageTraffic,
}

/// Results of a run together with its observations.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRun {
    /// Results of the run.
    pub report: Report,
    /// Observations that the report does not contain.
    pub observed: Observed,
}

/// Recovery of an endpoint, and the worst load of the endpoint since then.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// End of the outage, since the start of the run.
    pub(crate) at: Duration,
    cause: OutageCause,
    worst_load: Option<RecoveryLoad>,
}

impl Recovery {
    pub(crate) fn new(at: Duration, cause: OutageCause) -> Recovery {
        Recovery { at, cause, worst_load: None }
    }

    /// Returns whether a window with this received work and budget is worse than all earlier ones.
    pub(crate) fn is_worse(&self, received_work: f64, budget: f64) -> bool {
        self.worst_load.as_ref().is_none_or(|worst| received_work > worst.ratio() * budget)
    }

    pub(crate) fn set_worst_load(&mut self, load: RecoveryLoad) {
        self.worst_load = Some(load);
    }

    /// Returns the load in the worst window so far, or an empty load if nothing was received.
    pub(crate) fn worst_load(
        &self,
        endpoint: EndpointIndex,
        destination: DestinationIndex,
        baseline_per_s: f64,
    ) -> RecoveryLoad {
        let empty_load = RecoveryLoad {
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
        self.worst_load.clone().unwrap_or(empty_load)
    }
}
