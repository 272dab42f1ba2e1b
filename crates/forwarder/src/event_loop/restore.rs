//! Restores pending messages and unacknowledged notices from the write-ahead log at the start.

use std::sync::Arc;
use std::time::Duration;

use reeddock::{DestinationId, MessageId, NewMessage, OrderingKey, PreviousAttempt};
use reeddock_protocol::{DeliveryNotice, FinalAnswer};
use reeddock_wal::{AcceptedMessage, PendingMessage, Record};

use super::pending_messages::PendingEntry;
use super::EventLoop;

impl EventLoop {
    /// Passes the messages that are pending in the write-ahead log to the policy, in the order of their
    /// acceptance, and sends unacknowledged notices again.
    pub fn restore_pending(&mut self) {
        let now = self.clock.now();
        let index = self.log.index();
        let ids: Vec<MessageId> = index.pending().iter().map(|pending| pending.id.clone()).collect();
        for id in ids {
            let Some(pending) = self.log.index().get(&id).cloned() else { continue };
            match self.log.read_message(&pending) {
                Ok(accepted) => self.restore_message(pending, accepted, now),
                Err(error) => {
                    tracing::error!(%error, message_id = &*id.0, "pending message unreadable, answered as failed");
                    self.fail_unreadable_message(id);
                }
            }
        }
        self.resend_notices();
    }

    /// Sends unacknowledged notices again.
    fn resend_notices(&mut self) {
        let notices: Vec<DeliveryNotice> = self.log.index().unacknowledged_notices().collect();
        let (pending, unacknowledged) = (self.state.pending().len(), notices.len());
        if pending + unacknowledged > 0 {
            tracing::info!(pending, unacknowledged, "write-ahead log restored");
        }
        self.send_notices(notices);
    }

    /// Finishes a message whose record can't be read as failed.
    fn fail_unreadable_message(&mut self, id: MessageId) {
        let answer = FinalAnswer::Failed;
        self.state.record(Record::Finished { id: id.0.to_string(), notice: Some(answer) });
        self.send_notices([DeliveryNotice { id, answer }]);
    }

    /// Passes one message to the policy together with its previous attempts.
    fn restore_message(&mut self, pending: PendingMessage, accepted: AcceptedMessage, now: Duration) {
        let previous_attempts = self.previous_attempts(&pending);
        let id = pending.id;
        let message = NewMessage {
            id: id.clone(),
            class: &pending.class,
            // The process that accepted the message has already charged the tenant's quota.
            tenant: None,
            ordering_key: pending.ordering_key.map(OrderingKey),
            deadline: self.clock.from_unix_micros(pending.deadline_unix_us),
            destination: DestinationId(pending.destination),
        };
        self.policy.submit(now, message, self.state.commands());
        self.policy.restore(now, &id, &previous_attempts, self.state.commands());
        let entry = PendingEntry {
            body: accepted.body,
            idempotency_key: accepted.idempotency_key.map(Arc::from),
            size: pending.reserved_bytes,
            attempts: previous_attempts.len() as u32,
        };
        self.state.pending_mut().insert(id, entry);
    }

    /// Returns the attempts of a message from before this start.
    fn previous_attempts(&mut self, pending: &PendingMessage) -> Vec<PreviousAttempt> {
        let mut attempts = Vec::new();
        for started in &pending.attempts {
            attempts.push(PreviousAttempt {
                endpoint: self.state.endpoints_mut().id_for_name(&started.endpoint),
                started_at: self.clock.from_unix_micros(started.started_at_unix_us),
                proves_not_executed: started.state.proves_not_executed(),
            });
        }
        if pending.records_lost {
            // A single attempt, started at an unknown time, represents all attempts whose records were lost.
            attempts.push(PreviousAttempt {
                endpoint: self.state.endpoints_mut().id_for_name(""),
                started_at: Duration::ZERO,
                proves_not_executed: false,
            });
        }
        attempts
    }
}
