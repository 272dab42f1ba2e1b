//! Parts of configuration files.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Returns an entry of an endpoint list in the format of discovery.
pub fn list_entry(name: &str, address: SocketAddr, destination: u64) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "partner",
           "cell": destination, "lifecycle": "Ready", "weight": 50.0, "startedAtMs": 0})
}

/// Returns a message class with a latency objective of 2 s and a deadline of 20 s.
pub fn message_class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "effect": idempotency, "onTimeUs": 2_000_000, "giveUpUs": 20_000_000})
}
