//! The record of how far apart the requests to a circuit have to be.

use std::time::Duration;

/// What rejections have shown of how far apart requests have to be.
#[derive(Default)]
pub(crate) struct Pacing {
    /// Least seconds between two requests.
    interval_seconds: f64,
    /// The last time at which a rejection widened it.
    widened_at: Duration,
    /// No request before this time, though the interval has passed.
    postponed_until: Duration,
}

impl Pacing {
    /// Least seconds between two requests; 0 where they are not paced.
    pub(crate) fn interval_seconds(&self) -> f64 {
        self.interval_seconds
    }

    /// The last time at which a rejection widened the interval.
    pub(crate) fn widened_at(&self) -> Duration {
        self.widened_at
    }

    /// The time before which no request is sent, though the interval has passed.
    pub(crate) fn postponed_until(&self) -> Duration {
        self.postponed_until
    }

    /// Sets the interval, in seconds, for any reason but a rejection.
    pub(crate) fn set_interval_seconds(&mut self, interval_seconds: f64) {
        self.interval_seconds = interval_seconds;
    }

    /// Sets the interval, in seconds, that a rejection has widened.
    pub(crate) fn set_interval_after_rejection(&mut self, interval_seconds: f64, now: Duration) {
        self.interval_seconds = interval_seconds;
        self.widened_at = now;
    }

    /// Puts the next request off until this time, in place of what it was put off until.
    pub(crate) fn postpone(&mut self, until: Duration) {
        self.postponed_until = until;
    }
}
