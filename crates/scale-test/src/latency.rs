//! Distributions of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest latency that a histogram distinguishes, in microseconds: an hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A distribution of latencies.
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        LatencyHistogram(histogram.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")))
    }
}

impl LatencyHistogram {
    /// Adds one latency.
    pub(crate) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.max(1));
    }

    /// The figures that results show of the distribution.
    pub(crate) fn summary(&self) -> LatencySummary {
        let ms = |micros: u64| micros as f64 / 1e3;
        LatencySummary {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p99_ms: ms(self.0.value_at_quantile(0.99)),
            worst_ms: ms(self.0.max()),
        }
    }
}

/// What results show of a distribution of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// The number of latencies.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub worst_ms: f64,
}
