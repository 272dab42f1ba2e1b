//! A group of records in their frames, as one append writes them.

use crate::frame::{self, FrameHeader};
use crate::record::Record;
use crate::segment::{self, SEGMENT_HEADER_BYTES};

/// Encoded records, with space before them for the header of a new segment.
pub(crate) struct EncodedRecords {
    bytes: Vec<u8>,
}

impl EncodedRecords {
    /// Encodes records into a buffer, whose content is replaced.
    pub fn encode(records: &[Record], mut buffer: Vec<u8>) -> EncodedRecords {
        buffer.clear();
        buffer.resize(SEGMENT_HEADER_BYTES, 0);
        records.iter().for_each(|record| frame::append_frame(&mut buffer, &record.view()));
        EncodedRecords { bytes: buffer }
    }

    /// Bytes of all frames.
    pub fn frames_bytes(&self) -> u64 {
        (self.bytes.len() - SEGMENT_HEADER_BYTES) as u64
    }

    /// The frames, to be appended to a segment.
    pub fn frames(&self) -> &[u8] {
        &self.bytes[SEGMENT_HEADER_BYTES..]
    }

    /// The frames behind the header of a new segment.
    pub fn as_new_segment(&mut self, number: u64) -> &[u8] {
        self.bytes[..SEGMENT_HEADER_BYTES].copy_from_slice(&segment::encode_header(number));
        &self.bytes
    }

    /// The length of each frame in bytes, in the order of the records.
    pub fn frame_lengths(&self) -> impl Iterator<Item = usize> + '_ {
        let mut rest = self.frames();
        std::iter::from_fn(move || {
            let length = FrameHeader::parse(rest)?.frame_bytes();
            rest = &rest[length..];
            Some(length)
        })
    }

    /// The buffer, to be used again.
    pub fn into_buffer(self) -> Vec<u8> {
        self.bytes
    }
}
