//! Live records by segment. Compaction copies them before it removes their segment.

use std::collections::BTreeMap;

use reeddock::MessageId;

/// The location of a record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordLocation {
    /// Number of the segment; 0 for the single file of the oldest format.
    pub segment: u64,
    /// Offset of the frame in the file, in bytes.
    pub offset: u64,
    /// Length of the frame, in bytes.
    pub length: usize,
}

/// The live records of all segments, with the ids of their messages.
#[derive(Default)]
pub(crate) struct LiveRecords {
    /// Message ids by segment number and offset.
    segments: BTreeMap<u64, BTreeMap<u64, MessageId>>,
}

impl LiveRecords {
    pub fn insert(&mut self, location: RecordLocation, id: MessageId) {
        self.segments.entry(location.segment).or_default().insert(location.offset, id);
    }

    pub fn remove(&mut self, location: RecordLocation) {
        let Some(records) = self.segments.get_mut(&location.segment) else { return };
        records.remove(&location.offset);
        if records.is_empty() {
            self.segments.remove(&location.segment);
        }
    }

    /// Returns the first live record of a segment at or after an offset.
    pub fn first_from(&self, segment: u64, offset: u64) -> Option<LiveRecord> {
        let (offset, id) = self.segments.get(&segment)?.range(offset..).next()?;
        Some(LiveRecord { offset: *offset, id: id.clone() })
    }

    /// Returns the ids of the messages that have live records in a segment.
    pub fn ids_in(&self, segment: u64) -> impl Iterator<Item = &MessageId> {
        self.segments.get(&segment).into_iter().flat_map(|records| records.values())
    }
}

/// A live record of a segment.
pub(crate) struct LiveRecord {
    /// Offset of the frame in the segment, in bytes.
    pub offset: u64,
    /// Id of the message.
    pub id: MessageId,
}
