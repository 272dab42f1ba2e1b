//! The frame of a record. The header has a marker, the record's length, the record's checksum, and a checksum
//! of the preceding ten bytes. All numbers are little-endian.
//!
//! The header's checksum distinguishes a corrupt length from a record that a torn write cut short. The marker
//! lets the scan find the next frame after a corrupt part.

use serde::Serialize;

/// Size of a frame's header.
pub(crate) const FRAME_HEADER_BYTES: usize = 14;
/// Maximum length of a record; a header with a greater length is corrupt.
const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;
const MARKER: [u8; 2] = [0xd7, 0x5e];

/// A valid frame header.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader {
    /// Length of the record without the header.
    pub record_bytes: usize,
    checksum: u32,
}

impl FrameHeader {
    /// Parses the header at the start of `bytes`; returns `None` if the header is incomplete or invalid.
    pub fn parse(bytes: &[u8]) -> Option<FrameHeader> {
        let header = bytes.get(..FRAME_HEADER_BYTES)?;
        let read_u32 = |offset: usize| {
            Some(u32::from_le_bytes(header.get(offset..offset + size_of::<u32>())?.try_into().ok()?))
        };
        let record_bytes = read_u32(2)? as usize;
        let checksum = read_u32(6)?;
        let header_checksum = read_u32(10)?;
        let valid = header[..2] == MARKER && crc32fast::hash(&header[..10]) == header_checksum;
        (valid && 0 < record_bytes && record_bytes <= MAX_RECORD_BYTES)
            .then_some(FrameHeader { record_bytes, checksum })
    }

    /// Returns the length of header and record in bytes.
    pub fn frame_bytes(&self) -> usize {
        FRAME_HEADER_BYTES + self.record_bytes
    }
}

/// Returns the encoded record in the frame at the start of `bytes`; `None` if the frame is incomplete or a
/// checksum does not match.
pub(crate) fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let header = FrameHeader::parse(bytes)?;
    let record = bytes.get(FRAME_HEADER_BYTES..header.frame_bytes())?;
    (crc32fast::hash(record) == header.checksum).then_some(record)
}

/// Encodes a value with postcard, and appends it to the buffer in a frame.
pub(crate) fn append_frame<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend([0; FRAME_HEADER_BYTES]);
    if let Err(error) = postcard::to_io(value, &mut *buffer) {
        // Writes to a vector do not fail, and all encoded types can be serialized.
        tracing::error!(%error, "record could not be encoded");
        return buffer.truncate(start);
    }
    let record_start = start + FRAME_HEADER_BYTES;
    let record_bytes = (buffer.len() - record_start) as u32;
    let checksum = crc32fast::hash(&buffer[record_start..]);
    buffer[start..start + 2].copy_from_slice(&MARKER);
    buffer[start + 2..start + 6].copy_from_slice(&record_bytes.to_le_bytes());
    buffer[start + 6..start + 10].copy_from_slice(&checksum.to_le_bytes());
    let header_checksum = crc32fast::hash(&buffer[start..start + 10]);
    buffer[start + 10..record_start].copy_from_slice(&header_checksum.to_le_bytes());
}
