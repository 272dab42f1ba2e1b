//! The encoded records of one append.

use crate::frame::{self, FrameHeader};
use crate::record::Record;
use crate::segment::{self, SEGMENT_HEADER_BYTES};

/// Encoded records in frames, after space for the header of a new segment.
pub(crate) struct EncodedRecords {
    bytes: Vec<u8>,
}

impl EncodedRecords {
    /// Encodes records into a buffer, and replaces the buffer's content.
    pub fn encode(records: &[Record], mut buffer: Vec<u8>) -> EncodedRecords {
        buffer.clear();
        buffer.resize(SEGMENT_HEADER_BYTES, 0);
        records.iter().for_each(|record| frame::append_frame(&mut buffer, &record.view()));
        EncodedRecords { bytes: buffer }
    }

    /// Returns the size of all frames in bytes.
    pub fn frames_bytes(&self) -> u64 {
        (self.bytes.len() - SEGMENT_HEADER_BYTES) as u64
    }

    /// Returns the frames without a segment header.
    pub fn frames(&self) -> &[u8] {
        &self.bytes[SEGMENT_HEADER_BYTES..]
    }

    /// Returns the frames after the header of a new segment.
    pub fn as_new_segment(&mut self, number: u64) -> &[u8] {
        self.bytes[..SEGMENT_HEADER_BYTES].copy_from_slice(&segment::encode_header(number));
        &self.bytes
    }

    /// Returns the length of each frame in bytes, in the order of the records.
    pub fn frame_lengths(&self) -> impl Iterator<Item = usize> + '_ {
        let mut rest = self.frames();
        std::iter::from_fn(move || {
            let length = FrameHeader::parse(rest)?.frame_bytes();
            rest = &rest[length..];
            Some(length)
        })
    }

    /// Returns the buffer for reuse.
    pub fn into_buffer(self) -> Vec<u8> {
        self.bytes
    }
}
