//! Notices that wait until the platform acknowledges them.

use serde_json::json;

use crate::deployment::{Deployment, SMALLEST_MEMORY_LIMIT_MB};
use crate::forwarder::ForwarderProcess;
use crate::platform::{NoticeResponse, Platform};

/// The number of messages that are submitted at most.
const MAX_MESSAGES: u64 = 60_000;
/// The number of destinations, none of which has an endpoint.
const DESTINATIONS: u64 = 10;

/// Guards against notices that pile up without limit while the platform does not respond.
#[test]
fn unacknowledged_notices_stay_within_the_memory_for_messages() {
    let deployment = Deployment { disk_mb: 1_000, ..Deployment::new(SMALLEST_MEMORY_LIMIT_MB, 0) };
    let platform = Platform::new(NoticeResponse::Never);
    let empty_list = json!({"generation": 1, "reset": true, "instances": []});
    platform.publish(empty_list.to_string());
    let platform_address = platform.start();
    let forwarder = ForwarderProcess::start("notice-memory", |listen| {
        deployment.config(listen, platform_address, &empty_list)
    });
    let accepted = forwarder.submit_until_rejected(DESTINATIONS, "", MAX_MESSAGES);
    println!("{accepted} messages accepted");
    deployment.check_peak(forwarder.private_memory());
}
