//! The backoff before a malformed endpoint list is requested again. Pure logic without I/O.

use std::time::Duration;

/// Malformed lists may cause this much traffic on average, in bytes per second.
pub const MAX_MEAN_BYTES_PER_SECOND: u64 = 16 * 1024;
/// The longest mean backoff. With jitter it is up to one and a half times as long.
pub const MAX_MEAN_BACKOFF: Duration = Duration::from_secs(1800);

/// A list that was received and can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct MalformedList {
    /// Where the fault is and what was expected there, in one line.
    pub fault: String,
    /// How many bytes of the watch were read.
    pub bytes: u64,
}

impl MalformedList {
    /// The time to wait before the list is requested again. It grows with the bytes of this one, as the next list is
    /// about as long and most likely malformed as well. `jitter`, from 0 to 1, spreads forwarders that read the same
    /// list at the same time.
    pub fn backoff(&self, jitter: f64) -> Duration {
        let mean = Duration::from_millis(self.bytes.saturating_mul(1000) / MAX_MEAN_BYTES_PER_SECOND);
        mean.min(MAX_MEAN_BACKOFF).mul_f64(0.5 + jitter.clamp(0.0, 1.0))
    }
}
