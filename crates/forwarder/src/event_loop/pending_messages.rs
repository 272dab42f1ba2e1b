//! The accepted messages without a final answer, and the ids of recently finished messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reeddock::{AttemptNumber, MessageId};
use reeddock_protocol::OutgoingMessage;

use super::commands::{AttemptCommand, OutgoingAttempt};

/// The time for which the id of a finished message is rejected, so that a late duplicate of the submission is
/// not executed a second time.
const FINISHED_ID_RETENTION: Duration = Duration::from_secs(15);

/// An accepted message without a final answer.
pub(super) struct PendingEntry {
    pub body: Bytes,
    pub idempotency_key: Option<Arc<str>>,
    /// The number of bytes that the message occupies in memory and in the write-ahead log.
    pub size: u64,
    /// How many attempts of the message were numbered so far. The next attempt gets this number.
    pub attempts: u32,
}

/// The id of a finished message, which is rejected in submissions until it expires.
struct FinishedId {
    id: MessageId,
    expires_at: Duration,
}

/// The pending messages, and the ids of recently finished ones.
#[derive(Default)]
pub(super) struct PendingMessages {
    entries: BTreeMap<MessageId, PendingEntry>,
    /// The sum of the entries' `size`.
    bytes: u64,
    finished_ids: BTreeSet<MessageId>,
    /// The finished ids in the order in which they expire.
    finished_expiry: VecDeque<FinishedId>,
    /// The time of the last run of due work, from which the expiry of finished ids counts.
    due_work_at: Duration,
}

impl PendingMessages {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn contains(&self, id: &MessageId) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns whether a message with this id was finished recently.
    pub(super) fn is_finished(&self, id: &MessageId) -> bool {
        self.finished_ids.contains(id)
    }

    /// Returns the number of bytes that all pending messages occupy in memory and in the write-ahead log.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn insert(&mut self, id: MessageId, entry: PendingEntry) {
        self.bytes += entry.size;
        self.entries.insert(id, entry);
    }

    /// Removes a message that has its final answer. Returns whether the message was pending.
    pub(super) fn finish(&mut self, id: &MessageId) -> bool {
        let Some(entry) = self.entries.remove(id) else { return false };
        self.bytes -= entry.size;
        if self.finished_ids.insert(id.clone()) {
            let expires_at = self.due_work_at + FINISHED_ID_RETENTION;
            self.finished_expiry.push_back(FinishedId { id: id.clone(), expires_at });
        }
        true
    }

    /// Removes the finished ids that have expired by this run of due work.
    pub(super) fn expire_finished_ids(&mut self, now: Duration) {
        self.due_work_at = now;
        while let Some(FinishedId { id, .. }) =
            self.finished_expiry.pop_front_if(|finished| finished.expires_at <= now)
        {
            self.finished_ids.remove(&id);
        }
    }

    /// Numbers the attempt of a command. Returns `None` if its message is not pending.
    pub(super) fn number_attempt(&mut self, command: AttemptCommand) -> Option<OutgoingAttempt> {
        let AttemptCommand { message: id, endpoint, timeouts } = command;
        let entry = self.entries.get_mut(&id)?;
        let number = AttemptNumber(entry.attempts);
        entry.attempts += 1;
        let (body, idempotency_key) = (entry.body.clone(), entry.idempotency_key.clone());
        let message = OutgoingMessage { id, idempotency_key, body };
        Some(OutgoingAttempt { message, number, endpoint, timeouts })
    }
}
