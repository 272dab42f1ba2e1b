//! The open write-ahead log: its state and its queries. Opening, appending, compaction and the disk reserve are
//! implemented in modules of their own.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::compaction_plan::CompactionPlan;
use crate::error::WalError;
use crate::frame;
use crate::pending_index::{PendingIndex, PendingMessage};
use crate::quarantine::Quarantine;
use crate::record::{AcceptedMessage, Record};
use crate::record_view::RecordView;
use crate::segment;
use crate::storage::Storage;
use crate::verification::VerificationReport;

/// After the disk was full, no message is accepted before one part in this many of what was pending then is finished:
/// sooner, each submission would cause a write that fails.
const FULL_DISK_RETRY_SHARE: u64 = 16;

/// When appended records are synced to disk (`fdatasync`), so that they survive a loss of the machine and not only
/// the end of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncPolicy {
    /// Never: the records survive the process, and are lost with the machine.
    #[default]
    Never,
    /// Before each append returns. All records of one append share one sync.
    EachAppend,
    /// With the first append after this interval: a lost machine loses what was written since the last sync.
    Interval(Duration),
}

/// The write-ahead log of one forwarder, open for writing.
pub struct WriteAheadLog {
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) plan: CompactionPlan,
    pub(crate) sync: SyncPolicy,
    pub(crate) index: PendingIndex,
    pub(crate) verification: VerificationReport,
    /// Nothing may be appended to the last segment: it ends in bytes that can't be read, or has an older version.
    pub(crate) last_segment_sealed: bool,
    /// A `Finished` record for each message whose `Accepted` record may be in the log although its client was not
    /// answered 202, because a failed write could not be undone. They are written before anything else.
    pub(crate) retractions: Vec<Record>,
    /// Segments with bytes that were not synced.
    pub(crate) unsynced_segments: BTreeSet<u64>,
    /// The time of the last sync, on the clock whose times are passed to appends.
    pub(crate) last_sync: Duration,
    /// Segments with a part that can't be read.
    pub(crate) corrupt_segments: BTreeSet<u64>,
    /// Live records of the first segment from this offset on are not copied yet.
    pub(crate) compaction_offset: u64,
    /// Bytes that the disk reserve has now.
    pub(crate) reserve_bytes: u64,
    /// The bytes that were pending when the disk was last full; `None` if it was not full since a segment was dropped.
    pub(crate) pending_bytes_when_full: Option<u64>,
    pub(crate) quarantine: Quarantine,
    /// The buffer in which appends are encoded, kept for the next one.
    pub(crate) encode_buffer: Vec<u8>,
    /// Failures of compaction are not logged again before this time.
    pub(crate) compaction_warnings_muted_until: Duration,
}

impl WriteAheadLog {
    /// All pending messages and unacknowledged notices.
    pub fn index(&self) -> &PendingIndex {
        &self.index
    }

    /// What reading the whole log at the start found.
    pub fn verification(&self) -> &VerificationReport {
        &self.verification
    }

    /// Reads a pending message, with its body, from its segment.
    ///
    /// # Errors
    ///
    /// If the segment can't be read, or the record at this location is corrupt or carries no message.
    pub fn read_message(&self, pending: &PendingMessage) -> Result<AcceptedMessage, WalError> {
        let location = pending.location();
        let file = segment::file_name(location.segment);
        let bytes = self.storage.read_at(&file, location.offset, location.length)?;
        let record = frame::payload(&bytes)
            .and_then(RecordView::decode)
            .ok_or(WalError::CorruptRecord { file, offset: location.offset })?;
        record.accepted().ok_or(WalError::UnexpectedRecord)
    }

    /// Bytes that are free for messages accepted from here on, counted as [`AcceptedMessage::reserved_bytes`] counts them.
    pub fn free_bytes(&self) -> u64 {
        let pending_bytes = self.index.pending_bytes();
        let recently_full = self
            .pending_bytes_when_full
            .is_some_and(|then| pending_bytes > then - then / FULL_DISK_RETRY_SHARE);
        // Without the whole reserve, the final records of messages that are pending already may not fit.
        if recently_full || self.reserve_bytes < self.plan.reserve_bytes() {
            return 0;
        }
        self.plan.max_pending_bytes().saturating_sub(pending_bytes)
    }

    /// Bytes of all files, in whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.plan.used_bytes()
    }
}
