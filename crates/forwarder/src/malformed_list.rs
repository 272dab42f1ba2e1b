//! The backoff before a malformed endpoint list is requested again. Pure logic without I/O.

use std::time::Duration;

/// The maximum mean traffic that repeated requests of a malformed list may cause, in bytes per second.
pub const MAX_MEAN_BYTES_PER_SECOND: u64 = 16 * 1024;
/// The maximum mean backoff. Jitter extends a single backoff to at most 1.5 times this value.
pub const MAX_MEAN_BACKOFF: Duration = Duration::from_secs(1800);

/// A received list that can't be decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct MalformedList {
    /// The place of the fault and what was expected there, as one line of text.
    pub fault: String,
    /// The number of bytes of the watch that were read.
    pub bytes: u64,
}

impl MalformedList {
    /// Returns the time to wait before the list is requested again.
    ///
    /// The time is proportional to the bytes that were read, because the next list is likely to have the same
    /// size and fault. `jitter`, from 0 to 1, spreads forwarders that receive the same list at the same time.
    pub fn backoff(&self, jitter: f64) -> Duration {
        let mean = Duration::from_millis(self.bytes.saturating_mul(1000) / MAX_MEAN_BYTES_PER_SECOND);
        mean.min(MAX_MEAN_BACKOFF).mul_f64(0.5 + jitter.clamp(0.0, 1.0))
    }
}
