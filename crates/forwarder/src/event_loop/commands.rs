//! Collects the commands of the delivery policy, and separates them by type for the event loop.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptTimeouts, CircuitScope, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost,
};
use reeddock_protocol::{DeliveryNotice, FinalAnswer, OutgoingMessage};
use tracing::field::{self, DebugValue};

enum Command {
    StartAttempt(AttemptCommand),
    Cancel(AttemptKey),
    GiveFinalAnswer(DeliveryNotice),
    /// Sets a timer. The value is its delay after the run of the policy's due work that issues the command.
    SetTimer(Duration),
}

/// The command to start the next attempt of a message.
pub(super) struct AttemptCommand {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub timeouts: AttemptTimeouts,
}

/// Identifies one attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub message: MessageId,
    pub number: AttemptNumber,
}

/// A numbered attempt that is ready to start.
pub(super) struct OutgoingAttempt {
    pub message: OutgoingMessage,
    pub number: AttemptNumber,
    pub endpoint: EndpointId,
    pub timeouts: AttemptTimeouts,
}

/// The host of the policy, which stores commands until the event loop takes them.
#[derive(Default)]
pub(super) struct CommandBuffer {
    commands: Vec<Command>,
}

/// The policy's commands, separated by type. Commands of one type are in the order in which the policy issued
/// them.
#[derive(Default)]
pub(super) struct CommandBatch {
    /// The delay of each new timer after the run of the policy's due work that issued these commands.
    pub timers: Vec<Duration>,
    pub attempts: Vec<AttemptCommand>,
    pub cancellations: Vec<AttemptKey>,
    pub final_answers: Vec<DeliveryNotice>,
}

impl CommandBuffer {
    /// Takes the commands that the policy issued since the last call.
    pub(super) fn take(&mut self) -> CommandBatch {
        let mut batch = CommandBatch::default();
        for command in self.commands.drain(..) {
            match command {
                Command::StartAttempt(attempt) => batch.attempts.push(attempt),
                Command::Cancel(attempt) => batch.cancellations.push(attempt),
                Command::GiveFinalAnswer(answer) => batch.final_answers.push(answer),
                Command::SetTimer(after) => batch.timers.push(after),
            }
        }
        batch
    }

    fn give_final_answer(&mut self, message: &MessageId, answer: FinalAnswer) {
        self.commands.push(Command::GiveFinalAnswer(DeliveryNotice { id: message.clone(), answer }));
    }
}

/// The scope of a circuit as log fields. Only the field that is `Some` is logged.
struct CircuitFields {
    destination: Option<u64>,
    endpoint: Option<DebugValue<EndpointId>>,
}

impl From<CircuitScope> for CircuitFields {
    fn from(scope: CircuitScope) -> CircuitFields {
        match scope {
            CircuitScope::Destination(id) => CircuitFields { destination: Some(id.0), endpoint: None },
            CircuitScope::Endpoint(id) => {
                CircuitFields { destination: None, endpoint: Some(field::debug(id)) }
            }
        }
    }
}

impl PolicyHost for CommandBuffer {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let attempt = AttemptCommand { message: message.clone(), endpoint, timeouts };
        self.commands.push(Command::StartAttempt(attempt));
    }

    fn cancel_attempt(&mut self, message: &MessageId, number: AttemptNumber) {
        self.commands.push(Command::Cancel(AttemptKey { message: message.clone(), number }));
    }

    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.give_final_answer(message, FinalAnswer::Rejected { retry_after });
    }

    fn fail_message(&mut self, message: &MessageId) {
        self.give_final_answer(message, FinalAnswer::Failed);
    }

    fn set_timer(&mut self, after: Duration) {
        self.commands.push(Command::SetTimer(after));
    }

    // The remaining commands have no effect in this forwarder: endpoints have no health checks, forwarders do
    // not exchange gossip, and the watch on the endpoint list is always open.
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn watch_endpoint_list(&mut self, _: bool) {}
    fn fetch_endpoint_list(&mut self) {}

    fn report_event(&mut self, event: &PolicyEvent) {
        match *event {
            PolicyEvent::CircuitOpened { scope, outcome: after } => {
                let CircuitFields { destination, endpoint } = scope.into();
                tracing::info!(destination, endpoint, ?after, "circuit opened");
            }
            PolicyEvent::CircuitClosed { scope, outcome: after } => {
                let CircuitFields { destination, endpoint } = scope.into();
                tracing::info!(destination, endpoint, ?after, "circuit closed");
            }
        }
    }
}
