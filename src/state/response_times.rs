//! Response times over all destinations.

use std::time::Duration;

/// Response times of all completed attempts, used for circuit breakers without response times of their own.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// Running mean of all response times; `None` before the first completion.
    mean_latency_seconds: Option<f64>,
    last_completion: Duration,
}

impl ResponseTimes {
    /// Records a completed attempt and the running mean of response times that includes it.
    pub(crate) fn record_completion(&mut self, now: Duration, mean_latency_seconds: f64) {
        self.last_completion = now;
        self.mean_latency_seconds = Some(mean_latency_seconds);
    }

    /// Returns the running mean of all response times; `None` before the first completion.
    pub(crate) fn mean_latency_seconds(&self) -> Option<f64> {
        self.mean_latency_seconds
    }

    /// Returns the time of the last completion; zero before the first.
    pub(crate) fn last_completion(&self) -> Duration {
        self.last_completion
    }
}
