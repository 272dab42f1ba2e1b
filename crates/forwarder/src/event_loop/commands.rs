//! What the delivery policy asks for in its turn, gathered and sorted for who carries it out.

use std::time::Duration;

use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyHost};
use reeddock_protocol::{ClientResponse, DeliveryNotice, FinalAnswer, OutgoingMessage};
use reeddock_wal::Record;

use super::State;

/// What the delivery policy asked for, in its order.
enum Command {
    Attempt(MessageId, EndpointId, AttemptTimeouts),
    CallOff(MessageId, AttemptNumber),
    End(MessageId, FinalAnswer),
}

#[derive(Default)]
pub(super) struct CommandBuffer {
    asked: Vec<Command>,
    pub(super) wakes: Vec<Duration>,
}

impl PolicyHost for CommandBuffer {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        self.asked.push(Command::Attempt(message.clone(), endpoint, spans));
    }

    fn cancel(&mut self, message: &MessageId, dispatch: AttemptNumber) {
        self.asked.push(Command::CallOff(message.clone(), dispatch));
    }

    fn reject(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.asked.push(Command::End(message.clone(), FinalAnswer::Rejected { retry_after }));
    }

    fn fail(&mut self, message: &MessageId) {
        self.asked.push(Command::End(message.clone(), FinalAnswer::Failed));
    }

    fn set_timer(&mut self, after: Duration) {
        self.wakes.push(after);
    }

    // Nothing on sockets stands behind these: endpoints may not be probed, forwarders share nothing, and the
    // watch on the list is always open.
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_endpoint_list(&mut self) {}

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

/// What one turn of the delivery policy comes down to.
#[derive(Default)]
pub(super) struct CommandBatch {
    pub going: Vec<(MessageId, EndpointId, AttemptTimeouts)>,
    pub cancelled: Vec<(MessageId, AttemptNumber)>,
    pub notices: Vec<DeliveryNotice>,
}

/// An attempt that has its number and is about to go.
pub(super) struct OutgoingAttempt {
    pub message: OutgoingMessage,
    pub no: AttemptNumber,
    pub endpoint: EndpointId,
    pub spans: AttemptTimeouts,
}

impl State {
    /// Sorts what the delivery policy asked for. What was submitted since the last turn and is over again is answered
    /// here, as nothing of it was written down.
    pub(super) fn command_batch(&mut self) -> CommandBatch {
        let mut command_batch = CommandBatch::default();
        for asked in std::mem::take(&mut self.commands.asked) {
            match asked {
                Command::Attempt(id, endpoint, spans) => command_batch.going.push((id, endpoint, spans)),
                Command::CallOff(id, no) => command_batch.cancelled.push((id, no)),
                Command::End(id, end) => {
                    if let Some(at) = self.new_submissions.iter().position(|f| f.id == id) {
                        let _ = self.new_submissions.remove(at).reply.send(match end {
                            FinalAnswer::Rejected { retry_after } => ClientResponse::Rejected(retry_after),
                            FinalAnswer::Failed => ClientResponse::Failed,
                        });
                    } else if self.forget(&id) {
                        tracing::debug!(id = &*id.0, ?end, "given up");
                        self.records.push(Record::Finished { id: id.0.to_string(), notice: Some(end) });
                        command_batch.notices.push(DeliveryNotice { id, end });
                    }
                }
            }
        }
        command_batch
    }

    /// Attempts of a message are numbered in the order in which the delivery policy asked for them.
    pub(super) fn numbered(
        &mut self,
        going: Vec<(MessageId, EndpointId, AttemptTimeouts)>,
    ) -> Vec<OutgoingAttempt> {
        let mut outgoing = Vec::new();
        for (id, endpoint, spans) in going {
            let Some(pending) = self.pending.get_mut(&id) else { continue };
            let no = AttemptNumber(pending.attempts);
            pending.attempts += 1;
            tracing::debug!(id = &*id.0, no = no.0, ?endpoint, ?spans, "a dispatch begins");
            let (body, idempotency_key) = (pending.body.clone(), pending.idempotency_key.clone());
            outgoing.push(OutgoingAttempt {
                message: OutgoingMessage { id, idempotency_key, body },
                no,
                endpoint,
                spans,
            });
        }
        outgoing
    }
}
