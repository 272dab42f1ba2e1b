//! Response times over all destinations.

use std::time::Duration;

/// What all completed attempts have shown, for circuits without response times of their own.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// Running mean of all response times, in seconds.
    mean_latency: Option<f64>,
    last_completion: Duration,
}

impl ResponseTimes {
    /// An attempt was completed; `mean_latency` is the running mean with this one, in seconds.
    pub(crate) fn record_completion(&mut self, now: Duration, mean_latency: f64) {
        self.last_completion = now;
        self.mean_latency = Some(mean_latency);
    }

    /// Running mean of all response times, in seconds; none before the first completion.
    pub(crate) fn mean_latency(&self) -> Option<f64> {
        self.mean_latency
    }

    /// When the last attempt was completed; zero if none was.
    pub(crate) fn last_completion(&self) -> Duration {
        self.last_completion
    }
}
