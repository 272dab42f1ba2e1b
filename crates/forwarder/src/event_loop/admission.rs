//! Messages that clients submit, until the write-ahead log has them.

use std::sync::Arc;
use std::time::Duration;

use reeddock::{MessageId, NewMessage};
use reeddock_protocol::{ClientResponse, Submission};
use reeddock_wal::{Accepted, WriteAheadLog};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{EventLoop, PendingEntry, State};

/// Handed in since the last turn, and not yet answered.
pub(super) struct NewSubmission {
    pub id: MessageId,
    pub accepted: Accepted,
    pub reply: oneshot::Sender<ClientResponse>,
}

impl EventLoop {
    pub(super) fn submit(
        &mut self,
        submit: Submission,
        at: Instant,
        reply: oneshot::Sender<ClientResponse>,
        now: Duration,
    ) {
        // A client that has closed its connection hands the message in anew.
        if reply.is_closed() {
            return;
        }
        let Submission { id, class, tenant, key, destination, time_left, idempotency_key, body } = submit;
        let state = &mut self.state;
        let turned_away = if state.pending.contains_key(&id) {
            // Whoever sent it: this message is in the write-ahead log.
            Some(ClientResponse::Accepted)
        } else if state.finished.contains(&id) || state.new_submissions.iter().any(|f| f.id == id) {
            Some(ClientResponse::DuplicateId)
        } else if !self.policy.knows_destination(destination) {
            Some(ClientResponse::UnknownDestination)
        } else {
            None
        };
        if let Some(answer) = turned_away {
            let _ = reply.send(answer);
            return;
        }
        let deadline = self.clock.at(at) + time_left;
        let accepted = Accepted {
            id: id.0.to_string(),
            class,
            tenant,
            key: key.map(|k| k.0),
            destination: destination.0,
            deadline: self.clock.stored(deadline),
            body,
            idempotency_key,
        };
        let pending: u64 = state.new_submissions.iter().map(|f| WriteAheadLog::size_of(&f.accepted)).sum();
        let bodies = state.bodies + pending + WriteAheadLog::size_of(&accepted);
        if pending + WriteAheadLog::size_of(&accepted) > self.log.room() || bodies > self.most_bodies {
            if let Some(more) = state.log_throttle.now() {
                tracing::warn!(
                    more,
                    bodies,
                    "no room in memory or on disk for an envelope, which is refused"
                );
            }
            let _ = reply.send(ClientResponse::NoCapacity);
            return;
        }
        let (class, tenant) = (accepted.class.as_str(), accepted.tenant.as_deref());
        let commands = &mut state.commands;
        let message = NewMessage { id: id.clone(), class, tenant, ordering_key: key, deadline, destination };
        self.policy.submit(now, message, commands);
        state.new_submissions.push(NewSubmission { id, accepted, reply });
    }
}

impl State {
    /// What was submitted since the last turn is owed its end from here on.
    pub(super) fn accept_submissions(&mut self) -> Vec<NewSubmission> {
        let new_submissions = std::mem::take(&mut self.new_submissions);
        for NewSubmission { id, accepted, .. } in &new_submissions {
            let size = WriteAheadLog::size_of(accepted);
            tracing::debug!(
                id = &*id.0,
                class = accepted.class,
                destination = accepted.destination,
                "taken on"
            );
            self.bodies += size;
            let (body, idempotency_key) =
                (accepted.body.clone(), accepted.idempotency_key.as_deref().map(Arc::from));
            self.pending.insert(id.clone(), PendingEntry { body, idempotency_key, size, attempts: 0 });
        }
        new_submissions
    }
}
