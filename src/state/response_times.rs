//! Response times over all destinations.

use std::time::Duration;

/// What all completed attempts have shown, for circuits without response times of their own.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// Running mean of all response times, in seconds.
    mean_latency_seconds: Option<f64>,
    last_completion: Duration,
}

impl ResponseTimes {
    /// An attempt was completed; `mean_latency_seconds` is the running mean with this one, in seconds.
    pub(crate) fn record_completion(&mut self, now: Duration, mean_latency_seconds: f64) {
        self.last_completion = now;
        self.mean_latency_seconds = Some(mean_latency_seconds);
    }

    /// Running mean of all response times, in seconds; none before the first completion.
    pub(crate) fn mean_latency_seconds(&self) -> Option<f64> {
        self.mean_latency_seconds
    }

    /// When the last attempt was completed; zero if none was.
    pub(crate) fn last_completion(&self) -> Duration {
        self.last_completion
    }
}
