//! The index of the write-ahead log: the pending messages and unacknowledged notices that result from its
//! records. The index holds the locations of bodies; the bodies themselves stay on disk.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reeddock::MessageId;
use reeddock_protocol::{DeliveryNotice, FinalAnswer};

use crate::live_records::{LiveRecord, LiveRecords, RecordLocation};
use crate::record::{AcceptedMessage, AttemptState, Checkpoint, Record, RecordedAttempt};
use crate::record_view::{AcceptedView, CheckpointView, RecordView};

/// Disk space in bytes that is reserved for a notice until the platform has acknowledged it.
const NOTICE_RESERVED_BYTES: u64 = 160;
/// Maximum number of orphans (messages of which only the id is known) that are listed; further ones are
/// counted.
const MAX_LISTED_ORPHANS: usize = 1000;

/// An accepted message that is not finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMessage {
    /// Message id, set by the client.
    pub id: MessageId,
    /// Name of the message class in the settings.
    pub class: Arc<str>,
    /// Tenant whose quota the message counts against; `None` if it counts against no tenant's quota.
    pub tenant: Option<Arc<str>>,
    /// Ordering key; `None` if the message may be delivered in any order.
    pub ordering_key: Option<u64>,
    /// Id of the destination.
    pub destination: u64,
    /// Time by which the message must have its final answer, in microseconds of Unix time.
    pub deadline_unix_us: u64,
    /// Attempts so far, in the order of their numbers.
    pub attempts: Vec<RecordedAttempt>,
    /// Whether records of further attempts may have been lost to corruption, so that the message may have
    /// been executed at an unknown time by an unknown endpoint.
    pub records_lost: bool,
    /// Disk space in bytes that is reserved for the message until it is finished.
    pub reserved_bytes: u64,
    /// Number of the message in the order of acceptance, from 1.
    acceptance_number: u64,
    location: RecordLocation,
}

impl PendingMessage {
    /// Returns the location of the record that carries the message.
    pub(crate) fn location(&self) -> RecordLocation {
        self.location
    }

    /// Returns the checkpoint of the message; `accepted` is the message as read from its record.
    pub(crate) fn checkpoint(&self, accepted: AcceptedMessage) -> Checkpoint {
        Checkpoint {
            accepted,
            acceptance_number: self.acceptance_number,
            attempts: self.attempts.clone(),
            records_lost: self.records_lost,
        }
    }

    fn start_attempt(&mut self, number: usize, endpoint: Arc<str>, started_at_unix_us: u64) {
        let known = self.attempts.len();
        // Attempts are numbered consecutively, so that a gap means that records were lost.
        self.attempts.resize_with(known.max(number), RecordedAttempt::unknown);
        if number >= known {
            self.attempts.push(RecordedAttempt::in_flight(endpoint, started_at_unix_us));
            // All attempts up to this number are known, or were just added as unknown ones.
            self.records_lost = false;
        }
    }

    fn finish_attempt(&mut self, number: usize, state: AttemptState) {
        match self.attempts.get_mut(number) {
            Some(attempt) => attempt.state = state,
            None => self.records_lost = true,
        }
    }
}

struct UnacknowledgedNotice {
    answer: FinalAnswer,
    location: RecordLocation,
}

/// All pending messages and unacknowledged notices of a write-ahead log.
#[derive(Default)]
pub struct PendingIndex {
    /// Pending messages by id. A hash map would delay each append during which it grows and moves all
    /// entries.
    pending: BTreeMap<MessageId, Box<PendingMessage>>,
    notices: BTreeMap<MessageId, UnacknowledgedNotice>,
    live_records: LiveRecords,
    last_acceptance_number: u64,
    /// Disk space in bytes that is reserved for all pending messages and notices.
    pending_bytes: u64,
    /// Interned names of classes, tenants and endpoints.
    names: BTreeSet<Arc<str>>,
    /// Ids of messages whose `Accepted` record was lost, known from later records.
    orphans: BTreeSet<MessageId>,
    unlisted_orphans: u64,
}

/// The numbers of pending messages and unacknowledged notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Number of accepted messages that are not finished.
    pub messages: usize,
    /// Number of notices that the platform has not acknowledged.
    pub notices: usize,
}

impl PendingCounts {
    /// Returns whether no message is pending and no notice is unacknowledged.
    pub fn is_empty(&self) -> bool {
        *self == PendingCounts::default()
    }
}

impl PendingIndex {
    /// Returns the pending messages in the order of their acceptance.
    pub fn pending(&self) -> Vec<&PendingMessage> {
        let mut pending: Vec<&PendingMessage> = self.pending.values().map(|message| &**message).collect();
        pending.sort_by_key(|message| message.acceptance_number);
        pending
    }

