//! The record of how far apart the requests to a circuit have to be.

use std::time::Duration;

/// What rejections have shown of how far apart requests have to be.
#[derive(Default)]
pub(crate) struct Pacing {
    /// Least seconds between two requests.
    interval: f64,
    /// The last time at which a rejection widened it.
    changed_at: Duration,
    /// No request before this time, though the interval has passed.
    put_off_until: Duration,
}

impl Pacing {
    /// Least seconds between two requests; 0 where they are not paced.
    pub(crate) fn interval(&self) -> f64 {
        self.interval
    }

    /// The last time at which a rejection widened the interval.
    pub(crate) fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// The time before which no request is sent, though the interval has passed.
    pub(crate) fn put_off_until(&self) -> Duration {
        self.put_off_until
    }

    /// Sets the interval, in seconds, for any reason but a rejection.
    pub(crate) fn set_interval(&mut self, interval: f64) {
        self.interval = interval;
    }

    /// Sets the interval, in seconds, that a rejection has widened.
    pub(crate) fn set_interval_after_rejection(&mut self, interval: f64, now: Duration) {
        self.interval = interval;
        self.changed_at = now;
    }

    /// Puts the next request off until this time, in place of what it was put off until.
    pub(crate) fn put_off(&mut self, until: Duration) {
        self.put_off_until = until;
    }
}
