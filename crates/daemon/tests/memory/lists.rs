//! Endpoint lists of any size.

use std::net::SocketAddr;
use std::time::Instant;

use serde_json::Value;

use crate::configuration::list_entry;
use crate::deployment::{Deployment, SMALLEST_MEMORY_LIMIT_MB};
use crate::forwarder::ForwarderProcess;
use crate::health::health_check;
use crate::platform::{NoticeResponse, Platform};
use crate::wait::WAIT_TIMEOUT;

/// The length of each endpoint's name, in bytes.
const NAME_BYTES: usize = 8_000;
/// The number of endpoints, whose names alone are the whole memory of the smallest deployment.
const ENDPOINTS: u64 = 4_000;

/// Returns a full list whose generation precedes its entries, so that they are applied as they are received.
fn list_with_long_names(endpoint: SocketAddr) -> String {
    let padding = "n".repeat(NAME_BYTES);
    let names = (0..ENDPOINTS).map(|number| (format!("t{number}-{padding}"), number));
    let entries: Vec<_> = names.map(|(name, number)| list_entry(&name, endpoint, number)).collect();
    format!(r#"{{"generation":2,"reset":true,"instances":{}}}"#, Value::from(entries))
}

/// Guards against a list whose entries outgrow the memory. It is refused, and what came before stays in use.
#[test]
fn list_that_exceeds_the_memory_is_refused() {
    let deployment = Deployment::new(SMALLEST_MEMORY_LIMIT_MB, 10);
    let platform = Platform::new(NoticeResponse::Acknowledge);
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    platform.publish(list_with_long_names(endpoint));
    let platform_address = platform.start();
    let cached_list = deployment.endpoint_list(1, endpoint);
    let forwarder = ForwarderProcess::start("list-memory", |listen| {
        deployment.config(listen, platform_address, &cached_list)
    });
    let start = Instant::now();
    while !health_check(forwarder.address).contains("can't be read") {
        deployment.check_below_limit(forwarder.private_memory());
        assert!(start.elapsed() < WAIT_TIMEOUT, "the list was not refused");
    }
    deployment.check_below_limit(forwarder.private_memory());
}
