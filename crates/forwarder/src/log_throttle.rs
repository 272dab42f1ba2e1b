//! Limits the rate of repeated log lines.

use std::time::Duration;

use tokio::time::Instant;

/// The minimum time between two lines of one throttle.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Admits one line per interval, and counts the suppressed ones.
#[derive(Default)]
pub struct LogThrottle {
    last: Option<Instant>,
    suppressed: u32,
}

impl LogThrottle {
    /// Returns the number of lines suppressed since the last admitted line, or `None` if no line may be
    /// logged now.
    pub fn admit(&mut self) -> Option<u32> {
        if self.last.is_some_and(|last| last.elapsed() < MIN_LINE_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
