//! Shared parts of the loopback tests: scripted servers, the forwarder under test, and how a test waits for events.

mod http;
mod requests;
mod stub_server;
mod test_bed;

use std::future::Future;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

pub use http::*;
pub use requests::*;
pub use stub_server::*;
pub use test_bed::*;

/// How long [`wait_for`] waits before it fails the test.
const WAIT_LIMIT: Duration = ms(20_000);
/// How often [`wait_for`] looks.
const POLL_INTERVAL: Duration = ms(5);
/// How long one test may take in all.
const TEST_LIMIT: Duration = ms(60_000);

/// A span of so many milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Looks again and again until `observe` returns something; fails the test after 20 s.
pub async fn wait_for<T>(what: &str, mut observe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(observed) = observe() {
            return observed;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "never seen: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Runs one test on a runtime of its own, on this thread; fails it after a minute.
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(TEST_LIMIT, test).await.expect("a test of a minute at most") });
}
