//! Minimum of several points in time.

use std::time::Duration;

/// Earliest of the times that were included; empty if there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EarliestTime(Option<Duration>);

impl EarliestTime {
    /// Lowers the earliest time to `at` if `at` is earlier; `None` is ignored.
    pub(crate) fn include(&mut self, at: Option<Duration>) {
        if let Some(at) = at {
            self.0 = Some(self.0.map_or(at, |earliest| earliest.min(at)));
        }
    }

    /// Returns the earliest time, or `None` if no time was included.
    pub(crate) fn time(self) -> Option<Duration> {
        self.0
    }
}
