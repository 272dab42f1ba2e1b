//! Configurations of the forwarder under test.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::configuration::{list_entry, message_class};

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// The smallest memory limit of a deployment, in MB.
pub const SMALLEST_MEMORY_LIMIT_MB: u64 = 32;
/// The memory limits of tests, in MB: the smallest and the largest of a deployment, and one between them.
pub const MEMORY_LIMITS_MB: [u64; 3] = [SMALLEST_MEMORY_LIMIT_MB, 64, 192];
/// The largest number of descriptors of a deployment.
pub const MAX_DESCRIPTORS: u64 = 1024;
/// The message class whose messages are sent at most once.
pub const AT_MOST_ONCE: &str = "booking";

/// The limits of a forwarder, and the destinations that its cached list or its platform names.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub disk_mb: u64,
    /// The number of destinations, from 0. Each has one endpoint.
    pub destinations: u64,
    /// The maximum number of messages in one request.
    pub batch_limit: u64,
}

impl Deployment {
    /// Returns a deployment whose requests carry one message each.
    pub fn new(memory_mb: u64, destinations: u64) -> Deployment {
        Deployment { memory_mb, descriptors: 512, disk_mb: 3, destinations, batch_limit: 1 }
    }

    /// Returns a deployment with the largest number of descriptors and one destination.
    pub fn with_most_descriptors(memory_mb: u64) -> Deployment {
        Deployment { descriptors: MAX_DESCRIPTORS, ..Deployment::new(memory_mb, 1) }
    }

    /// Checks that the forwarder stayed below half of its memory limit. `peak` is its highest private memory in
    /// bytes.
    pub fn check_peak(&self, peak: u64) {
        let (memory_mb, half) = (self.memory_mb, self.memory_bytes() / 2);
        println!("{peak} bytes of private memory at a limit of {memory_mb} MB");
        assert!(peak < half, "{peak} bytes of private memory, expected less than {half} of {memory_mb} MB");
    }

    /// Checks that the forwarder stayed below its memory limit. `memory` is its private memory in bytes.
    pub fn check_below_limit(&self, memory: u64) {
        let limit = self.memory_bytes();
        println!("{memory} bytes of private memory at a limit of {limit}");
        assert!(memory < limit, "{memory} bytes of private memory, expected less than {limit}");
    }

    fn memory_bytes(&self) -> u64 {
        self.memory_mb * BYTES_PER_MEGABYTE
    }

    /// Returns the full list of the deployment's endpoints, all at one address.
    pub fn endpoint_list(&self, generation: u64, endpoint: SocketAddr) -> Value {
        let names = (0..self.destinations).map(|number| (format!("t{number}"), number));
        let entries: Vec<_> = names.map(|(name, number)| list_entry(&name, endpoint, number)).collect();
        json!({"generation": generation, "reset": true, "instances": entries})
    }

    /// Returns the configuration of a forwarder with this cached list.
    pub fn config(&self, listen: SocketAddr, platform: SocketAddr, cached_list: &Value) -> Value {
        json!({
            "listen": listen.to_string(), "discovery": platform.to_string(), "seed": "1f",
            "limits": {"memory_mb": self.memory_mb, "sockets": self.descriptors, "disk_mb": self.disk_mb},
            "known": cached_list,
            "settings": {
                "balancers": 1, "az": "a", "kinds": ["partner"], "weights": "rough",
                "classes": [message_class(AT_MOST_ONCE, "at_most_once")],
                "familyInfo": {"maxCalls": 1024, "batchByKind": [self.batch_limit], "kindApart": [false]},
                "policyLimits": {
                    "attemptsCap": 12, "openCap": 1024, "mayDuplicate": false, "connIdleUs": 60_000_000,
                },
            },
        })
    }
}
