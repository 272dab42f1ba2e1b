//! What only the simulation can see of a run, kept beside the [`Report`](crate::Report) so that reports keep
//! their bytes: what cold endpoints were sent after each return, and what was sent to endpoints that were down.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::layout::{DestinationIndex, EndpointIndex};

/// What an endpoint was sent while it warmed up after an outage, in the worst window of the length that the
/// terms name: the one whose sum was largest against what may be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ramp {
    pub target: usize,
    pub destination: usize,
    /// Calls a second that the destination gets on a usual day, from all forwarders.
    pub usual_per_s: f64,
    /// Whether the outage was itself a fall of this cold endpoint.
    pub after_a_fall: bool,
    /// Seconds from the return to the end of the worst window.
    pub after_s: f64,
    /// Work that reached the endpoint in that window, in calls.
    pub sum: f64,
    /// What the terms allow in it, without what is left to chance: N.
    pub allowed: f64,
    /// What it falls over at: N + 2 * sqrt(N) + 2.
    pub budget: f64,
    /// Part of the sum that came from forwarders that had been told of the outage.
    pub known: f64,
    /// The endpoint fell over.
    pub fell: bool,
}

impl Ramp {
    /// The worst windowed sum against the budget; over 1 the endpoint falls.
    pub fn ratio(&self) -> f64 {
        if self.budget > 0.0 {
            self.sum / self.budget
        } else {
            0.0
        }
    }
}

/// What was sent to endpoints while they were down, over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SentToDown {
    /// Messages that were submitted while all endpoints of their destination were down.
    pub handed_in: u64,
    /// Credit asked for and earned by these.
    pub credit_asked: f64,
    pub credit_earned: f64,
    /// Dispatches that left for an endpoint that was down then.
    pub dispatches: u64,
    /// New connections that were asked for there.
    pub connections: u64,
    /// Messages whose first attempt was one of these.
    pub first_lost: u64,
    /// The same, where some forwarder had already been told of a failure in that outage.
    pub first_lost_to_known: u64,
    /// Seconds that an endpoint was down, summed over all endpoints.
    pub target_seconds: f64,
}

/// All that was observed in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observed {
    pub ramps: Vec<Ramp>,
    pub down: SentToDown,
}

/// An endpoint's return and what it was sent since, while the run goes on.
#[derive(Clone, Debug)]
pub(crate) struct Return {
    pub at: Duration,
    pub after_a_fall: bool,
    pub worst: Option<Ramp>,
}

impl Return {
    pub fn new(at: Duration, after_a_fall: bool) -> Return {
        Return { at, after_a_fall, worst: None }
    }

    /// Whether a window with this sum is worse than all before.
    pub fn is_worse(&self, sum: f64, budget: f64) -> bool {
        self.worst.as_ref().is_none_or(|worst| sum > worst.ratio() * budget)
    }

    pub fn ramp(&self, target: EndpointIndex, destination: DestinationIndex, usual_per_s: f64) -> Ramp {
        let nothing = Ramp {
            target: target.0,
            destination: destination.0,
            usual_per_s,
            after_a_fall: self.after_a_fall,
            after_s: 0.0,
            sum: 0.0,
            allowed: 0.0,
            budget: 0.0,
            known: 0.0,
            fell: false,
        };
        self.worst.clone().unwrap_or(nothing)
    }
}
