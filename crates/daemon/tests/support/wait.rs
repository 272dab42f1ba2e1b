//! Waiting for an event of another thread or process.

use std::thread::sleep;
use std::time::{Duration, Instant};

const WAIT_LIMIT: Duration = Duration::from_secs(20);
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks again and again until `observe` returns something; fails the test after 20 s.
pub fn wait_for<T>(what: &str, mut observe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(observed) = observe() {
            return observed;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "never seen: {what}");
        sleep(POLL_INTERVAL);
    }
}
