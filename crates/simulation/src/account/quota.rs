//! Quotas of tenants, independent of the delivery policy's implementation.

use std::time::Duration;

/// Quota burst, in seconds of the quota.
const QUOTA_BURST_SECONDS: f64 = 2.0;

/// The remaining quota of a tenant as a token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuotaBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl QuotaBucket {
    /// Takes a token for a message; `quota_per_s` is in messages per second. Returns whether the message is
    /// within the quota.
    pub(super) fn take(&mut self, now: Duration, quota_per_s: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let filled = self.tokens + quota_per_s * elapsed;
        let burst = QUOTA_BURST_SECONDS * quota_per_s.max(1.0);
        let unused = self.refilled_at.is_zero() && self.tokens == 0.0;
        self.tokens = if unused { burst } else { filled.min(burst) };
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
