//! Waits for events of other threads or processes.

use std::thread::sleep;
use std::time::{Duration, Instant};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `observe` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(event: &str, mut observe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(observed) = observe() {
            return observed;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {event}");
        sleep(POLL_INTERVAL);
    }
}
