//! What goes into the write-ahead log with a turn, and what is taken up from it at the start.

use std::time::Duration;

use reeddock::{DestinationId, MessageId, NewMessage, OrderingKey, PreviousAttempt};
use reeddock_protocol::{DeliveryNotice, FinalAnswer};
use reeddock_wal::{Accepted, PendingMessage, Record};

use super::admission::NewSubmission;
use super::commands::OutgoingAttempt;
use super::{EventLoop, PendingEntry};
use std::sync::Arc;

impl EventLoop {
    /// Hands the delivery policy what the write-ahead log holds from before this start, in the order in which it was accepted.
    pub fn restore_pending(&mut self) {
        let now = self.clock.now();
        let ids: Vec<MessageId> = self.log.index().pending().iter().map(|u| u.id.clone()).collect();
        for id in ids {
            let Some(pending) = self.log.index().get(&id).cloned() else { continue };
            let Accepted { body, idempotency_key, .. } = match self.log.read_accepted(&pending) {
                Ok(accepted) => accepted,
                Err(fault) => {
                    tracing::error!(%fault, id = &*id.0, "an envelope that is owed can't be read, and is broken off");
                    self.state
                        .records
                        .push(Record::Finished { id: id.0.to_string(), notice: Some(FinalAnswer::Failed) });
                    self.state.unacknowledged += 1;
                    let _ = self.notices.send(DeliveryNotice { id, end: FinalAnswer::Failed });
                    continue;
                }
            };
            let PendingMessage { class, key, destination, deadline, attempts, records_lost, size, .. } =
                pending;
            let mut past: Vec<PreviousAttempt> = attempts
                .iter()
                .map(|begun| PreviousAttempt {
                    endpoint: self.state.endpoints.number(&begun.endpoint),
                    started_at: self.clock.read(begun.at),
                    proves_not_executed: begun.state.proves_not_executed(),
                })
                .collect();
            if records_lost {
                // One that nobody knows of, sent long ago for all that is known.
                past.push(PreviousAttempt {
                    endpoint: self.state.endpoints.number(""),
                    started_at: Duration::ZERO,
                    proves_not_executed: false,
                });
            }
            let (key, destination) = (key.map(OrderingKey), DestinationId(destination));
            let deadline = self.clock.read(deadline);
            let commands = &mut self.state.commands;
            // Its tenant's share has been charged for it, by the process that took it on.
            let message = NewMessage {
                id: id.clone(),
                class: &class,
                tenant: None,
                ordering_key: key,
                deadline,
                destination,
            };
            self.policy.submit(now, message, commands);
            self.policy.restore(now, &id, &past, commands);
            self.state.bodies += size;
            let idempotency_key = idempotency_key.map(Arc::from);
            self.state
                .pending
                .insert(id, PendingEntry { body, idempotency_key, size, attempts: past.len() as u32 });
        }
        let (pending, unacknowledged) =
            (self.state.pending.len(), self.log.index().unacknowledged_notices().count());
        if pending + unacknowledged > 0 {
            tracing::info!(pending, unacknowledged, "taken up from the ledger");
        }
        for notice in self.log.index().unacknowledged_notices() {
            self.state.unacknowledged += 1;
            let _ = self.notices.send(notice);
        }
    }

    /// Puts all that this turn brought into the write-ahead log. What cannot be written is not begun and not accepted;
    /// what has ended is written with the next turn. Says whether it was written, and whether what was handed
    /// in is among it.
    pub(super) fn write(
        &mut self,
        new_submissions: &[NewSubmission],
        begun: &[OutgoingAttempt],
        now: Duration,
    ) -> (bool, bool) {
        let at = self.clock.stored(now);
        let state = &mut self.state;
        let mut records: Vec<Record> =
            new_submissions.iter().map(|f| Record::Accepted(f.accepted.clone())).collect();
        records.extend(state.records.iter().cloned());
        records.extend(begun.iter().map(|b| {
            let endpoint = state.endpoints.name(b.endpoint).unwrap_or_default().to_owned();
            Record::AttemptStarted { id: b.message.id.0.to_string(), no: b.no.0, endpoint, at }
        }));
        match self.log.append(&records, now) {
            Ok(written) => {
                state.records.clear();
                (true, written.messages_accepted)
            }
            Err(fault) => {
                if let Some(more) = state.log_throttle.now() {
                    tracing::error!(%fault, more, "the ledger cannot be written, and nothing is taken on");
                }
                (false, false)
            }
        }
    }
}
