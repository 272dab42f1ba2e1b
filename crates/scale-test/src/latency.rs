//! Latency histograms and their summaries.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that a histogram can record, in microseconds (one hour). Longer ones are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DECIMAL_DIGITS: u8 = 3;

/// A histogram of latencies from 1 µs to [`MAX_LATENCY_US`].
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DECIMAL_DIGITS);
        LatencyHistogram(
            histogram.unwrap_or_else(|_| unreachable!("the histogram bounds are valid constants")),
        )
    }
}

impl LatencyHistogram {
    /// Records one latency; latencies below 1 µs count as 1 µs.
    pub(crate) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the count, the quantiles and the maximum of the recorded latencies.
    pub(crate) fn summary(&self) -> LatencySummary {
        let ms = |micros: u64| micros as f64 / 1e3;
        LatencySummary {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p99_ms: ms(self.0.value_at_quantile(0.99)),
            max_ms: ms(self.0.max()),
        }
    }
}

/// The summary of a latency histogram that results contain.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// The number of recorded latencies.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The maximum, in milliseconds.
    #[serde(rename = "worst_ms")]
    pub max_ms: f64,
}
