//! Request limits of destinations and endpoints over all forwarders: token bucket or fixed windows.

use std::time::Duration;

/// Burst size of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.5;
/// Maximum debt from rejected requests, in full windows or bursts. Limits how long rejected requests block a
/// destination.
const MAX_DEBT: f64 = 2.0;

/// A request limit and its current usage. Times are since the start of the run.
#[derive(Clone, Debug)]
pub enum RequestLimit {
    /// No limit.
    Unlimited,
    /// Tokens are added at a constant rate, and each request takes one.
    TokenBucket(TokenBucket),
    /// A maximum number of requests in each window of fixed length.
    FixedWindow(FixedWindow),
}

impl RequestLimit {
    /// Creates a full token bucket with a rate in requests a second.
    pub fn token_bucket(per_s: f64) -> RequestLimit {
        let burst = (per_s * BURST_SECONDS).max(1.0);
        RequestLimit::TokenBucket(TokenBucket { per_s, burst, tokens: burst, refilled_at: Duration::ZERO })
    }

    /// Creates fixed windows that admit `per_s` requests a second in the mean, one in a window at least.
    pub fn fixed_window(per_s: f64, window: Duration) -> RequestLimit {
        let count = (per_s * window.as_secs_f64()).round().max(1.0);
        RequestLimit::FixedWindow(FixedWindow {
            count,
            length: window,
            used: 0.0,
            started_at: Duration::ZERO,
        })
    }

    /// Returns the mean rate that the limit admits, in requests a second; `None` if there is no limit.
    pub fn per_s(&self) -> Option<f64> {
        match self {
            RequestLimit::Unlimited => None,
            RequestLimit::TokenBucket(bucket) => Some(bucket.per_s),
            RequestLimit::FixedWindow(window) => Some(window.count / window.length.as_secs_f64()),
        }
    }

    /// Returns the number of requests that would be admitted now; negative while rejected requests have left
    /// a debt.
    pub fn available(&mut self, now: Duration) -> f64 {
        match self {
            RequestLimit::Unlimited => f64::MAX,
            RequestLimit::TokenBucket(bucket) => bucket.available(now),
            RequestLimit::FixedWindow(window) => window.available(now),
        }
    }

    /// Admits a request if the limit allows it. With `rejected_use_up_limit`, rejected requests count against
    /// the limit too.
    ///
    /// # Errors
    ///
    /// If the limit is used up: the time until the next request would be admitted.
    pub fn admit(&mut self, now: Duration, rejected_use_up_limit: bool) -> Result<(), Duration> {
        match self {
            RequestLimit::Unlimited => Ok(()),
            RequestLimit::TokenBucket(bucket) => bucket.admit(now, rejected_use_up_limit),
            RequestLimit::FixedWindow(window) => window.admit(now, rejected_use_up_limit),
        }
    }
}

/// Usage of a token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Current number of tokens; negative while rejected requests have left a debt.
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.per_s * elapsed).min(self.burst);
        self.refilled_at = now;
    }

    fn available(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.tokens
    }

    fn admit(&mut self, now: Duration, rejected_use_up_limit: bool) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if rejected_use_up_limit {
            self.tokens = (self.tokens - 1.0).max(-MAX_DEBT * self.burst);
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
    }
}

/// Usage of a limit that counts requests in fixed windows.
#[derive(Clone, Debug)]
pub struct FixedWindow {
    /// Maximum number of requests in each window.
    count: f64,
    length: Duration,
    /// Requests counted in the current window; over `count` while rejected requests have left a debt.
    used: f64,
    /// Start of the current window.
    started_at: Duration,
}

impl FixedWindow {
    /// Moves to the window that contains `now`.
    fn advance_to(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.started_at).as_nanos() / self.length.as_nanos().max(1);
        if passed > 0 {
            self.started_at += self.length * u32::try_from(passed).unwrap_or(u32::MAX);
            // Debt from rejected requests carries over to the next windows.
            self.used = (self.used - self.count * passed as f64).max(0.0);
        }
    }

    fn available(&mut self, now: Duration) -> f64 {
        self.advance_to(now);
        self.count - self.used
    }

    fn admit(&mut self, now: Duration, rejected_use_up_limit: bool) -> Result<(), Duration> {
        self.advance_to(now);
        if self.used + 1.0 <= self.count {
            self.used += 1.0;
            return Ok(());
        }
        if rejected_use_up_limit {
            self.used = (self.used + 1.0).min((1.0 + MAX_DEBT) * self.count);
        }
        let full_windows = (self.used / self.count).floor().max(1.0);
        Err((self.started_at + self.length.mul_f64(full_windows)).saturating_sub(now))
    }
}
