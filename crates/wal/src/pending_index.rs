//! The index over the write-ahead log: the pending messages and unacknowledged notices that result from its records.
//! Bodies stay in the files; the index keeps their locations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reeddock::MessageId;
use reeddock_protocol::{DeliveryNotice, FinalAnswer};

use crate::live_records::{LiveRecord, LiveRecords, RecordLocation};
use crate::record::{AcceptedMessage, AttemptState, Checkpoint, Record, RecordedAttempt};
use crate::record_view::{AcceptedView, CheckpointView, RecordView};

/// Disk space that is set aside for a notice until the platform has acknowledged it, in bytes.
const NOTICE_RESERVED_BYTES: u64 = 160;
/// The most orphans (messages known by their id only) that are listed; further ones are counted.
const MAX_LISTED_ORPHANS: usize = 1000;

/// A message that was accepted and is not finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMessage {
    /// The id that the client gave the message.
    pub id: MessageId,
    /// The message class in the settings.
    pub class: Arc<str>,
    /// The tenant whose quota the message counts against, if it has one.
    pub tenant: Option<Arc<str>>,
    /// The ordering key, if the message is delivered in order.
    pub ordering_key: Option<u64>,
    /// The destination's id.
    pub destination: u64,
    /// When the message must have its final answer, in microseconds of Unix time.
    pub deadline_unix_us: u64,
    /// Its attempts, in the order of their numbers.
    pub attempts: Vec<RecordedAttempt>,
    /// Whether records of further attempts may have been lost to corruption: the message may have been executed, and
    /// it is not known when or by which endpoint.
    pub records_lost: bool,
    /// Disk space that is set aside for the message until it is finished, in bytes.
    pub reserved_bytes: u64,
    /// Its position among all accepted messages.
    position: u64,
    location: RecordLocation,
}

impl PendingMessage {
    /// The location of the record that carries the message.
    pub(crate) fn location(&self) -> RecordLocation {
        self.location
    }

    /// The checkpoint of the message; `accepted` is the message as read from its record.
    pub(crate) fn checkpoint(&self, accepted: AcceptedMessage) -> Checkpoint {
        Checkpoint {
            accepted,
            position: self.position,
            attempts: self.attempts.clone(),
            records_lost: self.records_lost,
        }
    }

    fn start_attempt(&mut self, number: usize, endpoint: Arc<str>, started_at_unix_us: u64) {
        let known = self.attempts.len();
        // Attempts are numbered without gaps: a gap means that records of attempts were lost.
        self.attempts.resize_with(known.max(number), RecordedAttempt::unknown);
        if number >= known {
            self.attempts.push(RecordedAttempt::in_flight(endpoint, started_at_unix_us));
            // The number shows that no earlier attempt is missing except those just filled in.
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

/// A notice that the platform has not acknowledged.
struct UnacknowledgedNotice {
    answer: FinalAnswer,
    location: RecordLocation,
}

/// All pending messages and unacknowledged notices.
#[derive(Default)]
pub struct PendingIndex {
    /// No hash map: when one grows, an append would wait until all entries have been moved.
    pending: BTreeMap<MessageId, Box<PendingMessage>>,
    notices: BTreeMap<MessageId, UnacknowledgedNotice>,
    live_records: LiveRecords,
    /// The position of the message that was accepted last.
    last_position: u64,
    /// Disk space set aside for all pending messages and notices.
    pending_bytes: u64,
    /// Names of classes, tenants and endpoints. There are few of them, and each is kept once.
    names: BTreeSet<Arc<str>>,
    /// Messages whose `Accepted` record was lost, known from later records.
    orphans: BTreeSet<MessageId>,
    unlisted_orphans: u64,
}

/// How many messages are pending, and how many notices are unacknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Messages that were accepted and are not finished.
    pub messages: usize,
    /// Notices that the platform has not acknowledged.
    pub notices: usize,
}

impl PendingCounts {
    /// Whether no message is pending and no notice unacknowledged.
    pub fn is_empty(&self) -> bool {
        *self == PendingCounts::default()
    }
}

impl PendingIndex {
    /// The pending messages by position, which is the order of acceptance.
    pub fn pending(&self) -> Vec<&PendingMessage> {
        let mut pending: Vec<&PendingMessage> = self.pending.values().map(|message| &**message).collect();
        pending.sort_by_key(|message| message.position);
        pending
    }

    /// A pending message by its id.
    pub fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.pending.get(id).map(|message| &**message)
    }

    /// The notices that the platform has not acknowledged, by id.
    pub fn unacknowledged_notices(&self) -> impl Iterator<Item = DeliveryNotice> + '_ {
        self.notices.iter().map(|(id, notice)| DeliveryNotice { id: id.clone(), answer: notice.answer })
    }

    /// How many messages are pending, and how many notices are unacknowledged.
    pub fn counts(&self) -> PendingCounts {
        PendingCounts { messages: self.pending.len(), notices: self.notices.len() }
    }

    /// Messages whose `Accepted` record was lost, so that only the id is known. They may still be pending.
    pub fn orphans(&self) -> impl Iterator<Item = &MessageId> {
        self.orphans.iter()
    }

    /// How many orphans there are beyond those that [`PendingIndex::orphans`] lists.
    pub fn unlisted_orphans(&self) -> u64 {
        self.unlisted_orphans
    }

    /// Disk space set aside for all pending messages and notices, in bytes.
    pub(crate) fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// The first live record of a segment at this offset or behind it.
    pub(crate) fn first_live_record(&self, segment: u64, offset: u64) -> Option<LiveRecord> {
        self.live_records.first_from(segment, offset)
    }

    /// Bytes of a segment's live records.
    pub(crate) fn live_bytes(&self, segment: u64) -> u64 {
        let bytes =
            |id| self.pending.get(id).map_or(NOTICE_RESERVED_BYTES, |message| message.location.length as u64);
        self.live_records.ids_in(segment).map(bytes).sum()
    }

    /// The record that stands for an unacknowledged notice.
    pub(crate) fn notice_record(&self, id: &MessageId) -> Option<Record> {
        let notice = self.notices.get(id)?;
        Some(Record::Finished { id: id.0.to_string(), notice: Some(notice.answer) })
    }

    /// Records were lost at this point of the log: any message that is pending here may have been sent.
    pub(crate) fn mark_records_lost(&mut self) {
        self.pending.values_mut().for_each(|message| message.records_lost = true);
    }

    /// Applies a record that is in the log at this location.
    pub(crate) fn apply(&mut self, record: RecordView, location: RecordLocation) {
        let message_id = |id: &str| MessageId(Arc::from(id));
        match record {
            // `RecordView::decode` converts these to their current form.
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
        self.last_position += 1;
        let message = self.pending_message(accepted, self.last_position, location);
        self.insert(message);
    }

    fn restore_checkpoint(&mut self, checkpoint: CheckpointView<AcceptedView>, location: RecordLocation) {
        self.last_position = self.last_position.max(checkpoint.position);
        let mut message = self.pending_message(&checkpoint.accepted, checkpoint.position, location);
        message.attempts = checkpoint.attempts;
        message.records_lost = checkpoint.records_lost;
        self.insert(message);
    }

    /// A message without attempts.
    fn pending_message(
        &mut self,
        accepted: &AcceptedView,
        position: u64,
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
            position,
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

    /// The one shared copy of a name.
    fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let name: Arc<str> = Arc::from(name);
        self.names.insert(name.clone());
        name
    }
}
