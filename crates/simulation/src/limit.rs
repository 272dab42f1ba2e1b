//! What a destination or an endpoint accepts from all forwarders together: a token bucket, or a count in fixed windows.

use std::time::Duration;

/// Seconds of a token bucket's rate that may come at once.
const BURST_SECONDS: f64 = 0.5;
/// Windows or bursts that rejected requests can use up ahead.
const MAX_USED_UP_AHEAD: f64 = 2.0;

/// A limit on requests, and how much of it is used. Times are since the start of the run.
#[derive(Clone, Debug)]
pub enum RequestLimit {
    /// No limit.
    Open,
    /// Tokens are added at a steady rate, and each request takes one.
    TokenBucket(TokenBucket),
    /// Requests are counted in each window.
    FixedWindow(FixedWindow),
}

impl RequestLimit {
    /// A full token bucket of a rate in requests a second.
    pub fn token_bucket(per_s: f64) -> RequestLimit {
        let burst = (per_s * BURST_SECONDS).max(1.0);
        RequestLimit::TokenBucket(TokenBucket { per_s, burst, tokens: burst, refilled_at: Duration::ZERO })
    }

    /// Windows that pass a rate in requests a second in the long run.
    pub fn fixed_window(per_s: f64, window: Duration) -> RequestLimit {
        let count = (per_s * window.as_secs_f64()).round().max(1.0);
        RequestLimit::FixedWindow(FixedWindow { count, window, used: 0.0, started_at: Duration::ZERO })
    }

    /// Requests a second that pass in the long run; absent where there is no limit.
    pub fn per_s(&self) -> Option<f64> {
        match self {
            RequestLimit::Open => None,
            RequestLimit::TokenBucket(bucket) => Some(bucket.per_s),
            RequestLimit::FixedWindow(windows) => Some(windows.count / windows.window.as_secs_f64()),
        }
    }

    /// Requests that would pass now.
    pub fn available(&mut self, now: Duration) -> f64 {
        match self {
            RequestLimit::Open => f64::MAX,
            RequestLimit::TokenBucket(bucket) => bucket.available(now),
            RequestLimit::FixedWindow(windows) => windows.available(now),
        }
    }

    /// Lets a request pass.
    ///
    /// # Errors
    ///
    /// The time until one would pass again, where this one does not.
    pub fn admit(&mut self, now: Duration, rejected_use_up_limit: bool) -> Result<(), Duration> {
        match self {
            RequestLimit::Open => Ok(()),
            RequestLimit::TokenBucket(bucket) => bucket.admit(now, rejected_use_up_limit),
            RequestLimit::FixedWindow(windows) => windows.admit(now, rejected_use_up_limit),
        }
    }
}

/// Tokens that are added at a steady rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    per_s: f64,
    /// Tokens that it holds at most.
    burst: f64,
    /// Tokens that it holds; below zero where rejected requests used them up.
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
            self.tokens = (self.tokens - 1.0).max(-MAX_USED_UP_AHEAD * self.burst);
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
    }
}

/// A count of requests in each window.
#[derive(Clone, Debug)]
pub struct FixedWindow {
    /// Requests in each window.
    count: f64,
    /// Length of a window.
    window: Duration,
    /// Requests counted in this window; over `count` where rejected requests used up the next ones.
    used: f64,
    /// Start of this window.
    started_at: Duration,
}

impl FixedWindow {
    /// Moves on to the window of a time.
    fn advance_to(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.started_at).as_nanos() / self.window.as_nanos().max(1);
        if passed > 0 {
            self.started_at += self.window * u32::try_from(passed).unwrap_or(u32::MAX);
            // What was used up beyond one window counts in the next.
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
            self.used = (self.used + 1.0).min((1.0 + MAX_USED_UP_AHEAD) * self.count);
        }
        let full_windows = (self.used / self.count).floor().max(1.0);
        Err((self.started_at + self.window.mul_f64(full_windows)).saturating_sub(now))
    }
}
