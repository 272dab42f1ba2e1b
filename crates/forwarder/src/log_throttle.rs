//! Keeps a log line that repeats while something is down from flooding the log.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two lines of one throttle.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Lets one line pass in an interval, and counts those that it suppresses.
#[derive(Default)]
pub struct LogThrottle {
    last: Option<Instant>,
    suppressed: u32,
}

impl LogThrottle {
    /// Asks for a line now: `Some` lets it pass, with the number of lines that were suppressed since the last one.
    pub fn admit(&mut self) -> Option<u32> {
        if self.last.is_some_and(|last| last.elapsed() < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
