//! The open write-ahead log: its state and its queries. The modules `opening`, `appending`, `compaction` and
//! `disk_reserve` implement its other operations.

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

/// Divisor of the bytes that were pending when the disk was full. The quotient has to be finished before
/// messages are accepted again, which prevents a failing write for each submission.
const FULL_DISK_RETRY_DIVISOR: u64 = 16;

/// When appended records are synced to disk (`fdatasync`). Synced records survive a loss of the machine;
/// other records survive only the end of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncPolicy {
    /// Records are not synced, and may be lost with the machine.
    #[default]
    Never,
    /// Records are synced before the append returns. All records of one append share one sync.
    EachAppend,
    /// Records are synced by the first append after this interval. A loss of the machine loses records
    /// written since the last sync.
    Interval(Duration),
}

/// The write-ahead log of one forwarder, open for writing.
pub struct WriteAheadLog {
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) plan: CompactionPlan,
    pub(crate) sync: SyncPolicy,
    pub(crate) index: PendingIndex,
    pub(crate) verification: VerificationReport,
    /// Whether appends must start a new segment, because the last one ends in unreadable bytes or has an
    /// older version.
    pub(crate) last_segment_sealed: bool,
    /// `Finished` records that the next append writes first. Each is for a message whose client was not
    /// answered 202, but whose `Accepted` record may be in the log because a failed write could not be
    /// undone.
    pub(crate) retractions: Vec<Record>,
    /// Numbers of segments with bytes that are not synced yet.
    pub(crate) unsynced_segments: BTreeSet<u64>,
    /// Time of the last sync, on the clock of the `now` that is passed to appends.
    pub(crate) last_sync: Duration,
    /// Numbers of segments with unreadable parts.
    pub(crate) corrupt_segments: BTreeSet<u64>,
    /// Offset in the first segment, in bytes, from which compaction has not copied live records yet.
    pub(crate) compaction_offset: u64,
    /// Current size of the disk reserve in bytes.
    pub(crate) reserve_bytes: u64,
    /// Bytes that were pending when the disk was last full; `None` if the disk was not full since compaction
    /// last removed a segment.
    pub(crate) pending_bytes_when_full: Option<u64>,
    pub(crate) quarantine: Quarantine,
    /// Buffer in which appends are encoded, reused by the next append.
    pub(crate) encode_buffer: Vec<u8>,
    /// Time before which failures of compaction are not logged again, on the clock of the `now` that is
    /// passed to appends.
    pub(crate) compaction_warnings_muted_until: Duration,
}

impl WriteAheadLog {
    /// Returns the index of all pending messages and unacknowledged notices.
    pub fn index(&self) -> &PendingIndex {
        &self.index
    }

    /// Returns the report on the corrupt parts and totals that were found when the log was opened.
    pub fn verification(&self) -> &VerificationReport {
        &self.verification
    }

    /// Reads a pending message, with its body, from its segment.
    ///
    /// # Errors
    ///
    /// [`WalError::Io`] if the segment can't be read, [`WalError::CorruptRecord`] if the record is corrupt,
    /// and [`WalError::UnexpectedRecord`] if the record carries no message.
    pub fn read_message(&self, pending: &PendingMessage) -> Result<AcceptedMessage, WalError> {
        let location = pending.location();
        let file = segment::file_name(location.segment);
        let bytes = self.storage.read_at(&file, location.offset, location.length)?;
        let record = frame::payload(&bytes)
            .and_then(RecordView::decode)
            .ok_or(WalError::CorruptRecord { file, offset: location.offset })?;
        record.accepted().ok_or(WalError::UnexpectedRecord)
    }

    /// Returns the number of bytes that can be reserved for new messages. A message takes
    /// [`AcceptedMessage::reserved_bytes`] of them.
    pub fn free_bytes(&self) -> u64 {
        let pending_bytes = self.index.pending_bytes();
        let recently_full = self.pending_bytes_when_full.is_some_and(|bytes_when_full| {
            pending_bytes > bytes_when_full - bytes_when_full / FULL_DISK_RETRY_DIVISOR
        });
        // Without a complete disk reserve, final records of pending messages could fail to fit.
        if recently_full || self.reserve_bytes < self.plan.reserve_bytes() {
            return 0;
        }
        self.plan.max_pending_bytes().saturating_sub(pending_bytes)
    }

    /// Returns the size of all files in bytes, each rounded up to whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.plan.used_bytes()
    }
}
