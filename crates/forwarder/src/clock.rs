//! The delivery policy's monotonic time, and its conversion to the wall-clock time of stored records.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The policy's time at the start of the process, above zero so that attempts from before the start have a
/// valid time.
const POLICY_TIME_AT_START: Duration = Duration::from_secs(24 * 3600);

/// Converts between the policy's time, the runtime's instants and stored wall-clock time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start of the process.
    unix_time_at_start: Duration,
}

impl Clock {
    /// Returns a clock whose process start is now.
    pub fn start() -> Clock {
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_time_at_start }
    }

    /// Returns the policy's current time.
    pub fn now(&self) -> Duration {
        self.time_at(Instant::now())
    }

    /// Returns the policy's time at an instant.
    pub fn time_at(&self, instant: Instant) -> Duration {
        POLICY_TIME_AT_START + instant.saturating_duration_since(self.start)
    }

    /// Returns the instant of a policy time, or the process start for an earlier time.
    pub fn instant_at(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(POLICY_TIME_AT_START)
    }

    /// Returns the next multiple of `interval` since the process start, or the current instant if `interval`
    /// is zero.
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

    /// Converts a policy time to its stored form, microseconds of Unix time.
    pub fn to_unix_micros(&self, at: Duration) -> u64 {
        let wall = (self.unix_time_at_start + at).saturating_sub(POLICY_TIME_AT_START);
        u64::try_from(wall.as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a stored time, in microseconds of Unix time, to the policy's time.
    pub fn from_unix_micros(&self, stored: u64) -> Duration {
        (Duration::from_micros(stored) + POLICY_TIME_AT_START).saturating_sub(self.unix_time_at_start)
    }
}
