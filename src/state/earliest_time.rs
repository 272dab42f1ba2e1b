//! The earliest time at which the policy has due work again.

use std::time::Duration;

/// Collects times and keeps the earliest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EarliestTime(Option<Duration>);

impl EarliestTime {
    /// Wakes at this time at the latest; no time changes nothing.
    pub(crate) fn include(&mut self, at: Option<Duration>) {
        if let Some(at) = at {
            self.0 = Some(self.0.map_or(at, |known| known.min(at)));
        }
    }

    /// The earliest time, if there is any.
    pub(crate) fn time(self) -> Option<Duration> {
        self.0
    }
}
