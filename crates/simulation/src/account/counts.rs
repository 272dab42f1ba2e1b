//! Counters that are part of the report.

use serde::{Deserialize, Serialize};

/// Priority weight of submitted messages, and the part of it earned by completing them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Sum of the priority weights of all submitted messages.
    #[serde(rename = "asked")]
    pub possible: f64,
    /// Priority weight earned by completed messages; a message completed late earns only a part of its
    /// weight.
    pub earned: f64,
}

impl Credit {
    /// Returns the earned share, from 0 to 1; 1 if no message was submitted.
    pub fn share(self) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            1.0
        }
    }

    pub(super) fn add_possible(&mut self, weight: f64) {
        self.possible += weight;
    }

    pub(super) fn add_earned(&mut self, weight: f64) {
        self.earned += weight;
    }

    pub(super) fn add(&mut self, other: Credit) {
        self.add_possible(other.possible);
        self.add_earned(other.earned);
    }
}

/// Counters of one second of simulated time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Credit of messages that were first submitted in this second.
    pub credit: Credit,
    /// Number of attempts started.
    #[serde(rename = "dispatched")]
    pub started: u32,
    /// Number of messages completed.
    pub completed: u32,
    /// Number of attempts that endpoints rejected.
    #[serde(rename = "refused")]
    pub rejected_attempts: u32,
    /// Number of messages that forwarders rejected.
    #[serde(rename = "shed")]
    pub rejected_messages: u32,
    /// Number of messages that failed.
    #[serde(rename = "broken_off")]
    pub failed: u32,
}

/// Requests at one destination during one second of simulated time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DestinationLoad {
    /// Number of requests that arrived.
    #[serde(rename = "calls")]
    pub requests: u32,
    /// Number of requests that the destination rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Number of requests that the destination served.
    pub served: u32,
    /// Capacity at the start of the second, in requests per second.
    pub capacity: f64,
}

/// Numbers of messages by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageOutcomes {
    /// Submissions completed within the latency objective.
    pub completed_in_time: u64,
    /// Submissions completed after the latency objective.
    pub completed_late: u64,
    /// Messages rejected by a forwarder that had accepted them.
    #[serde(rename = "shed")]
    pub rejected: u64,
    /// Messages that their forwarder answered as failed.
    #[serde(rename = "broken_off")]
    pub failed: u64,
    /// Messages withdrawn by their clients.
    pub withdrawn: u64,
    /// Submissions not accepted because the forwarder had no capacity left or no forwarder was running.
    #[serde(rename = "turned_away")]
    pub not_accepted: u64,
    /// Messages lost with a killed forwarder and not submitted again.
    pub lost: u64,
}

/// Numbers of attempts by outcome, as reported to the forwarders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All attempts started.
    pub all: u64,
    /// Requests that contained the attempts.
    #[serde(rename = "calls")]
    pub requests: u64,
    /// Attempts with the outcome `completed`.
    pub completed: u64,
    /// Attempts to which the endpoint responded with an error.
    pub errors: u64,
    /// Attempts that the endpoint rejected.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Attempts without a response within the timeout.
    pub timed_out: u64,
    /// Attempts for which no connection could be made.
    pub no_connection: u64,
    /// Attempts whose connection was reset.
    #[serde(rename = "broken")]
    pub connection_reset: u64,
    /// Attempts that the forwarder cancelled.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Attempts that were not sent.
    #[serde(rename = "unsent")]
    pub not_sent: u64,
}

/// One bucket of a latency histogram. The JSON form is a pair of upper bound and count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// Inclusive upper bound of the bucket, in milliseconds.
    pub up_to_ms: u64,
    /// Number of completed messages with a latency in this bucket.
    pub count: u64,
}

impl From<(u64, u64)> for LatencyBucket {
    fn from((up_to_ms, count): (u64, u64)) -> LatencyBucket {
        LatencyBucket { up_to_ms, count }
    }
}

impl From<LatencyBucket> for (u64, u64) {
    fn from(bucket: LatencyBucket) -> (u64, u64) {
        (bucket.up_to_ms, bucket.count)
    }
}
