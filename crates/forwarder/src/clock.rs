//! The delivery policy's time, a span that only grows, and wall-clock time for what is stored.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The policy's time at the start of the process. It is not zero, as attempts from before the start have a time too.
const TIME_AT_START: Duration = Duration::from_secs(24 * 3600);

/// Converts between the policy's time, the runtime's instants and stored wall-clock time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start.
    wall_at_start: Duration,
}

impl Clock {
    /// Starts a clock now.
    pub fn start() -> Clock {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall_at_start }
    }

    /// The policy's time now.
    pub fn now(&self) -> Duration {
        self.at(Instant::now())
    }

    /// The policy's time at an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        TIME_AT_START + instant.saturating_duration_since(self.start)
    }

    /// The instant of a time of the policy; the start for any time before it.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(TIME_AT_START)
    }

    /// The next multiple of an interval since the start; now if the interval is zero.
    pub fn next_tick(&self, interval: Duration) -> Instant {
        let elapsed = self.start.elapsed();
        let into_interval = elapsed.as_nanos().checked_rem(interval.as_nanos()).unwrap_or_default();
        let remaining = if into_interval == 0 {
            Duration::ZERO
        } else {
            interval - Duration::from_nanos(into_interval as u64)
        };
        self.start + elapsed + remaining
    }

    /// Converts a time of the policy to stored form: microseconds of Unix time.
    pub fn to_unix_micros(&self, at: Duration) -> u64 {
        let wall = (self.wall_at_start + at).saturating_sub(TIME_AT_START);
        u64::try_from(wall.as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a stored time, in microseconds of Unix time, to the policy's time.
    pub fn from_unix_micros(&self, stored: u64) -> Duration {
        (Duration::from_micros(stored) + TIME_AT_START).saturating_sub(self.wall_at_start)
    }
}
