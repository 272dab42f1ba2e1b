//! Keeps the policy's commands until the driver executes them.

use std::time::Duration;

use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost};

/// A command that the driver of a stream executes; other commands are ignored.
pub enum HostCommand {
    StartAttempt { message: MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts },
    CancelAttempt { message: MessageId, attempt: AttemptNumber },
    RejectMessage { message: MessageId },
    FailMessage { message: MessageId },
    SetTimer { after: Duration },
    WatchEndpointList,
}

/// Commands that have not been executed, in the order in which the policy gave them.
#[derive(Default)]
pub struct CommandLog(pub Vec<HostCommand>);

impl PolicyHost for CommandLog {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.0.push(HostCommand::StartAttempt { message: message.clone(), endpoint, timeouts });
    }
    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.0.push(HostCommand::CancelAttempt { message: message.clone(), attempt });
    }
    fn reject_message(&mut self, message: &MessageId, _: Option<Duration>) {
        self.0.push(HostCommand::RejectMessage { message: message.clone() });
    }
    fn fail_message(&mut self, message: &MessageId) {
        self.0.push(HostCommand::FailMessage { message: message.clone() });
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(HostCommand::SetTimer { after });
    }
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn watch_endpoint_list(&mut self, _: bool) {
        self.0.push(HostCommand::WatchEndpointList);
    }
    fn fetch_endpoint_list(&mut self) {}
    fn report_event(&mut self, _: &PolicyEvent) {}
}