    /// Returns the pending message with an id; `None` if the message is unknown or finished.
    pub fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.pending.get(id).map(|message| &**message)
    }

    /// Returns the notices that the platform has not acknowledged, in the order of their ids.
    pub fn unacknowledged_notices(&self) -> impl Iterator<Item = DeliveryNotice> + '_ {
        self.notices.iter().map(|(id, notice)| DeliveryNotice { id: id.clone(), answer: notice.answer })
    }

    /// Returns the numbers of pending messages and unacknowledged notices.
    pub fn counts(&self) -> PendingCounts {
        PendingCounts { messages: self.pending.len(), notices: self.notices.len() }
    }

    /// Returns the ids of messages whose `Accepted` record was lost, so that nothing else is known of them.
    /// An orphan may still be pending.
    pub fn orphans(&self) -> impl Iterator<Item = &MessageId> {
        self.orphans.iter()
    }

    /// Returns the number of orphans beyond those that [`PendingIndex::orphans`] lists.
    pub fn unlisted_orphans(&self) -> u64 {
        self.unlisted_orphans
    }

    /// Returns the disk space that is reserved for all pending messages and notices, in bytes.
    pub(crate) fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// Returns the first live record of a segment at or after an offset.
    pub(crate) fn first_live_record(&self, segment: u64, offset: u64) -> Option<LiveRecord> {
        self.live_records.first_from(segment, offset)
    }

    /// Returns the size of the live records of a segment, in bytes.
    pub(crate) fn live_bytes(&self, segment: u64) -> u64 {
        let bytes =
            |id| self.pending.get(id).map_or(NOTICE_RESERVED_BYTES, |message| message.location.length as u64);
        self.live_records.ids_in(segment).map(bytes).sum()
    }

    /// Returns the record of an unacknowledged notice, as compaction writes it.
    pub(crate) fn notice_record(&self, id: &MessageId) -> Option<Record> {
        let notice = self.notices.get(id)?;
        Some(Record::Finished { id: id.0.to_string(), notice: Some(notice.answer) })
    }

    /// Sets `records_lost` of all messages that are pending at this point of the log, because the lost
    /// records may be records of their attempts.
    pub(crate) fn mark_records_lost(&mut self) {
        self.pending.values_mut().for_each(|message| message.records_lost = true);
    }

    /// Applies the record at a location of the log.
    pub(crate) fn apply(&mut self, record: RecordView, location: RecordLocation) {
        let message_id = |id: &str| MessageId(Arc::from(id));
        match record {
            // `RecordView::decode` converts records of version 1, so that none is passed here.
            RecordView::AcceptedV1(_) | RecordView::CheckpointV1(_) => {}
            RecordView::Accepted(accepted) => self.accept(&accepted, location),
            RecordView::Checkpoint(checkpoint) => self.restore_checkpoint(checkpoint, location),
            RecordView::AttemptStarted { id, number, endpoint, started_at_unix_us } => {
                let endpoint = self.intern(endpoint);
                match self.pending.get_mut(&message_id(id)) {
                    Some(message) => message.start_attempt(number as usize, endpoint, started_at_unix_us),
                    None => self.add_orphan(message_id(id)),
                }
            }
            RecordView::AttemptFinished { id, number, proves_not_executed } => {
                let state = AttemptState::finished(proves_not_executed);
                match self.pending.get_mut(&message_id(id)) {
                    Some(message) => message.finish_attempt(number as usize, state),
                    None => self.add_orphan(message_id(id)),
                }
            }
            RecordView::Finished { id, notice } => self.finish(message_id(id), notice, location),
            RecordView::NoticeAcknowledged { id } => self.acknowledge(&message_id(id)),
        }
    }

    fn accept(&mut self, accepted: &AcceptedView, location: RecordLocation) {
        self.last_acceptance_number += 1;
        let message = self.pending_message(accepted, self.last_acceptance_number, location);
        self.insert(message);
    }

    fn restore_checkpoint(&mut self, checkpoint: CheckpointView<AcceptedView>, location: RecordLocation) {
        self.last_acceptance_number = self.last_acceptance_number.max(checkpoint.acceptance_number);
        let mut message = self.pending_message(&checkpoint.accepted, checkpoint.acceptance_number, location);
        message.attempts = checkpoint.attempts;
        message.records_lost = checkpoint.records_lost;
        self.insert(message);
    }

    /// Returns the index entry of a message, without attempts.
    fn pending_message(
        &mut self,
        accepted: &AcceptedView,
        acceptance_number: u64,
        location: RecordLocation,
    ) -> PendingMessage {
        let fields = &accepted.fields;
        PendingMessage {
            id: MessageId(Arc::from(fields.id)),
            class: self.intern(fields.class),
            tenant: fields.tenant.map(|tenant| self.intern(tenant)),
            ordering_key: fields.ordering_key,
            destination: fields.destination,
            deadline_unix_us: fields.deadline_unix_us,
            attempts: Vec::new(),
            records_lost: false,
            reserved_bytes: accepted.reserved_bytes(),
            acceptance_number,
            location,
        }
    }

    fn insert(&mut self, message: PendingMessage) {
        let id = message.id.clone();
        self.pending_bytes += message.reserved_bytes;
        self.live_records.insert(message.location, id.clone());
        self.orphans.remove(&id);
        if let Some(replaced) = self.pending.insert(id, Box::new(message)) {
            self.pending_bytes = self.pending_bytes.saturating_sub(replaced.reserved_bytes);
            self.live_records.remove(replaced.location);
        }
    }

    fn finish(&mut self, id: MessageId, notice: Option<FinalAnswer>, location: RecordLocation) {
        self.orphans.remove(&id);
        if let Some(message) = self.pending.remove(&id) {
            self.pending_bytes = self.pending_bytes.saturating_sub(message.reserved_bytes);
            self.live_records.remove(message.location);
        }
        let Some(answer) = notice else { return };
        self.live_records.insert(location, id.clone());
        match self.notices.insert(id, UnacknowledgedNotice { answer, location }) {
            Some(replaced) => self.live_records.remove(replaced.location),
            None => self.pending_bytes += NOTICE_RESERVED_BYTES,
        }
    }

    fn acknowledge(&mut self, id: &MessageId) {
        let Some(notice) = self.notices.remove(id) else { return };
        self.pending_bytes = self.pending_bytes.saturating_sub(NOTICE_RESERVED_BYTES);
        self.live_records.remove(notice.location);
    }

    fn add_orphan(&mut self, id: MessageId) {
        if self.orphans.len() < MAX_LISTED_ORPHANS {
            self.orphans.insert(id);
        } else {
            self.unlisted_orphans += 1;
        }
    }

    /// Returns the shared copy of a name.
    fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let name: Arc<str> = Arc::from(name);
        self.names.insert(name.clone());
        name
    }
}
