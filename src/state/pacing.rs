//! Minimum time between the requests of a circuit breaker.

use std::time::Duration;

/// Pacing of requests, which rejections slow down.
#[derive(Default)]
pub(crate) struct Pacing {
    /// Minimum time between two requests; 0 if requests are not paced.
    interval_seconds: f64,
    /// Time of the last rejection that increased the interval.
    last_widened_at: Duration,
    /// Time before which no request is sent, even if the interval has passed.
    postponed_until: Duration,
}

impl Pacing {
    /// Returns the minimum time between two requests; 0 if requests are not paced.
    pub(crate) fn interval_seconds(&self) -> f64 {
        self.interval_seconds
    }

    /// Returns the time of the last rejection that increased the interval.
    pub(crate) fn last_widened_at(&self) -> Duration {
        self.last_widened_at
    }

    /// Returns the time before which no request is sent, even if the interval has passed.
    pub(crate) fn postponed_until(&self) -> Duration {
        self.postponed_until
    }

    /// Sets the interval for any reason other than a rejection.
    pub(crate) fn set_interval_seconds(&mut self, interval_seconds: f64) {
        self.interval_seconds = interval_seconds;
    }

    /// Sets the interval that a rejection has increased.
    pub(crate) fn set_interval_after_rejection(&mut self, interval_seconds: f64, now: Duration) {
        self.interval_seconds = interval_seconds;
        self.last_widened_at = now;
    }

    /// Postpones the next request until the given time, which replaces the previous one.
    pub(crate) fn postpone(&mut self, until: Duration) {
        self.postponed_until = until;
    }
}
