//! The commands of the policy, kept for the driver to carry out.

use std::time::Duration;

use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost};

/// What the delivery policy asked for, for the driver to act upon.
pub enum HostCommand {
    StartAttempt(MessageId, EndpointId, AttemptTimeouts),
    Cancel(MessageId, AttemptNumber),
    Reject(MessageId),
    Fail(MessageId),
    SetTimer(Duration),
    Subscribe,
}

#[derive(Default)]
pub struct CommandLog(pub Vec<HostCommand>);

impl PolicyHost for CommandLog {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.0.push(HostCommand::StartAttempt(message.clone(), endpoint, timeouts));
    }
    fn cancel(&mut self, message: &MessageId, dispatch: AttemptNumber) {
        self.0.push(HostCommand::Cancel(message.clone(), dispatch));
    }
    fn reject(&mut self, message: &MessageId, _: Option<Duration>) {
        self.0.push(HostCommand::Reject(message.clone()));
    }
    fn fail(&mut self, message: &MessageId) {
        self.0.push(HostCommand::Fail(message.clone()));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(HostCommand::SetTimer(after));
    }
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {
        self.0.push(HostCommand::Subscribe);
    }
    fn fetch_endpoint_list(&mut self) {}
    fn report(&mut self, _: &PolicyEvent) {}
}
