//! Opening a write-ahead log: recovers its state, removes leftovers of a killed process, and migrates the oldest
//! format.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use crate::compaction_plan::CompactionPlan;
use crate::disk_reserve::RESERVE_FILE;
use crate::error::WalError;
use crate::file_storage::FileStorage;
use crate::live_records::RecordLocation;
use crate::manifest::NEXT_MANIFEST_FILE;
use crate::pending_index::PendingIndex;
use crate::quarantine::Quarantine;
use crate::record::Record;
use crate::recovery;
use crate::segment;
use crate::single_file;
use crate::storage::Storage;
use crate::write_ahead_log::{SyncPolicy, WriteAheadLog};

/// The most corrupt places that are logged; `reeddock wal --verify` lists more.
const MAX_LOGGED_CORRUPTIONS: usize = 10;
/// The most orphans (messages known by their id only) that are named in the log.
const MAX_LOGGED_ORPHANS: usize = 20;
/// The most messages and notices that a migration writes in one append.
const MIGRATION_GROUP: usize = 64;

impl WriteAheadLog {
    /// Opens the write-ahead log of a folder that may hold `max_bytes`, and locks the folder.
    ///
    /// # Errors
    ///
    /// [`WalError::AlreadyOpen`] if another process has it open for writing, [`WalError::UnsupportedVersion`] if a
    /// later program wrote it, and I/O errors. Corruption is no error: see [`WriteAheadLog::verification`].
    pub fn open(folder: &Path, max_bytes: u64, sync: SyncPolicy) -> Result<WriteAheadLog, WalError> {
        let storage = FileStorage::open_for_writing(folder)?;
        WriteAheadLog::open_in(Box::new(storage), max_bytes, sync)
    }

    /// Opens the write-ahead log of any storage.
    ///
    /// # Errors
    ///
    /// As for [`WriteAheadLog::open`], except for the lock.
    pub fn open_in(
        storage: Box<dyn Storage>,
        max_bytes: u64,
        sync: SyncPolicy,
    ) -> Result<WriteAheadLog, WalError> {
        let recovered = recovery::read(&*storage)?;
        let files = storage.files()?;
        let mut log = WriteAheadLog {
            storage,
            plan: CompactionPlan::new(max_bytes),
            sync,
            index: recovered.index,
            verification: recovered.verification,
            last_segment_sealed: false,
            retractions: Vec::new(),
            unsynced_segments: BTreeSet::new(),
            last_sync: Duration::ZERO,
            corrupt_segments: recovered.corrupt_segments,
            compaction_offset: 0,
            reserve_bytes: files.get(RESERVE_FILE).copied().unwrap_or_default(),
            pending_bytes_when_full: None,
            quarantine: Quarantine::among(&files),
            encode_buffer: Vec::new(),
            compaction_warnings_muted_until: Duration::ZERO,
        };
        log.remove_leftovers(&files, &recovered.superseded_segments)?;
        log.report_corruption();
        log.plan.set_first_number(recovered.first_segment);
        for (number, size) in &recovered.segments {
            log.plan.set_segment_size(*number, *size);
        }
        log.update_auxiliary_bytes();
        if let Some(bytes) = recovered.single_file {
            log.migrate_single_file(&bytes)?;
        } else {
            if !recovered.has_manifest || !log.verification.is_sound() {
                log.write_manifest(recovered.first_segment)?;
            }
            log.remove_migrated_single_file(&files)?;
            log.cut_torn_write(recovered.torn_at);
        }
        log.last_segment_sealed |= recovered.last_segment_is_older || log.last_segment_is_corrupt();
        log.fill_reserve();
        Ok(log)
    }

    /// Removes files that a killed process left: a manifest that is not in force yet, and superseded segments.
    fn remove_leftovers(
        &mut self,
        files: &BTreeMap<String, u64>,
        superseded: &[u64],
    ) -> Result<(), WalError> {
        if files.contains_key(NEXT_MANIFEST_FILE) {
            self.storage.remove(NEXT_MANIFEST_FILE)?;
        }
        for number in superseded {
            self.storage.remove(&segment::file_name(*number))?;
        }
        Ok(())
    }

    /// Removes the single file if a start that migrated it was killed before it removed it.
    fn remove_migrated_single_file(&mut self, files: &BTreeMap<String, u64>) -> Result<(), WalError> {
        if files.contains_key(single_file::FILE_NAME) {
            self.storage.remove(single_file::FILE_NAME)?;
        }
        Ok(())
    }

