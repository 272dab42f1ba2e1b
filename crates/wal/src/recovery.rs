//! Reads the write-ahead log of a folder without changing any file.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;

use crate::error::WalError;
use crate::live_records::RecordLocation;
use crate::manifest::{self, StoredManifest, MANIFEST_FILE};
use crate::pending_index::PendingIndex;
use crate::segment::{self, SegmentHeader, SEGMENT_HEADER_BYTES, VERSION};
use crate::segment_scan::{ScanItem, SegmentScan};
use crate::single_file;
use crate::storage::Storage;
use crate::verification::{Corruption, VerificationReport};

/// Maximum number of missing segments that are reported for one gap in the numbers.
const MAX_REPORTED_MISSING_SEGMENTS: u64 = 1000;

/// Whether a segment is the last one, to which records were appended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SegmentPosition {
    /// The last segment, which may end in a torn write.
    Last,
    /// A segment that is followed by another one, and must be complete.
    Earlier,
}

/// The state of a write-ahead log, as read from its files.
pub(crate) struct RecoveredState {
    /// Pending messages and unacknowledged notices that result from the records.
    pub index: PendingIndex,
    /// Corrupt parts, and totals of what was read.
    pub verification: VerificationReport,
    /// Numbers of the segments in use, with their lengths in bytes.
    pub segments: BTreeMap<u64, u64>,
    /// Numbers of segments with unreadable parts.
    pub corrupt_segments: BTreeSet<u64>,
    /// Offset of the torn write at the end of the last segment, in bytes; `None` if there is no torn write.
    pub torn_at: Option<u64>,
    /// Numbers of segments that were compacted but not removed yet, or were left by an interrupted migration.
    pub superseded_segments: Vec<u64>,
    /// Number of the first segment in use.
    pub first_segment: u64,
    /// Content of the single file of the oldest format; `None` if there is none, or if the folder is already
    /// migrated.
    pub single_file: Option<Vec<u8>>,
    /// Whether a manifest exists, even if it is corrupt.
    pub has_manifest: bool,
    /// Whether the last segment has an older format version.
    pub last_segment_is_older: bool,
}

/// Reads the write-ahead log of a folder.
///
/// # Errors
///
/// [`WalError::UnsupportedVersion`] if the manifest or any segment has a later version, and [`WalError::Io`]
/// if a file can't be read.
pub(crate) fn read(storage: &dyn Storage) -> Result<RecoveredState, WalError> {
    let files = storage.files()?;
    let manifest = manifest::read(storage, &files)?;
    let sizes = files.iter().filter_map(|(name, size)| Some((segment::parse_file_name(name)?, *size)));
    let mut state = RecoveredState::new(sizes.collect(), manifest);
    check_versions(storage, &state.segments)?;
    if matches!(manifest, StoredManifest::Missing) && files.contains_key(single_file::FILE_NAME) {
        state.read_single_file(storage)?;
        return Ok(state);
    }
    let manifest_bytes = files.get(MANIFEST_FILE).copied().unwrap_or_default();
    state.select_segments(manifest, manifest_bytes);
    state.read_segments(storage)?;
    Ok(state)
}

/// Fails if any segment has a later version than this program reads.
fn check_versions(storage: &dyn Storage, segments: &BTreeMap<u64, u64>) -> Result<(), WalError> {
    for number in segments.keys() {
        let file = segment::file_name(*number);
        let scan = SegmentScan::start(storage.reader(&file)?, *number)?;
        if let SegmentHeader::Unsupported { version } = scan.header() {
            return Err(WalError::UnsupportedVersion { file, found: version, newest: VERSION });
        }
    }
    Ok(())
}

impl RecoveredState {
    fn new(segments: BTreeMap<u64, u64>, manifest: StoredManifest) -> RecoveredState {
        RecoveredState {
            index: PendingIndex::default(),
            verification: VerificationReport::default(),
            segments,
            corrupt_segments: BTreeSet::new(),
            torn_at: None,
            superseded_segments: Vec::new(),
            first_segment: 1,
            single_file: None,
            has_manifest: !matches!(manifest, StoredManifest::Missing),
            last_segment_is_older: false,
        }
    }

    /// Reads the single file of the oldest format. Any segments next to the file were left by an interrupted
    /// migration.
    fn read_single_file(&mut self, storage: &dyn Storage) -> Result<(), WalError> {
        self.superseded_segments = std::mem::take(&mut self.segments).into_keys().collect();
        let mut bytes = Vec::new();
        storage.reader(single_file::FILE_NAME)?.read_to_end(&mut bytes)?;
        for corruption in single_file::read(&bytes, &mut self.index) {
            self.verification.add(corruption);
        }
        self.verification.bytes = bytes.len() as u64;
        self.single_file = Some(bytes);
        Ok(())
    }

