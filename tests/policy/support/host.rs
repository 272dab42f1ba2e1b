//! A host that records the policy's commands.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::*;

/// A command of the policy, with messages given by name.
#[derive(Clone, Debug, PartialEq)]
pub enum HostCommand {
    StartAttempt(StartedAttempt),
    Cancel { message: String, attempt: AttemptNumber },
    Reject { message: String, retry_after: Option<Duration> },
    Fail { message: String },
    WatchEndpointList,
}

/// An attempt that the policy starts.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedAttempt {
    pub message: String,
    pub endpoint: EndpointId,
}

/// Returns the command that gives a message a failure as its final answer.
pub fn fail(message: &str) -> HostCommand {
    HostCommand::Fail { message: message.to_owned() }
}

/// Returns the command that rejects a message.
pub fn reject(message: &str, retry_after: Option<Duration>) -> HostCommand {
    HostCommand::Reject { message: message.to_owned(), retry_after }
}

/// Returns the messages to which these commands give a final answer without delivery.
pub fn finished(commands: &[HostCommand]) -> Vec<&str> {
    let message = |command| match command {
        &HostCommand::Reject { ref message, .. } | &HostCommand::Fail { ref message } => {
            Some(message.as_str())
        }
        _ => None,
    };
    commands.iter().filter_map(message).collect()
}

/// Records the commands of the policy and carries out none.
#[derive(Default)]
pub struct RecordingHost {
    /// Commands since a test last took them.
    pub commands: Vec<HostCommand>,
    /// Events that the policy has reported, oldest first.
    pub events: Vec<PolicyEvent>,
    /// Durations of all timers that were set.
    pub timers: Vec<Duration>,
    /// Timeouts of the last attempt of each message.
    pub timeouts: BTreeMap<String, AttemptTimeouts>,
}

impl PolicyHost for RecordingHost {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let message = message.0.to_string();
        self.timeouts.insert(message.clone(), timeouts);
        self.commands.push(HostCommand::StartAttempt(StartedAttempt { message, endpoint }));
    }
    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.commands.push(HostCommand::Cancel { message: message.0.to_string(), attempt });
    }
    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.commands.push(reject(&message.0, retry_after));
    }
    fn fail_message(&mut self, message: &MessageId) {
        self.commands.push(fail(&message.0));
    }
    fn set_timer(&mut self, after: Duration) {
        self.timers.push(after);
    }
    fn start_health_check(&mut self, _endpoint: EndpointId) {}
    fn send_gossip(&mut self, _peer: Option<PeerId>, _gossip: &[u8]) {}
    fn watch_endpoint_list(&mut self, _on: bool) {
        self.commands.push(HostCommand::WatchEndpointList);
    }
    fn fetch_endpoint_list(&mut self) {}
    fn report_event(&mut self, event: &PolicyEvent) {
        self.events.push(*event);
    }
}
