//! Token buckets that limit tenants to their quotas.

use std::time::Duration;

/// Token bucket of a tenant; one token allows one message.
struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

/// Token buckets of all tenants with a quota, in the order of the settings.
pub(crate) struct TenantTokenBuckets(Vec<TokenBucket>);

impl TenantTokenBuckets {
    /// Returns empty buckets for the given number of tenants.
    pub(crate) fn new(tenants: usize, now: Duration) -> TenantTokenBuckets {
        let empty = || TokenBucket { tokens: 0.0, refilled_at: now };
        TenantTokenBuckets(std::iter::repeat_with(empty).take(tenants).collect())
    }

    /// Refills a tenant's bucket at `tokens_per_second` up to `max_tokens`, and takes one token. Returns
    /// whether a token was available.
    pub(crate) fn try_take_token(
        &mut self,
        tenant: usize,
        tokens_per_second: f64,
        max_tokens: f64,
        now: Duration,
    ) -> bool {
        let bucket = &mut self.0[tenant];
        let elapsed_seconds = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + tokens_per_second * elapsed_seconds).min(max_tokens);
        bucket.refilled_at = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }
}
