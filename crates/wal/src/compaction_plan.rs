//! Decides what compaction does next and what fits into the folder, from sizes alone and without I/O.
//!
//! Records are appended to the last segment. Compaction copies the live records of the first segment to the
//! end of the log, and then removes the segment. Segments are removed only in the order of their numbers: a
//! `Finished` record always follows the `Accepted` record of its message, so that no `Finished` record is
//! removed before its `Accepted` record.
//!
//! # Invariants
//!
//! - All files together take at most [`CompactionPlan::max_bytes`], counted in whole blocks.
//! - Pending messages take at most two fifths of that limit. Compaction starts at
//!   [`CompactionPlan::start_threshold`] and copies [`COPIED_PER_APPENDED_BYTE`] bytes for each byte
//!   appended, so that it passes all segments before the folder is full: while two fifths of the limit are
//!   copied, appends add two fifteenths and one segment.
//! - Attempt records and final records of pending messages always have space: it is reserved when the message
//!   is accepted (`AcceptedMessage::reserved_bytes`), and backed by the disk reserve.

use std::collections::BTreeMap;

/// Size of a disk block. File sizes are rounded up to whole blocks, as file systems allocate space.
pub const DISK_BLOCK_BYTES: u64 = 512;
/// Bytes copied for each byte appended during compaction; see the invariants of the module.
pub const COPIED_PER_APPENDED_BYTE: u64 = 3;
/// Minimum copy limit of a step. With less, a compaction behind short appends would never end.
pub const MIN_STEP_BYTES: u64 = 4 * 1024;
/// Maximum copy limit of a step, which bounds the delay of the append that runs the step.
pub const MAX_STEP_BYTES: u64 = 256 * 1024;
/// Divisor of the folder's limit that gives the size of a segment, between [`MIN_SEGMENT_BYTES`] and
/// [`MAX_SEGMENT_BYTES`].
const FOLDER_SEGMENT_DIVISOR: u64 = 24;
/// Lower bound of [`CompactionPlan::max_segment_bytes`], which limits the overhead of headers and block
/// rounding.
const MIN_SEGMENT_BYTES: u64 = 4 * 1024;
/// Upper bound of [`CompactionPlan::max_segment_bytes`], which limits the time to remove a file.
const MAX_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Divisor of the folder's limit that gives the size of the disk reserve, up to [`MAX_RESERVE_BYTES`].
const RESERVE_DIVISOR: u64 = 16;
const MAX_RESERVE_BYTES: u64 = 8 * MAX_SEGMENT_BYTES;

/// Returns a length rounded up to whole blocks, in bytes.
pub fn round_up_to_disk_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
}

/// The sizes of all files in a folder, and the compaction decisions that result from them.
#[derive(Clone, Debug)]
pub struct CompactionPlan {
    max_bytes: u64,
    max_segment_bytes: u64,
    reserve_bytes: u64,
    /// Number of the next new segment while there are no segments.
    first_number: u64,
    /// Size of each segment in bytes, by number.
    segment_sizes: BTreeMap<u64, u64>,
    /// Size of all files except segments: manifests, disk reserve, quarantine.
    auxiliary_bytes: u64,
    /// Bytes that the next steps may copy; increased by appends and reduced by copies.
    copy_credit: u64,
}

/// The next step of compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionStep {
    /// No compaction is due or possible.
    Idle,
    /// Live records of the first segment are copied to the end of the log.
    Copy {
        /// Number of the first segment.
        segment: u64,
        /// Live records are copied until they have this many bytes.
        bytes: u64,
    },
}

impl CompactionPlan {
    /// Creates the plan of a folder with a limit of `max_bytes` and without segments.
    pub fn new(max_bytes: u64) -> CompactionPlan {
        CompactionPlan {
            max_bytes,
            max_segment_bytes: (max_bytes / FOLDER_SEGMENT_DIVISOR)
                .clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
            reserve_bytes: round_up_to_disk_blocks((max_bytes / RESERVE_DIVISOR).min(MAX_RESERVE_BYTES)),
            first_number: 1,
            segment_sizes: BTreeMap::new(),
            auxiliary_bytes: 0,
            copy_credit: 0,
        }
    }

