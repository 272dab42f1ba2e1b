//! Opens a write-ahead log: recovers the state, removes files that a killed process left, and migrates the
//! oldest format.

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

/// Maximum number of corrupt places that are logged when a log is opened; `reeddock wal --verify` lists more.
const MAX_LOGGED_CORRUPTIONS: usize = 10;
/// Maximum number of orphans (messages of which only the id is known) that are logged when a log is opened.
const MAX_LOGGED_ORPHANS: usize = 20;
/// Maximum number of records that a migration writes in one append.
const MIGRATION_RECORDS_PER_APPEND: usize = 64;

impl WriteAheadLog {
    /// Opens the write-ahead log of a folder for writing, and locks the folder. All files together take at
    /// most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`WalError::AlreadyOpen`] if another process has the log open for writing,
    /// [`WalError::UnsupportedVersion`] if a later program wrote the log, and [`WalError::Io`] if a file
    /// operation fails. Corruption is not an error; it is reported by [`WriteAheadLog::verification`].
    pub fn open(folder: &Path, max_bytes: u64, sync: SyncPolicy) -> Result<WriteAheadLog, WalError> {
        let storage = FileStorage::open_for_writing(folder)?;
        WriteAheadLog::open_in(Box::new(storage), max_bytes, sync)
    }

    /// Opens the write-ahead log of any storage for writing, without a lock.
    ///
    /// # Errors
    ///
    /// The errors of [`WriteAheadLog::open`] except [`WalError::AlreadyOpen`].
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
            quarantine: Quarantine::from_files(&files),
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
            log.truncate_torn_write(recovered.torn_at);
        }
        log.last_segment_sealed |= recovered.last_segment_is_older || log.last_segment_is_corrupt();
        log.fill_reserve();
        Ok(log)
    }

    /// Removes files that a killed process left: a manifest that has not replaced the current one, and
    /// superseded segments.
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

    /// Removes the single file if a migration was killed after it wrote the segments.
    fn remove_migrated_single_file(&mut self, files: &BTreeMap<String, u64>) -> Result<(), WalError> {
        if files.contains_key(single_file::FILE_NAME) {
            self.storage.remove(single_file::FILE_NAME)?;
        }
        Ok(())
    }

    /// Returns whether the last segment has a corrupt part, after which nothing may be appended.
    fn last_segment_is_corrupt(&self) -> bool {
        self.plan.last_segment().is_some_and(|last| self.corrupt_segments.contains(&last))
    }

    /// Cuts off the torn write that a killed process left at the end of the last segment.
    fn truncate_torn_write(&mut self, torn_at: Option<u64>) {
        let (Some(offset), Some(last)) = (torn_at, self.plan.last_segment()) else { return };
        if self.corrupt_segments.contains(&last) {
            return;
        }
        let file = segment::file_name(last);
        tracing::warn!(file, offset, bytes = self.verification.torn_bytes, "torn write cut off");
        match self.storage.truncate(&file, offset) {
            Ok(()) if offset == 0 => {
                // The segment's header is incomplete.
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

    /// Logs the corrupt places, and how many messages they may concern.
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

    /// Migrates the single file of the oldest format to segments, and removes the file. A file with corrupt
    /// parts is quarantined.
    fn migrate_single_file(&mut self, bytes: &[u8]) -> Result<(), WalError> {
        let recovered = std::mem::take(&mut self.index);
        let records = records_to_migrate(&recovered, bytes)?;
        for group in records.chunks(MIGRATION_RECORDS_PER_APPEND) {
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

/// Returns a checkpoint for each pending message, then a record for each unacknowledged notice.
///
/// If a message with an unacknowledged notice was accepted again under the same id, only the checkpoint is
/// returned, as in compaction.
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
        let accepted =
            single_file::read_message(bytes, location).ok_or_else(|| corrupt_record_error(location))?;
        records.push(Record::Checkpoint(message.checkpoint(accepted)));
    }
    Ok(records)
}

/// Returns the error for a record of the single file that can't be decoded.
fn corrupt_record_error(location: RecordLocation) -> WalError {
    WalError::CorruptRecord { file: single_file::FILE_NAME.to_owned(), offset: location.offset }
}
