//! The oldest format: a single file of frames with length and checksum, without a file header. The file is
//! migrated to segments by the first start of a program that writes segments.

use crate::live_records::RecordLocation;
use crate::pending_index::PendingIndex;
use crate::record::AcceptedMessage;
use crate::record_view::RecordView;
use crate::verification::Corruption;

/// Name of the single file.
pub(crate) const FILE_NAME: &str = "ledger";
/// Size of a frame's header: length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// Maximum length of a record; a frame with a greater length is corrupt. A record with a body of 64 KiB is
/// shorter.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// A valid frame with its length in bytes.
struct ValidFrame<'a> {
    record: RecordView<'a>,
    length: usize,
}

/// Parses the frame at the start of `bytes`; returns `None` if the frame is incomplete or corrupt.
fn parse_frame(bytes: &[u8]) -> Option<ValidFrame<'_>> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let record_bytes = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if record_bytes == 0 || record_bytes > MAX_RECORD_BYTES {
        return None;
    }
    let length = FRAME_HEADER_BYTES + record_bytes;
    let record = bytes.get(FRAME_HEADER_BYTES..length)?;
    if crc32fast::hash(record) != checksum {
        return None;
    }
    Some(ValidFrame { record: RecordView::decode(record)?, length })
}

/// Applies all records of the file to the index, and returns the corrupt parts.
pub(crate) fn read(bytes: &[u8], index: &mut PendingIndex) -> Vec<Corruption> {
    let mut corruptions = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        if let Some(ValidFrame { record, length }) = parse_frame(&bytes[position..]) {
            index.apply(record, RecordLocation { segment: 0, offset: position as u64, length });
            position += length;
            continue;
        }
        let start = position;
        while position < bytes.len() && parse_frame(&bytes[position..]).is_none() {
            position += 1;
        }
        // A torn write can't be distinguished from corruption, because the length has no checksum in this
        // format.
        index.mark_records_lost();
        corruptions.push(Corruption::new(FILE_NAME, start as u64, (position - start) as u64));
    }
    corruptions
}

/// Reads the message whose record is at a location; returns `None` if the record is corrupt or carries no
/// message.
pub(crate) fn read_message(bytes: &[u8], location: RecordLocation) -> Option<AcceptedMessage> {
    parse_frame(bytes.get(location.offset as usize..)?)?.record.accepted()
}