    /// Returns the folder's limit in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns the size in bytes above which a new segment is started.
    pub fn max_segment_bytes(&self) -> u64 {
        self.max_segment_bytes
    }

    /// Returns the size of the complete disk reserve in bytes.
    pub fn reserve_bytes(&self) -> u64 {
        self.reserve_bytes
    }

    /// Returns the maximum bytes that may be reserved for pending messages and unacknowledged notices: two
    /// fifths of the folder's limit.
    pub fn max_pending_bytes(&self) -> u64 {
        self.max_bytes * 2 / 5
    }

    /// Returns the size of all files, in bytes, at which compaction starts: eleven twentieths of the folder's
    /// limit, or less if the files are much larger than what is pending, because a start reads all files.
    pub fn start_threshold(&self, pending_bytes: u64) -> u64 {
        (self.max_bytes * 11 / 20).min(2 * pending_bytes + 4 * self.max_segment_bytes)
    }

    /// Sets the number that the first new segment gets while there are no segments.
    pub fn set_first_number(&mut self, segment: u64) {
        self.first_number = segment;
    }

    /// Sets the size of a segment in bytes, and adds the segment if the plan does not have it.
    pub fn set_segment_size(&mut self, segment: u64, bytes: u64) {
        self.segment_sizes.insert(segment, bytes);
    }

    /// Returns the size of a segment in bytes; 0 if there is none with this number.
    pub fn segment_size(&self, segment: u64) -> u64 {
        self.segment_sizes.get(&segment).copied().unwrap_or_default()
    }

    /// Removes a segment from the plan.
    pub fn remove_segment(&mut self, segment: u64) {
        self.segment_sizes.remove(&segment);
    }

    /// Sets the size in bytes of all files except segments.
    pub fn set_auxiliary_bytes(&mut self, bytes: u64) {
        self.auxiliary_bytes = bytes;
    }

    /// Returns the size of all files in bytes, each rounded up to whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.segment_sizes.values().map(|size| round_up_to_disk_blocks(*size)).sum::<u64>()
            + self.auxiliary_bytes
    }

    /// Returns whether an append of `bytes` bytes fits, even if it starts a new segment.
    pub fn fits(&self, bytes: u64) -> bool {
        self.used_bytes() + round_up_to_disk_blocks(bytes) + DISK_BLOCK_BYTES <= self.max_bytes
    }

    /// Returns whether an append of `bytes` bytes must start a new segment.
    pub fn needs_new_segment(&self, bytes: u64) -> bool {
        let last = self.segment_sizes.last_key_value();
        last.is_none_or(|(_, size)| *size > 0 && size + bytes > self.max_segment_bytes)
    }

    /// Returns the number of the next new segment.
    pub fn next_segment(&self) -> u64 {
        self.last_segment().map_or(self.first_number, |last| last + 1)
    }

    /// Returns the number of the first segment, which is compacted next; `None` if there are no segments.
    pub fn first_segment(&self) -> Option<u64> {
        self.segment_sizes.first_key_value().map(|(number, _)| *number)
    }

    /// Returns the number of the last segment, which is appended to; `None` if there are no segments.
    pub fn last_segment(&self) -> Option<u64> {
        self.segment_sizes.last_key_value().map(|(number, _)| *number)
    }

    /// Returns the step that is due after an append of `bytes` bytes. `pending_bytes` is the space that is
    /// reserved for pending messages and notices.
    pub fn plan_step_after_append(&mut self, bytes: u64, pending_bytes: u64) -> CompactionStep {
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

    /// Reduces the copy credit by the bytes that a step copied.
    pub fn consume_credit(&mut self, bytes: u64) {
        self.copy_credit = self.copy_credit.saturating_sub(bytes);
    }

    /// Returns the largest possible step, for an append that does not fit otherwise.
    pub fn forced_step(&self) -> CompactionStep {
        self.copy_first_segment(MAX_STEP_BYTES)
    }

    /// Returns a step that copies from the first segment, unless the first segment is also the last one.
    fn copy_first_segment(&self, bytes: u64) -> CompactionStep {
        match self.first_segment() {
            Some(segment) if Some(segment) != self.last_segment() => CompactionStep::Copy { segment, bytes },
            _ => CompactionStep::Idle,
        }
    }
}
