//! Decides what compaction does next and what fits into the folder, from sizes alone. No I/O.
//!
//! The write-ahead log is a sequence of segments. Records are appended to the last one. The first one is emptied by
//! copying its live records to the end, and then dropped. Segments are dropped in their order only: the record that
//! finishes a message is always behind the one that accepted it, so that no `Accepted` record ever remains without its
//! `Finished` record, and no `Finished` record has to be kept because of an older segment.
//!
//! # Invariants
//!
//! - All files together never have more than [`CompactionPlan::max_bytes`], counted in whole blocks.
//! - Pending messages may fill two fifths of that. Compaction starts at [`CompactionPlan::start_threshold`] and
//!   copies at least [`COPIED_PER_APPENDED_BYTE`] bytes for each byte appended, so that it is through all segments
//!   before the rest is full: while two fifths are copied, the log grows by what is appended, two fifteenths, and one
//!   segment.
//! - There is always space for the attempts and final records of pending messages: it is set aside when the message is
//!   accepted (`AcceptedMessage::reserved_bytes`), and the disk reserve guarantees it.

use std::collections::BTreeMap;

/// Files are counted in whole blocks of this size, as file systems allocate them.
pub const BLOCK_BYTES: u64 = 512;
/// Bytes copied for each byte appended while a segment is being compacted; see the module's documentation.
pub const COPIED_PER_APPENDED_BYTE: u64 = 3;
/// The least that a step copies, in bytes: with less, compaction behind short appends would never end.
pub const MIN_STEP_BYTES: u64 = 4 * 1024;
/// The most that a step copies, in bytes: with more, the append before it would take long.
pub const MAX_STEP_BYTES: u64 = 256 * 1024;
/// The folder's limit is divided into this many segments, within the two bounds that follow.
const SEGMENTS_PER_FOLDER: u64 = 24;
/// A shorter segment would be mostly block rounding and header.
const MIN_SEGMENT_BYTES: u64 = 4 * 1024;
/// Dropping a file takes time in proportion to its size.
const MAX_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// The disk reserve is one part in this many of the folder's limit, up to [`MAX_RESERVE_BYTES`].
const RESERVE_SHARE: u64 = 16;
/// The most bytes of the disk reserve.
const MAX_RESERVE_BYTES: u64 = 8 * MAX_SEGMENT_BYTES;

/// A length rounded up to whole blocks, in bytes.
pub fn whole_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// Sizes of all segments, and the decisions that follow from them.
#[derive(Clone, Debug)]
pub struct CompactionPlan {
    max_bytes: u64,
    max_segment_bytes: u64,
    reserve_bytes: u64,
    /// The number of the next new segment while there is none.
    first_number: u64,
    /// Bytes of each segment, by number.
    segment_sizes: BTreeMap<u64, u64>,
    /// Bytes of files beside the segments: manifests, reserve, quarantine.
    auxiliary_bytes: u64,
    /// Bytes that may still be copied, earned by appends.
    copy_credit: u64,
}

/// What compaction does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionStep {
    /// Nothing.
    Idle,
    /// Compact this segment further.
    Copy {
        /// The number of the segment, which is the first.
        segment: u64,
        /// The most bytes of live records that are copied.
        bytes: u64,
    },
}

impl CompactionPlan {
    /// The plan of a folder that may hold `max_bytes`, without segments yet.
    pub fn new(max_bytes: u64) -> CompactionPlan {
        CompactionPlan {
            max_bytes,
            max_segment_bytes: (max_bytes / SEGMENTS_PER_FOLDER).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
            reserve_bytes: whole_blocks((max_bytes / RESERVE_SHARE).min(MAX_RESERVE_BYTES)),
            first_number: 1,
            segment_sizes: BTreeMap::new(),
            auxiliary_bytes: 0,
            copy_credit: 0,
        }
    }

    /// Bytes that the folder may hold.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Bytes of a segment, after which a new one is begun.
    pub fn max_segment_bytes(&self) -> u64 {
        self.max_segment_bytes
    }

    /// Bytes of the whole disk reserve.
    pub fn reserve_bytes(&self) -> u64 {
        self.reserve_bytes
    }

