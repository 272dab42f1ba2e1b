//! File names and headers of segments, the numbered files that hold the records.

/// Format version of segments and manifest that this program writes, and the newest version that it reads.
pub(crate) const VERSION: u16 = 2;
const MAGIC: &[u8; 8] = b"reeddock";
/// Size of a segment's header: magic, version, segment number, checksum.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 8 + 2 + 8 + 4;
const NAME_PREFIX: &str = "ledger-";
const NAME_DIGITS: usize = 12;

/// Returns the file name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{NAME_PREFIX}{number:0NAME_DIGITS$}")
}

/// Returns the segment number in a file name; `None` if the file is no segment.
pub(crate) fn parse_file_name(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_prefix(NAME_PREFIX).filter(|digits| digits.len() == NAME_DIGITS)?;
    digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok())?
}

/// Returns the header of a new segment.
pub(crate) fn encode_header(number: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0; SEGMENT_HEADER_BYTES];
    header[..8].copy_from_slice(MAGIC);
    header[8..10].copy_from_slice(&VERSION.to_le_bytes());
    header[10..18].copy_from_slice(&number.to_le_bytes());
    let checksum = crc32fast::hash(&header[..18]);
    header[18..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// The header of a segment, as read from its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentHeader {
    /// The segment has the current format version or an earlier one.
    Supported {
        /// Format version of the records.
        version: u16,
    },
    /// The segment was written by a later program.
    Unsupported {
        /// Format version that the later program wrote.
        version: u16,
    },
    /// The magic or checksum does not match, or the number differs from the one in the file name.
    Corrupt,
    /// The file has fewer bytes than a header.
    Incomplete,
}

impl SegmentHeader {
    /// Parses the header at the start of `bytes`, which should have the number `expected_number`.
    pub fn parse(bytes: &[u8], expected_number: u64) -> SegmentHeader {
        let Some(bytes) = bytes.get(..SEGMENT_HEADER_BYTES) else { return SegmentHeader::Incomplete };
        let checksum = u32::from_le_bytes([bytes[18], bytes[19], bytes[20], bytes[21]]);
        if bytes[..8] != MAGIC[..] || crc32fast::hash(&bytes[..18]) != checksum {
            return SegmentHeader::Corrupt;
        }
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        if version > VERSION {
            return SegmentHeader::Unsupported { version };
        }
        if bytes[10..18] == expected_number.to_le_bytes() {
            SegmentHeader::Supported { version }
        } else {
            SegmentHeader::Corrupt
        }
    }
}
