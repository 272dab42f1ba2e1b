//! Encoding of the commands that a delivery policy gives during one batch.

use std::time::Duration;

use base64::{engine::general_purpose::STANDARD, Engine};
use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost};
use serde_json::{json, Value};

/// The commands of a delivery policy in the order in which they were given, as JSON arrays.
#[derive(Default)]
pub(crate) struct Commands(Vec<Value>);

impl Commands {
    /// Returns the commands of an instance whose delivery policy panicked, which replace all earlier
    /// commands.
    pub fn panicked(message: &str) -> Commands {
        Commands(vec![json!(["Panic", message])])
    }

    /// Removes all commands given so far.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the commands as JSON arrays.
    pub fn into_values(self) -> Vec<Value> {
        self.0
    }
}

/// Converts a time to whole microseconds, the unit of the wire.
fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl PolicyHost for Commands {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        // On the wire, 0 means no timeout and a negative number means that no time is left.
        let timeout = match to_micros(timeouts.response_within) {
            0 => json!(-1),
            micros => json!(micros),
        };
        self.0.push(json!(["Try", &*message.0, timeout, endpoint.0]));
    }

    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.0.push(json!(["Revoke", &*message.0, attempt.0]));
    }

    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.0.push(json!(["Shed", &*message.0, retry_after.map(to_micros)]));
    }

    fn fail_message(&mut self, message: &MessageId) {
        self.0.push(json!(["RespondError", &*message.0]));
    }

    fn set_timer(&mut self, after: Duration) {
        self.0.push(json!(["Schedule", to_micros(after), "wake"]));
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.0.push(json!(["Ping", endpoint.0]));
    }

    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]) {
        let to = peer.map_or(json!("all"), |peer| json!(peer.0));
        self.0.push(json!(["WritePeer", to, STANDARD.encode(gossip)]));
    }

    fn watch_endpoint_list(&mut self, on: bool) {
        self.0.push(json!(["Tail", on]));
    }

    fn fetch_endpoint_list(&mut self) {
        self.0.push(json!(["Fetch"]));
    }

    fn report_event(&mut self, event: &PolicyEvent) {
        self.0.push(json!(["SayLog", event.to_string()]));
    }
}
