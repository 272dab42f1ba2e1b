//! The open write-ahead log: its state, and what can be asked of it. Opening, appending, compaction and the disk
//! reserve stand in modules of their own.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::compaction_plan::CompactionPlan;
use crate::error::WalError;
use crate::frame;
use crate::pending_index::{PendingIndex, PendingMessage};
use crate::quarantine::Quarantine;
use crate::record::{Accepted, Record};
use crate::record_view::RecordView;
use crate::segment;
use crate::storage::Storage;
use crate::verification::VerificationReport;

/// A disk that was full is not tried again before this part of what was pending then is finished: one of so many.
/// Sooner, each submission would try in vain.
const FULL_DISK_RETRY_SHARE: u64 = 16;

/// When appended records are synced, so that they survive a loss of the machine and not of the process alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never: the records survive the process, and are lost with the machine.
    #[default]
    Never,
    /// Before each append returns. All records of one append share one sync.
    Each,
    /// With the first append after this interval: a lost machine loses what was written since the last sync.
    Every(Duration),
}

/// The write-ahead log of one forwarder, open for writing.
pub struct WriteAheadLog {
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) plan: CompactionPlan,
    pub(crate) sync: Sync,
    pub(crate) index: PendingIndex,
    pub(crate) verification: VerificationReport,
    /// Nothing may be appended to the last segment: it ends in something that can't be read, or is of an older
    /// version.
    pub(crate) last_segment_sealed: bool,
    /// Ends of messages whose acceptance may stand in the log though their clients heard of none, as a failed write
    /// could not be taken back. They are written before anything else.
    pub(crate) retractions: Vec<Record>,
    /// Segments with bytes that were not synced.
    pub(crate) unsynced_segments: BTreeSet<u64>,
    /// The time of the last sync, by the clock that appends name.
    pub(crate) last_sync: Duration,
    /// Segments with a part that can't be read.
    pub(crate) corrupt_segments: BTreeSet<u64>,
    /// The offset from which on the first segment is not compacted yet.
    pub(crate) compaction_offset: u64,
    /// Bytes of the disk reserve as it is now.
    pub(crate) reserve_bytes: u64,
    /// The bytes that were pending when the disk was found full; none where it was not since a segment was dropped.
    pub(crate) pending_bytes_when_full: Option<u64>,
    pub(crate) quarantine: Quarantine,
    /// The buffer in which appends are encoded, kept for the next one.
    pub(crate) encode_buffer: Vec<u8>,
    /// Until then faults of compaction are not logged again.
    pub(crate) compaction_warnings_muted_until: Duration,
}

impl WriteAheadLog {
    /// All pending messages and unacknowledged notices.
    pub fn index(&self) -> &PendingIndex {
        &self.index
    }

    /// What the reading at the start found.
    pub fn verification(&self) -> &VerificationReport {
        &self.verification
    }

    /// Reads a pending message, with its body, from its segment.
    ///
    /// # Errors
    ///
    /// Where the segment can't be read, or what stands at the place is not this message's record any more.
    pub fn read_accepted(&self, pending: &PendingMessage) -> Result<Accepted, WalError> {
        let location = pending.location();
        let file = segment::file_name(location.segment);
        let bytes = self.storage.read_at(&file, location.offset, location.length)?;
        let record = frame::payload(&bytes)
            .and_then(RecordView::decode)
            .ok_or(WalError::CorruptRecord { file, offset: location.offset })?;
        record.accepted().ok_or(WalError::UnexpectedRecord)
    }

    /// Bytes that are free for messages accepted from here on, in the measure of [`WriteAheadLog::size_of`].
    pub fn room(&self) -> u64 {
        let pending_bytes = self.index.pending_bytes();
        let recently_full = self
            .pending_bytes_when_full
            .is_some_and(|then| pending_bytes > then - then / FULL_DISK_RETRY_SHARE);
        // Without the whole reserve, the ends of what is pending already are not sure to fit.
        if recently_full || self.reserve_bytes < self.plan.reserve_bytes() {
            return 0;
        }
        self.plan.max_pending_bytes().saturating_sub(pending_bytes)
    }

    /// Bytes of all files, in whole blocks.
    pub fn used(&self) -> u64 {
        self.plan.used_bytes()
    }

    /// Bytes of disk space that a message needs until it is finished.
    pub fn size_of(accepted: &Accepted) -> u64 {
        accepted.view().reserved_bytes()
    }
}
