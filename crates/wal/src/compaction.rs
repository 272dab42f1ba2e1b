//! Compaction: copies the live records of the first segment to the end of the log, in one bounded step after
//! each append, and then removes the segment. [`CompactionPlan`](crate::compaction_plan::CompactionPlan)
//! decides when.

use std::io;
use std::time::Duration;

use crate::compaction_plan::CompactionStep;
use crate::encoded_records::EncodedRecords;
use crate::error::WalError;
use crate::frame::FRAME_HEADER_BYTES;
use crate::live_records::LiveRecord;
use crate::manifest::{Manifest, MANIFEST_FILE, NEXT_MANIFEST_FILE};
use crate::quarantine::Quarantine;
use crate::record::Record;
use crate::segment::{self, SEGMENT_HEADER_BYTES};
use crate::write_ahead_log::{SyncPolicy, WriteAheadLog};

/// Minimum interval between log entries about failures of compaction.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum ratio of a segment's size to the size of its live records for a compaction on a full disk.
const FULL_DISK_MIN_SIZE_RATIO: u64 = 4;
/// Maximum number of compaction steps per pending message that free space for one append, in addition to
/// [`MAX_BASE_STEPS`].
const MAX_STEPS_PER_PENDING_MESSAGE: usize = 4;
/// Maximum number of compaction steps that free space for one append if no message is pending.
const MAX_BASE_STEPS: usize = 1000;

/// The live records that one step copies.
struct CopyBatch {
    records: Vec<Record>,
    /// Size of the copied records in bytes, which is deducted from the plan's copy credit.
    bytes: u64,
    /// Whether the segment has no live record after these records.
    reaches_end: bool,
}

impl WriteAheadLog {
    /// Compacts the first segments until an append of `bytes` bytes fits.
    pub(crate) fn make_room(&mut self, bytes: u64) -> Result<(), WalError> {
        let mut steps_left = MAX_STEPS_PER_PENDING_MESSAGE * self.index.counts().messages + MAX_BASE_STEPS;
        while !self.plan.fits(bytes) {
            let CompactionStep::Copy { segment, bytes } = self.plan.forced_step() else { break };
            if steps_left == 0 || !self.plan.fits(0) {
                break;
            }
            steps_left -= 1;
            // The copies must fit too. Half of the free space is left for their frames and a segment header.
            let free = self.plan.max_bytes().saturating_sub(self.plan.used_bytes());
            self.compact(segment, bytes.min(free / 2))?;
        }
        if self.plan.fits(bytes) {
            Ok(())
        } else {
            Err(WalError::storage_full())
        }
    }

    /// Runs one bounded compaction step after an append of `appended` bytes, and replenishes the disk
    /// reserve. Failures do not affect the append.
    pub(crate) fn compact_after_append(&mut self, appended: u64, now: Duration) {
        if let CompactionStep::Copy { segment, bytes } = self.step_after_append(appended) {
            match self.compact(segment, bytes) {
                Ok(copied) => self.plan.consume_credit(copied),
                Err(error) if now >= self.compaction_warnings_muted_until => {
                    self.compaction_warnings_muted_until = now + WARNING_INTERVAL;
                    tracing::warn!(%error, segment, "compaction failed");
                }
                Err(_) => {}
            }
        }
        if self.reserve_bytes < self.plan.reserve_bytes() {
            self.replenish_reserve();
        }
    }

    /// Returns the step that is due. After the disk was full, a segment is compacted only if its removal
    /// frees far more space than its copies take, so that copies do not fill the disk again.
    fn step_after_append(&mut self, appended: u64) -> CompactionStep {
        let planned = self.plan.plan_step_after_append(appended, self.index.pending_bytes());
        let was_full =
            self.pending_bytes_when_full.is_some() || self.reserve_bytes < self.plan.reserve_bytes();
        let forced = self.plan.forced_step();
        match forced {
            CompactionStep::Copy { segment, .. } if was_full => {
                let frees_enough = FULL_DISK_MIN_SIZE_RATIO * self.index.live_bytes(segment)
                    <= self.plan.segment_size(segment);
                if frees_enough {
                    forced
                } else {
                    CompactionStep::Idle
                }
            }
            _ => planned,
        }
    }