    /// Bytes that pending messages and unacknowledged notices may take: two fifths of the folder.
    pub fn max_pending_bytes(&self) -> u64 {
        self.max_bytes * 2 / 5
    }

    /// Compaction starts when all files together have this many bytes: eleven twentieths of the folder, or in a large
    /// folder as soon as they have far more than is pending, since a start reads all of them.
    pub fn start_threshold(&self, pending_bytes: u64) -> u64 {
        (self.max_bytes * 11 / 20).min(2 * pending_bytes + 4 * self.max_segment_bytes)
    }

    /// Sets the number of the first segment that counts; lower numbers were dropped.
    pub fn set_first_number(&mut self, segment: u64) {
        self.first_number = segment;
    }

    /// Records the size of a segment.
    pub fn set_segment_size(&mut self, segment: u64, bytes: u64) {
        self.segment_sizes.insert(segment, bytes);
    }

    /// Bytes of a segment; 0 if there is none with this number.
    pub fn segment_size(&self, segment: u64) -> u64 {
        self.segment_sizes.get(&segment).copied().unwrap_or_default()
    }

    /// Records that a segment was removed.
    pub fn remove_segment(&mut self, segment: u64) {
        self.segment_sizes.remove(&segment);
    }

    /// Records the bytes of all files beside the segments.
    pub fn set_auxiliary_bytes(&mut self, bytes: u64) {
        self.auxiliary_bytes = bytes;
    }

    /// Bytes of all files, in whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.segment_sizes.values().map(|size| whole_blocks(*size)).sum::<u64>() + self.auxiliary_bytes
    }

    /// Whether an append of `bytes` bytes fits, even if it begins a new segment.
    pub fn fits(&self, bytes: u64) -> bool {
        self.used_bytes() + whole_blocks(bytes) + BLOCK_BYTES <= self.max_bytes
    }

    /// Whether an append of `bytes` bytes begins a new segment.
    pub fn needs_new_segment(&self, bytes: u64) -> bool {
        let last = self.segment_sizes.last_key_value();
        last.is_none_or(|(_, size)| *size > 0 && size + bytes > self.max_segment_bytes)
    }

    /// The number of the next new segment.
    pub fn next_segment(&self) -> u64 {
        self.last_segment().map_or(self.first_number, |last| last + 1)
    }

    /// The number of the first segment, which is the one to compact.
    pub fn first_segment(&self) -> Option<u64> {
        self.segment_sizes.first_key_value().map(|(number, _)| *number)
    }

    /// The number of the last segment, which is the one to append to.
    pub fn last_segment(&self) -> Option<u64> {
        self.segment_sizes.last_key_value().map(|(number, _)| *number)
    }

    /// The step after an append of `bytes` bytes, while `pending_bytes` are pending.
    pub fn after_append(&mut self, bytes: u64, pending_bytes: u64) -> CompactionStep {
        if self.used_bytes() < self.start_threshold(pending_bytes) {
            self.copy_credit = 0;
            return CompactionStep::Idle;
        }
        let earned = COPIED_PER_APPENDED_BYTE * bytes;
        self.copy_credit = (self.copy_credit + earned).clamp(MIN_STEP_BYTES, MAX_STEP_BYTES);
        let step = self.copy_first_segment(self.copy_credit);
        if step == CompactionStep::Idle {
            self.copy_credit = 0;
        }
        step
    }

    /// Records that a step copied `bytes` bytes.
    pub fn consume_credit(&mut self, bytes: u64) {
        self.copy_credit = self.copy_credit.saturating_sub(bytes);
    }

    /// The step to take when there is no room for what must be written, regardless of how long it takes.
    pub fn forced_step(&self) -> CompactionStep {
        self.copy_first_segment(MAX_STEP_BYTES)
    }

    /// Copies from the first segment, unless it is also the last, which is being written.
    fn copy_first_segment(&self, bytes: u64) -> CompactionStep {
        match self.first_segment() {
            Some(segment) if Some(segment) != self.last_segment() => CompactionStep::Copy { segment, bytes },
            _ => CompactionStep::Idle,
        }
    }
}