    /// Finds the first segment in use, and moves the segments before it to `superseded_segments`.
    fn select_segments(&mut self, manifest: StoredManifest, manifest_bytes: u64) {
        let lowest = self.segments.keys().next().copied();
        self.first_segment = match manifest {
            StoredManifest::Valid(manifest) => manifest.first_segment,
            StoredManifest::Missing if lowest.is_none() => 1,
            StoredManifest::Missing | StoredManifest::Corrupt => {
                self.verification.add(Corruption::new(MANIFEST_FILE, 0, manifest_bytes));
                lowest.unwrap_or(1)
            }
        };
        let in_use = self.segments.split_off(&self.first_segment);
        let superseded = std::mem::replace(&mut self.segments, in_use);
        self.superseded_segments = superseded.into_keys().collect();
        if self.segments.is_empty() && self.first_segment > 1 {
            // Compaction never removes the last segment, so that at least one must exist.
            self.verification.add(Corruption::missing(&segment::file_name(self.first_segment)));
        }
    }

    /// Reads the segments in use in the order of their numbers, and reports missing ones.
    fn read_segments(&mut self, storage: &dyn Storage) -> Result<(), WalError> {
        let last = self.segments.keys().next_back().copied();
        let mut expected = self.first_segment;
        for (number, size) in self.segments.clone() {
            for missing in expected..number.min(expected + MAX_REPORTED_MISSING_SEGMENTS) {
                self.verification.add(Corruption::missing(&segment::file_name(missing)));
                self.index.mark_records_lost();
            }
            expected = number + 1;
            self.verification.segments += 1;
            self.verification.bytes += size;
            let position =
                if Some(number) == last { SegmentPosition::Last } else { SegmentPosition::Earlier };
            self.read_segment(storage, number, position)?;
        }
        Ok(())
    }

    /// Reads the header and the records of one segment.
    fn read_segment(
        &mut self,
        storage: &dyn Storage,
        number: u64,
        position: SegmentPosition,
    ) -> Result<(), WalError> {
        let is_last = position == SegmentPosition::Last;
        let file = segment::file_name(number);
        let scan = SegmentScan::start(storage.reader(&file)?, number)?;
        match scan.header() {
            SegmentHeader::Incomplete if is_last => {
                // The write that created the segment was torn before its first record.
                self.verification.torn_bytes += self.segments.get(&number).copied().unwrap_or_default();
                self.torn_at = Some(0);
                return Ok(());
            }
            SegmentHeader::Incomplete | SegmentHeader::Corrupt => {
                self.add_corruption(number, Corruption::new(&file, 0, SEGMENT_HEADER_BYTES as u64));
            }
            // A segment of an older version is not appended to, because the older program would report the
            // new records as corruption.
            SegmentHeader::Supported { version } if is_last => self.last_segment_is_older = version < VERSION,
            SegmentHeader::Supported { .. } | SegmentHeader::Unsupported { .. } => {}
        }
        self.read_records(scan, number, position)
    }

    /// Applies the records of a segment to the index, and reports corrupt parts.
    fn read_records(
        &mut self,
        mut scan: SegmentScan<impl Read>,
        number: u64,
        position: SegmentPosition,
    ) -> Result<(), WalError> {
        let file = segment::file_name(number);
        loop {
            match scan.next_item()? {
                ScanItem::Record { offset, length } => {
                    self.verification.records += 1;
                    let location = RecordLocation { segment: number, offset, length };
                    match scan.record() {
                        Some(record) => self.index.apply(record, location),
                        None => self.add_corruption(number, Corruption::new(&file, offset, length as u64)),
                    }
                }
                ScanItem::Corrupt { offset, bytes, hint } => {
                    self.add_corruption(number, Corruption::new(&file, offset, bytes).with_hint(hint));
                }
                ScanItem::Torn { offset, bytes } if position == SegmentPosition::Last => {
                    self.verification.torn_bytes += bytes;
                    self.torn_at = Some(offset);
                }
                ScanItem::Torn { offset, bytes } => {
                    self.add_corruption(number, Corruption::new(&file, offset, bytes));
                }
                ScanItem::End => return Ok(()),
            }
        }
    }

    /// Reports a corrupt part, and marks all messages that are pending at this point of the log, because
    /// their records may have been in the corrupt part.
    fn add_corruption(&mut self, segment: u64, corruption: Corruption) {
        self.verification.add(corruption);
        self.index.mark_records_lost();
        self.corrupt_segments.insert(segment);
    }
}