    /// Copies about `bytes` bytes of live records of the first segment to the end of the log, and removes the
    /// segment if it has no more live records. Returns the bytes copied.
    fn compact(&mut self, segment: u64, bytes: u64) -> Result<u64, WalError> {
        let batch = self.gather_live_records(segment, bytes)?;
        if !batch.records.is_empty() {
            if let Err(error) = self.append_copies(&batch.records) {
                self.compaction_offset = 0;
                return Err(error);
            }
        }
        if batch.reaches_end {
            self.compaction_offset = 0;
            if self.index.first_live_record(segment, 0).is_none() {
                self.drop_first_segment(segment)?;
            }
        }
        Ok(batch.bytes)
    }

    /// Reads at least `bytes` bytes of live records of a segment from the compaction offset on, as far as
    /// there are any.
    fn gather_live_records(&mut self, segment: u64, bytes: u64) -> Result<CopyBatch, WalError> {
        let mut batch = CopyBatch { records: Vec::new(), bytes: 0, reaches_end: true };
        let mut next = self.index.first_live_record(segment, self.compaction_offset);
        while let Some(live) = next {
            if !self.add_copy(&mut batch, &live)? {
                return Ok(batch);
            }
            self.compaction_offset = live.offset + 1;
            next = self.index.first_live_record(segment, self.compaction_offset);
            if batch.bytes >= bytes {
                break;
            }
        }
        batch.reaches_end = next.is_none();
        Ok(batch)
    }

    /// Adds the copy of a live record to the batch; returns false if the index does not know its message.
    fn add_copy(&self, batch: &mut CopyBatch, live: &LiveRecord) -> Result<bool, WalError> {
        if let Some(pending) = self.index.get(&live.id) {
            let accepted = self.read_message(pending)?;
            batch.bytes += pending.location().length as u64;
            batch.records.push(Record::Checkpoint(pending.checkpoint(accepted)));
        } else if let Some(notice) = self.index.notice_record(&live.id) {
            batch.bytes += (FRAME_HEADER_BYTES + live.id.0.len()) as u64;
            batch.records.push(notice);
        } else {
            return Ok(false);
        }
        Ok(true)
    }

    /// Appends copies of live records without making room for them, which would start compaction recursively.
    fn append_copies(&mut self, records: &[Record]) -> Result<(), WalError> {
        let mut encoded = EncodedRecords::encode(records, Vec::new());
        if !self.plan.fits(encoded.frames_bytes() + SEGMENT_HEADER_BYTES as u64) {
            return Err(WalError::storage_full());
        }
        self.append_to_segment(&mut encoded)?;
        self.apply_to_index(records, &encoded);
        Ok(())
    }

    /// Removes the first segment, which has no live record. The copies are synced and the manifest is
    /// replaced first: otherwise a loss of the machine could restore the segment without the later one that
    /// finished its messages.
    fn drop_first_segment(&mut self, segment: u64) -> Result<(), WalError> {
        self.sync_all()?;
        self.write_manifest(segment + 1)?;
        if self.corrupt_segments.remove(&segment) {
            self.quarantine_segment(segment)?;
        } else {
            self.storage.remove(&segment::file_name(segment))?;
        }
        self.plan.remove_segment(segment);
        self.pending_bytes_when_full = None;
        self.update_auxiliary_bytes();
        Ok(())
    }

    /// Moves a segment with corrupt parts into quarantine, and removes the oldest quarantined files above the
    /// limit.
    fn quarantine_segment(&mut self, segment: u64) -> Result<(), WalError> {
        let file = segment::file_name(segment);
        let quarantined = Quarantine::name_for(&file);
        self.storage.rename(&file, &quarantined)?;
        self.quarantine.insert(quarantined, self.plan.segment_size(segment));
        while let Some(oldest) = self.quarantine.pop_excess(self.plan.max_bytes()) {
            tracing::warn!(file = oldest, "quarantine is full; oldest file removed");
            self.storage.remove(&oldest)?;
        }
        Ok(())
    }

    /// Replaces the manifest by one with a new first segment.
    pub(crate) fn write_manifest(&mut self, first_segment: u64) -> Result<(), WalError> {
        let bytes = Manifest::new(first_segment).encode();
        match self.storage.remove(NEXT_MANIFEST_FILE) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        self.storage.append(NEXT_MANIFEST_FILE, &bytes)?;
        if self.sync != SyncPolicy::Never {
            self.storage.sync(NEXT_MANIFEST_FILE)?;
        }
        self.storage.rename(NEXT_MANIFEST_FILE, MANIFEST_FILE)?;
        if self.sync != SyncPolicy::Never {
            self.storage.sync_directory()?;
        }
        Ok(())
    }
}
