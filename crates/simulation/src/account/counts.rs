//! Counts that a report shows as they are.

use serde::{Deserialize, Serialize};

/// Priority weight asked for and earned: what the operators call credit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Priority weight of all messages.
    pub asked: f64,
    /// Priority weight that was earned by completing them.
    pub earned: f64,
}

impl Credit {
    /// Part of what was asked for that was earned; all of it where nothing was asked for.
    pub fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }

    pub(super) fn ask(&mut self, weight: f64) {
        self.asked += weight;
    }

    pub(super) fn earn(&mut self, weight: f64) {
        self.earned += weight;
    }

    pub(super) fn add(&mut self, other: Credit) {
        self.ask(other.asked);
        self.earn(other.earned);
    }
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Credit of the messages that were first submitted in this second.
    pub credit: Credit,
    /// Attempts started.
    #[serde(rename = "dispatched")]
    pub started: u32,
    /// Messages completed.
    pub completed: u32,
    /// Attempts that endpoints rejected.
    #[serde(rename = "refused")]
    pub rejected_attempts: u32,
    /// Messages that forwarders rejected.
    #[serde(rename = "shed")]
    pub rejected_messages: u32,
    /// Messages that failed.
    #[serde(rename = "broken_off")]
    pub failed: u32,
}

/// The requests at one destination in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DestinationLoad {
    /// Requests that arrived.
    #[serde(rename = "calls")]
    pub requests: u32,
    /// Requests that it rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Requests that it served.
    pub served: u32,
    /// Requests a second that it could serve when that second began.
    pub capacity: f64,
}

/// How messages ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageOutcomes {
    /// Completed within their latency objective.
    pub completed_in_time: u64,
    /// Completed after it.
    pub completed_late: u64,
    /// Rejected by a forwarder that had accepted them.
    #[serde(rename = "shed")]
    pub rejected: u64,
    /// Failed.
    #[serde(rename = "broken_off")]
    pub failed: u64,
    /// Withdrawn by their clients.
    pub withdrawn: u64,
    /// Not accepted: the forwarder's capacity was used up, or none was running.
    #[serde(rename = "turned_away")]
    pub not_accepted: u64,
    /// With a forwarder that was killed.
    pub lost: u64,
}

/// How attempts ended, as reported to the forwarders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Attempts in all.
    pub all: u64,
    /// Requests that carried them.
    #[serde(rename = "calls")]
    pub requests: u64,
    /// Completed.
    pub completed: u64,
    /// Answered with an error.
    pub errors: u64,
    /// Rejected by the endpoint.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// No connection was made.
    pub no_connection: u64,
    /// The connection was reset.
    #[serde(rename = "broken")]
    pub connection_reset: u64,
    /// Cancelled by the forwarder.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Never sent.
    #[serde(rename = "unsent")]
    pub not_sent: u64,
}

/// One step of a histogram of latencies; in JSON a pair of its end and its count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyStep {
    /// Upper end of the step, in milliseconds.
    pub up_to_ms: u64,
    /// Messages that completed with a latency in this step.
    pub count: u64,
}

impl From<(u64, u64)> for LatencyStep {
    fn from((up_to_ms, count): (u64, u64)) -> LatencyStep {
        LatencyStep { up_to_ms, count }
    }
}

impl From<LatencyStep> for (u64, u64) {
    fn from(step: LatencyStep) -> (u64, u64) {
        (step.up_to_ms, step.count)
    }
}
