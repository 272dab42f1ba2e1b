//! Time as the delivery policy knows it, a span that only grows; and wall-clock time, for what is stored or told.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// What was sent before this start has a time too, which is why spans do not begin at nothing.
const BEFORE: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start.
    wall: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall }
    }

    pub fn now(&self) -> Duration {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Duration {
        BEFORE + instant.saturating_duration_since(self.start)
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(BEFORE)
    }

    /// The next moment of a grid this wide; at once where it has no width.
    pub fn next(&self, width: Duration) -> Instant {
        let passed = self.start.elapsed();
        let finished = passed.as_nanos().checked_rem(width.as_nanos()).unwrap_or_default();
        let left = if finished == 0 { Duration::ZERO } else { width - Duration::from_nanos(finished as u64) };
        self.start + passed + left
    }

    /// Microseconds of Unix time.
    pub fn stored(&self, at: Duration) -> u64 {
        u64::try_from((self.wall + at).saturating_sub(BEFORE).as_micros()).unwrap_or(u64::MAX)
    }

    pub fn read(&self, stored: u64) -> Duration {
        (Duration::from_micros(stored) + BEFORE).saturating_sub(self.wall)
    }
}
