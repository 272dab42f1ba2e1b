//! Limits the rate of log lines that repeat during a fault.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two lines of one throttle.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Admits one line in an interval, and counts those that it suppresses.
#[derive(Default)]
pub struct LogThrottle {
    last: Option<Instant>,
    suppressed: u32,
}

impl LogThrottle {
    /// Returns whether a line may be logged now: `Some` with the number of lines suppressed since the last one, or
    /// `None`.
    pub fn admit(&mut self) -> Option<u32> {
        if self.last.is_some_and(|last| last.elapsed() < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
