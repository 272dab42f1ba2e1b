//! Which records still matter, by segment: what compaction must copy before a segment may be dropped.

use std::collections::BTreeMap;

use reeddock::MessageId;

/// The location of a record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordLocation {
    /// The number of its segment; 0 for the single file of the oldest format.
    pub segment: u64,
    /// Where its frame starts, in bytes.
    pub offset: u64,
    /// The length of its frame, in bytes.
    pub length: usize,
}

/// The live records of all segments, each with the id of its message.
#[derive(Default)]
pub(crate) struct LiveRecords {
    /// By segment, then by offset.
    segments: BTreeMap<u64, BTreeMap<u64, MessageId>>,
}

impl LiveRecords {
    /// Adds a record that has become live.
    pub fn insert(&mut self, location: RecordLocation, id: MessageId) {
        self.segments.entry(location.segment).or_default().insert(location.offset, id);
    }

    /// Removes a record that is no longer live.
    pub fn remove(&mut self, location: RecordLocation) {
        let Some(records) = self.segments.get_mut(&location.segment) else { return };
        records.remove(&location.offset);
        if records.is_empty() {
            self.segments.remove(&location.segment);
        }
    }

    /// The first live record of a segment at this offset or behind it.
    pub fn first_from(&self, segment: u64, offset: u64) -> Option<LiveRecord> {
        let (offset, id) = self.segments.get(&segment)?.range(offset..).next()?;
        Some(LiveRecord { offset: *offset, id: id.clone() })
    }

    /// The ids of the messages that have live records in a segment.
    pub fn ids_in(&self, segment: u64) -> impl Iterator<Item = &MessageId> {
        self.segments.get(&segment).into_iter().flat_map(|records| records.values())
    }
}

/// One live record of a segment.
pub(crate) struct LiveRecord {
    /// Where its frame starts, in bytes.
    pub offset: u64,
    /// The message that it belongs to.
    pub id: MessageId,
}