    /// Whether the last segment has a corrupt part: nothing is appended behind one.
    fn last_segment_is_corrupt(&self) -> bool {
        self.plan.last_segment().is_some_and(|last| self.corrupt_segments.contains(&last))
    }

    /// Cuts the torn write that a killed process left at the end of the last segment.
    fn cut_torn_write(&mut self, torn_at: Option<u64>) {
        let (Some(offset), Some(last)) = (torn_at, self.plan.last_segment()) else { return };
        if self.corrupt_segments.contains(&last) {
            return;
        }
        let file = segment::file_name(last);
        tracing::warn!(file, offset, bytes = self.verification.torn_bytes, "torn write cut off");
        match self.storage.truncate(&file, offset) {
            Ok(()) if offset == 0 => {
                // Not even its header is whole.
                self.last_segment_sealed = self.storage.remove(&file).is_err();
                if !self.last_segment_sealed {
                    self.plan.remove_segment(last);
                }
            }
            Ok(()) => self.plan.set_segment_size(last, offset),
            Err(error) => {
                tracing::warn!(%error, file, "torn write could not be cut off, new segment begun");
                self.last_segment_sealed = true;
            }
        }
    }

    /// Logs the corrupt places, and the messages that they concern.
    fn report_corruption(&self) {
        if self.verification.is_sound() {
            return;
        }
        for corruption in self.verification.corruptions.iter().take(MAX_LOGGED_CORRUPTIONS) {
            tracing::error!(%corruption, "write-ahead log is corrupt");
        }
        let possibly_executed = self.index.pending().iter().filter(|message| message.records_lost).count();
        let known_by_id_only: Vec<&str> =
            self.index.orphans().take(MAX_LOGGED_ORPHANS).map(|id| &*id.0).collect();
        tracing::error!(
            places = self.verification.corruption_count(),
            possibly_executed,
            ?known_by_id_only,
            unlisted = self.index.unlisted_orphans(),
            "records were lost to corruption; `reeddock wal --verify` lists all places"
        );
    }

    /// Writes the contents of the oldest format's single file as segments, and removes the file; if part of it can't be
    /// read, it is quarantined.
    fn migrate_single_file(&mut self, bytes: &[u8]) -> Result<(), WalError> {
        let recovered = std::mem::take(&mut self.index);
        let records = records_to_migrate(&recovered, bytes)?;
        for group in records.chunks(MIGRATION_GROUP) {
            self.write_without_sync(group)?;
        }
        self.sync_all()?;
        let first = self.plan.first_segment().unwrap_or(1);
        self.write_manifest(first)?;
        if self.verification.is_sound() {
            self.storage.remove(single_file::FILE_NAME)?;
        } else {
            let quarantined = Quarantine::name_for(single_file::FILE_NAME);
            self.storage.rename(single_file::FILE_NAME, &quarantined)?;
            self.quarantine.insert(quarantined, bytes.len() as u64);
            self.update_auxiliary_bytes();
        }
        tracing::info!(records = records.len(), "single file of the oldest format migrated to segments");
        Ok(())
    }
}

/// A checkpoint for each pending message, then a record for each unacknowledged notice.
///
/// If a message with an unacknowledged notice was accepted again under the same id, only the checkpoint is written, as
/// in compaction.
fn records_to_migrate(index: &PendingIndex, bytes: &[u8]) -> Result<Vec<Record>, WalError> {
    let pending = index.pending().into_iter().map(|message| message.id.clone());
    let notified = index.unacknowledged_notices().map(|notice| notice.id);
    let mut records = Vec::new();
    for id in pending.chain(notified) {
        let Some(message) = index.get(&id) else {
            records.extend(index.notice_record(&id));
            continue;
        };
        let location = message.location();
        let accepted = single_file::read_message(bytes, location).ok_or_else(|| corrupt_at(location))?;
        records.push(Record::Checkpoint(message.checkpoint(accepted)));
    }
    Ok(records)
}

/// The error for a record of the single file that can't be decoded.
fn corrupt_at(location: RecordLocation) -> WalError {
    WalError::CorruptRecord { file: single_file::FILE_NAME.to_owned(), offset: location.offset }
}
