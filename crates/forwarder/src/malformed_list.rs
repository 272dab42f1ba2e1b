//! How long a list that can't be read is left alone before it is asked for again. Decides alone, without I/O.

use std::time::Duration;

/// Bytes a second that lists which can't be read may cost on average.
pub const BYTES_A_SECOND: u64 = 16 * 1024;
/// A list that was mended is read so long after that at the latest, or half as long again by chance.
pub const LONGEST_REST: Duration = Duration::from_secs(1800);

/// A list that came and can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct MalformedList {
    /// Place and expectation, in one line.
    pub fault: String,
    /// Bytes that were read of its watch.
    pub bytes: u64,
}

impl MalformedList {
    /// How long to rest before a list is asked for again, by what this one cost: the next is as long, as a rule, and
    /// can't be read either. `drawn` is from 0 to 1 and keeps forwarders apart that read the same list together.
    pub fn rest(&self, drawn: f64) -> Duration {
        let rest = Duration::from_millis(self.bytes.saturating_mul(1000) / BYTES_A_SECOND);
        rest.min(LONGEST_REST).mul_f64(0.5 + drawn.clamp(0.0, 1.0))
    }
}
