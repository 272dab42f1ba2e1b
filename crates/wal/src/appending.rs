//! Appends records to the log. An append writes all of its records or none, except on a full disk, where it
//! writes the records of pending messages without the new messages.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use crate::encoded_records::EncodedRecords;
use crate::error::WalError;
use crate::live_records::RecordLocation;
use crate::record::Record;
use crate::segment::{self, SEGMENT_HEADER_BYTES};
use crate::write_ahead_log::{SyncPolicy, WriteAheadLog};

/// The outcome of an append that returned no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOutcome {
    /// Whether the new messages among the records were accepted. If not, there was no space for them, and
    /// only the records of other messages were written.
    pub messages_accepted: bool,
}

/// The state of a segment before an append, used to undo the append.
#[derive(Clone, Copy)]
pub(crate) struct AppendUndo {
    segment: u64,
    /// Length in bytes; `None` if the append created the segment.
    size_before: Option<u64>,
}

impl WriteAheadLog {
    /// Writes records, and then runs one compaction step. The records survive the end of the process after a
    /// return without error; after an error none of them takes effect. If no space is left, no message is
    /// accepted, and the disk reserve is released for records of messages that are already pending.
    ///
    /// `now` is the time on any monotonic clock, and decides when syncs are due and when warnings are
    /// repeated.
    ///
    /// # Errors
    ///
    /// [`WalError::Io`] if a file operation fails, or if there is no space even for records of pending
    /// messages.
    pub fn append(&mut self, records: &[Record], now: Duration) -> Result<AppendOutcome, WalError> {
        if records.is_empty() {
            return Ok(AppendOutcome { messages_accepted: true });
        }
        match self.write_and_sync(records, now) {
            Ok(bytes) => {
                self.compact_after_append(bytes, now);
                Ok(AppendOutcome { messages_accepted: true })
            }
            Err(error) if error.is_storage_full() => self.append_on_full_disk(records, now),
            Err(error) => Err(error),
        }
    }

    /// Writes the records that concern no new message, and releases the disk reserve if they do not fit
    /// otherwise.
    fn append_on_full_disk(&mut self, records: &[Record], now: Duration) -> Result<AppendOutcome, WalError> {
        self.pending_bytes_when_full = Some(self.index.pending_bytes());
        let required = without_new_messages(records);
        let outcome = AppendOutcome { messages_accepted: required.len() == records.len() };
        if required.is_empty() {
            return Ok(outcome);
        }
        let bytes = match self.write_and_sync(&required, now) {
            Err(error) if error.is_storage_full() && self.reserve_bytes > 0 => {
                tracing::warn!("disk is full; disk reserve released for pending messages");
                self.release_reserve();
                self.write_and_sync(&required, now)?
            }
            other => other?,
        };
        self.compact_after_append(bytes, now);
        Ok(outcome)
    }

    /// Syncs all segments with unsynced bytes, unless the policy is [`SyncPolicy::Never`].
    ///
    /// # Errors
    ///
    /// [`WalError::Io`] if a sync fails; the next call tries the remaining segments again.
    pub fn sync_all(&mut self) -> Result<(), WalError> {
        if self.sync == SyncPolicy::Never {
            self.unsynced_segments.clear();
            return Ok(());
        }
        while let Some(segment) = self.unsynced_segments.first().copied() {
            self.storage.sync(&segment::file_name(segment))?;
            self.unsynced_segments.remove(&segment);
        }
        Ok(())
    }

    /// Writes records, syncs them if a sync is due, and applies them to the index. Returns the number of
    /// bytes written.
    fn write_and_sync(&mut self, records: &[Record], now: Duration) -> Result<u64, WalError> {
        self.write_retractions()?;
        let mut encoded = self.encode(records);
        let written = self.write_encoded(records, &mut encoded, now);
        self.encode_buffer = encoded.into_buffer();
        written
    }

    fn write_encoded(
        &mut self,
        records: &[Record],
        encoded: &mut EncodedRecords,
        now: Duration,
    ) -> Result<u64, WalError> {
        let undo = self.append_or_retract(records, encoded)?;
        if self.sync_is_due(now) {
            if let Err(error) = self.sync_all() {
                self.undo_append(undo);
                return Err(error);
            }
            self.last_sync = now;
        }
        self.apply_to_index(records, encoded);
        Ok(encoded.frames_bytes())
    }

    fn sync_is_due(&self, now: Duration) -> bool {
        match self.sync {
            SyncPolicy::Never => false,
            SyncPolicy::EachAppend => true,
            SyncPolicy::Interval(interval) => now >= self.last_sync + interval,
        }
    }

    /// Writes the queued retractions, which finish the messages of failed writes that could not be undone.
    fn write_retractions(&mut self) -> Result<(), WalError> {
        let retractions = std::mem::take(&mut self.retractions);
        let written = self.write_without_sync(&retractions);
        if written.is_err() {
            self.retractions.extend(retractions);
        }
        written
    }

