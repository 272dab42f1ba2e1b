//! Shared parts of the loopback tests: stub servers, the forwarder under test, and helpers that wait for
//! events.

mod http;
mod manual_discovery;
mod requests;
mod stub_server;
mod surplus_endpoint;
mod test_bed;

use std::future::Future;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

pub use http::*;
pub use manual_discovery::*;
pub use requests::*;
pub use stub_server::*;
pub use surplus_endpoint::*;
pub use test_bed::*;

/// How long [`wait_for`] waits before it fails the test.
const WAIT_LIMIT: Duration = ms(20_000);
/// The interval between two checks of [`wait_for`].
const POLL_INTERVAL: Duration = ms(5);
/// The time limit for one test.
const TEST_LIMIT: Duration = ms(60_000);

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Calls `observe` repeatedly until it returns a value. Fails the test after 20 s.
pub async fn wait_for<T>(awaited: &str, mut observe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(observed) = observe() {
            return observed;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for {awaited}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Runs a test on its own single-threaded runtime. Fails the test after 60 s.
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(TEST_LIMIT, test).await.expect("test exceeded its time limit") });
}
