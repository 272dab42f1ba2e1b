//! The commands of one delivery policy during one batch, encoded for the reply.

use std::time::Duration;

use base64::{engine::general_purpose::STANDARD, Engine};
use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost};
use serde_json::{json, Value};

/// Commands in the order in which they were given.
#[derive(Default)]
pub(crate) struct Commands(Vec<Value>);

impl Commands {
    /// The reply of an instance whose delivery policy panicked, in place of all commands.
    pub fn panicked(message: &str) -> Commands {
        Commands(vec![json!(["Panic", message])])
    }

    /// Drops all commands so far.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The commands as JSON arrays.
    pub fn into_values(self) -> Vec<Value> {
        self.0
    }
}

/// A time in whole microseconds, as on the wire.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl PolicyHost for Commands {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        // The wire reads 0 as no timeout, and a negative number as no time left.
        let timeout = match micros(timeouts.response_within) {
            0 => json!(-1),
            micros => json!(micros),
        };
        self.0.push(json!(["Try", &*message.0, timeout, endpoint.0]));
    }

    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.0.push(json!(["Revoke", &*message.0, attempt.0]));
    }

    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.0.push(json!(["Shed", &*message.0, retry_after.map(micros)]));
    }

    fn fail_message(&mut self, message: &MessageId) {
        self.0.push(json!(["RespondError", &*message.0]));
    }

    fn set_timer(&mut self, after: Duration) {
        self.0.push(json!(["Schedule", micros(after), "wake"]));
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