    /// Writes records without a sync, and applies them to the index.
    pub(crate) fn write_without_sync(&mut self, records: &[Record]) -> Result<(), WalError> {
        if records.is_empty() {
            return Ok(());
        }
        let mut encoded = self.encode(records);
        let written = self.append_or_retract(records, &mut encoded);
        if written.is_ok() {
            self.apply_to_index(records, &encoded);
        }
        self.encode_buffer = encoded.into_buffer();
        written.map(drop)
    }

    fn encode(&mut self, records: &[Record]) -> EncodedRecords {
        EncodedRecords::encode(records, std::mem::take(&mut self.encode_buffer))
    }

    /// Appends records. If the append fails and can't be undone, queues retractions for its new messages.
    fn append_or_retract(
        &mut self,
        records: &[Record],
        encoded: &mut EncodedRecords,
    ) -> Result<AppendUndo, WalError> {
        let appended = self.append_encoded(encoded);
        if appended.is_err() && self.last_segment_sealed {
            let retraction = |record: &Record| match record {
                Record::Accepted(accepted) => {
                    Some(Record::Finished { id: accepted.id.clone(), notice: None })
                }
                _ => None,
            };
            self.retractions.extend(records.iter().filter_map(retraction));
        }
        appended
    }

    /// Appends frames to the last segment or a new one, after compaction if they do not fit otherwise.
    fn append_encoded(&mut self, encoded: &mut EncodedRecords) -> Result<AppendUndo, WalError> {
        self.make_room(encoded.frames_bytes() + SEGMENT_HEADER_BYTES as u64)?;
        self.append_to_segment(encoded)
    }

    /// Appends frames to the last segment or a new one, and undoes a failed append.
    pub(crate) fn append_to_segment(&mut self, encoded: &mut EncodedRecords) -> Result<AppendUndo, WalError> {
        let begins_segment = self.last_segment_sealed || self.plan.needs_new_segment(encoded.frames_bytes());
        let undo = match self.plan.last_segment().filter(|_| !begins_segment) {
            Some(last) => AppendUndo { segment: last, size_before: Some(self.plan.segment_size(last)) },
            None => AppendUndo { segment: self.plan.next_segment(), size_before: None },
        };
        let bytes = match undo.size_before {
            Some(_) => encoded.frames(),
            None => encoded.as_new_segment(undo.segment),
        };
        self.plan.set_segment_size(undo.segment, undo.size_before.unwrap_or_default() + bytes.len() as u64);
        let mut written = self.storage.append(&segment::file_name(undo.segment), bytes);
        if undo.size_before.is_none() && self.sync != SyncPolicy::Never {
            written = written.and_then(|()| self.storage.sync_directory());
        }
        if let Err(error) = written {
            self.undo_append(undo);
            return Err(error.into());
        }
        self.unsynced_segments.insert(undo.segment);
        self.last_segment_sealed = false;
        Ok(undo)
    }

    /// Undoes a failed append. If that fails too, seals the segment, so that nothing is appended after a torn
    /// write.
    fn undo_append(&mut self, undo: AppendUndo) {
        let AppendUndo { segment, size_before } = undo;
        let file = segment::file_name(segment);
        let undone = match size_before {
            Some(size) => self.storage.truncate(&file, size),
            None => match self.storage.remove(&file) {
                Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
                other => other,
            },
        };
        match (undone, size_before) {
            (Ok(()), Some(size)) => self.plan.set_segment_size(segment, size),
            (Ok(()), None) => {
                self.plan.remove_segment(segment);
                self.unsynced_segments.remove(&segment);
            }
            (Err(error), _) => {
                tracing::warn!(%error, file, "failed write could not be undone, new segment begun");
                self.last_segment_sealed = true;
                self.corrupt_segments.insert(segment);
            }
        }
    }

    /// Applies records to the index. Their frames must be the last ones of the last segment.
    pub(crate) fn apply_to_index(&mut self, records: &[Record], encoded: &EncodedRecords) {
        let Some(last) = self.plan.last_segment() else { return };
        let mut offset = self.plan.segment_size(last) - encoded.frames_bytes();
        for (record, length) in records.iter().zip(encoded.frame_lengths()) {
            self.index.apply(record.view(), RecordLocation { segment: last, offset, length });
            offset += length as u64;
        }
    }
}

/// Returns all records except new messages and their attempts; these are written even if no message can be
/// accepted.
fn without_new_messages(records: &[Record]) -> Vec<Record> {
    let accepted: BTreeSet<&str> = records
        .iter()
        .filter_map(|record| match record {
            Record::Accepted(accepted) => Some(accepted.id.as_str()),
            _ => None,
        })
        .collect();
    let is_required = |record: &&Record| match record {
        Record::Accepted(_) => false,
        Record::AttemptStarted { id, .. } | Record::AttemptFinished { id, .. } => {
            !accepted.contains(id.as_str())
        }
        Record::Finished { .. } | Record::NoticeAcknowledged { .. } | Record::Checkpoint(_) => true,
    };
    records.iter().filter(is_required).cloned().collect()
}
