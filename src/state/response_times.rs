//! Response times over all destinations.

use std::time::Duration;

/// What all completed attempts have shown, for circuits without response times of their own.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// Running mean of all response times, in seconds.
    pub(crate) mean_latency: Option<f64>,
    /// The last completion.
    pub(crate) last_answer: Duration,
}
