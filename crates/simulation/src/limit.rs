//! What a destination accepts from all forwarders together: a token bucket, or a count in fixed windows.

use std::time::Duration;

/// Seconds of a token bucket's rate that may come at once.
const BURST_SECONDS: f64 = 0.5;
/// Rejected requests can use up so many windows or bursts ahead, and no more.
const MAX_USED_UP_AHEAD: f64 = 2.0;

/// A limit on requests, and how much of it is used.
#[derive(Clone, Debug)]
pub enum RequestLimit {
    /// No limit.
    Open,
    /// Tokens are added at a steady rate.
    TokenBucket {
        /// Tokens a second.
        per_s: f64,
        /// Tokens that it holds at most.
        burst: f64,
        /// Tokens that it holds; below zero where rejected requests used them up.
        tokens: f64,
        /// When tokens were last added, since the start of the run.
        refilled_at: Duration,
    },
    /// A count of requests in each window.
    FixedWindow {
        /// Requests in each window.
        count: f64,
        /// Length of a window.
        window: Duration,
        /// Requests counted in this window; over `count` where rejected requests used up the next ones.
        used: f64,
        /// Start of this window, since the start of the run.
        started_at: Duration,
    },
}

impl RequestLimit {
    /// A full token bucket of a rate in requests a second.
    pub fn token_bucket(per_s: f64) -> RequestLimit {
        let burst = (per_s * BURST_SECONDS).max(1.0);
        RequestLimit::TokenBucket { per_s, burst, tokens: burst, refilled_at: Duration::ZERO }
    }

    /// Windows that pass a rate in requests a second in the long run.
    pub fn fixed_window(per_s: f64, window: Duration) -> RequestLimit {
        let count = (per_s * window.as_secs_f64()).round().max(1.0);
        RequestLimit::FixedWindow { count, window, used: 0.0, started_at: Duration::ZERO }
    }

    /// Requests a second that pass in the long run; absent where there is no limit.
    pub fn per_s(&self) -> Option<f64> {
        match self {
            RequestLimit::Open => None,
            RequestLimit::TokenBucket { per_s, .. } => Some(*per_s),
            RequestLimit::FixedWindow { count, window, .. } => Some(count / window.as_secs_f64()),
        }
    }

    fn advance_to(&mut self, now: Duration) {
        match self {
            RequestLimit::Open => {}
            RequestLimit::TokenBucket { per_s, burst, tokens, refilled_at } => {
                let elapsed = now.saturating_sub(*refilled_at).as_secs_f64();
                *tokens = (*tokens + *per_s * elapsed).min(*burst);
                *refilled_at = now;
            }
            RequestLimit::FixedWindow { count, window, used, started_at } => {
                let windows = now.saturating_sub(*started_at).as_nanos() / window.as_nanos().max(1);
                if windows > 0 {
                    *started_at += *window * u32::try_from(windows).unwrap_or(u32::MAX);
                    // What was used up beyond one window counts in the next.
                    *used = (*used - *count * windows as f64).max(0.0);
                }
            }
        }
    }

    /// Requests that would pass now.
    pub fn available(&mut self, now: Duration) -> f64 {
        self.advance_to(now);
        match self {
            RequestLimit::Open => f64::MAX,
            RequestLimit::TokenBucket { tokens, .. } => *tokens,
            RequestLimit::FixedWindow { count, used, .. } => *count - *used,
        }
    }

    /// Lets a request pass.
    ///
    /// # Errors
    ///
    /// The time until one would pass again, where this one does not.
    pub fn admit(&mut self, now: Duration, rejected_use_up_limit: bool) -> Result<(), Duration> {
        self.advance_to(now);
        match self {
            RequestLimit::Open => Ok(()),
            RequestLimit::TokenBucket { per_s, tokens, burst, .. } => {
                if *tokens >= 1.0 {
                    *tokens -= 1.0;
                    return Ok(());
                }
                if rejected_use_up_limit {
                    *tokens = (*tokens - 1.0).max(-MAX_USED_UP_AHEAD * *burst);
                }
                Err(Duration::from_secs_f64((1.0 - *tokens) / *per_s))
            }
            RequestLimit::FixedWindow { count, window, used, started_at } => {
                if *used + 1.0 <= *count {
                    *used += 1.0;
                    return Ok(());
                }
                if rejected_use_up_limit {
                    *used = (*used + 1.0).min((1.0 + MAX_USED_UP_AHEAD) * *count);
                }
                let full_windows = (*used / *count).floor().max(1.0);
                Err((*started_at + window.mul_f64(full_windows)).saturating_sub(now))
            }
        }
    }
}
