//! Log lines that would come in floods when something is down: one in a while, with how many it stands for.

use std::time::Duration;

use tokio::time::Instant;

const APART: Duration = Duration::from_secs(5);

#[derive(Default)]
pub struct LogThrottle {
    last: Option<Instant>,
    unsaid: u32,
}

impl LogThrottle {
    /// Whether to write a line now; if so, how many were left out since the last.
    pub fn now(&mut self) -> Option<u32> {
        if self.last.is_some_and(|last| last.elapsed() < APART) {
            self.unsaid += 1;
            return None;
        }
        self.last = Some(Instant::now());
        Some(std::mem::take(&mut self.unsaid))
    }
}
