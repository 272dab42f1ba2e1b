//! Reads a segment record by record, with a bounded buffer, and resumes behind corrupt parts.

use std::io::{self, Read};
use std::ops::Range;

use crate::frame::{self, FrameHeader, FRAME_HEADER_BYTES};
use crate::record_view::RecordView;
use crate::segment::{SegmentHeader, SEGMENT_HEADER_BYTES};

/// Bytes that are read at once: large enough for few system calls, small beside the memory of a forwarder.
const READ_BYTES: usize = 256 * 1024;
/// A hint is searched in this many bytes from the start of a corrupt part, if no frame header gives its length.
const HINT_SEARCH_BYTES: usize = 256;
/// Shorter runs of printable bytes are common in binary data and are not taken for a hint.
const MIN_HINT_BYTES: usize = 4;
/// Longer hints are cut: ids are shorter, and bodies must not be printed.
const MAX_HINT_BYTES: usize = 64;

/// One item of a segment. Offsets and lengths are in bytes of the file.
#[derive(Debug)]
pub(crate) enum ScanItem {
    /// A frame whose checksums match. [`SegmentScan::record`] decodes it until the next item is read.
    Record {
        /// Where the frame starts.
        offset: u64,
        /// Its length with its header.
        length: usize,
    },
    /// A part that can't be read, while what follows it can.
    Corrupt {
        /// Where the part starts.
        offset: u64,
        /// Its length.
        bytes: u64,
        /// What in it looks like text, most likely an id.
        hint: String,
    },
    /// The file ends within a frame, as a torn write leaves it.
    Torn {
        /// Where that frame starts.
        offset: u64,
        /// The bytes of it that are there.
        bytes: u64,
    },
    /// The end of the file.
    End,
}

/// A segment that is being read.
pub(crate) struct SegmentScan<R> {
    source: R,
    buffer: Vec<u8>,
    /// Offset in the file of the buffer's first byte.
    buffer_offset: u64,
    /// Position of the next item in the buffer.
    position: usize,
    /// The position of the last record in the buffer.
    last_record: Range<usize>,
    source_exhausted: bool,
    header: SegmentHeader,
}

impl<R: Read> SegmentScan<R> {
    /// Starts to read the segment that is expected to have this number, and reads its header.
    pub fn start(source: R, number: u64) -> io::Result<SegmentScan<R>> {
        let mut scan = SegmentScan {
            source,
            buffer: Vec::new(),
            buffer_offset: 0,
            position: 0,
            last_record: 0..0,
            source_exhausted: false,
            header: SegmentHeader::Incomplete,
        };
        scan.fill(SEGMENT_HEADER_BYTES)?;
        scan.header = SegmentHeader::parse(&scan.buffer, number);
        scan.position = SEGMENT_HEADER_BYTES.min(scan.buffer.len());
        Ok(scan)
    }

    /// The segment's header.
    pub fn header(&self) -> SegmentHeader {
        self.header
    }

    /// Reads until the buffer has `wanted` bytes from the next item on, or the file has ended.
    fn fill(&mut self, wanted: usize) -> io::Result<()> {
        while !self.source_exhausted && self.buffer.len() - self.position < wanted {
            if self.position > READ_BYTES {
                self.buffer_offset += self.position as u64;
                self.buffer.drain(..self.position);
                self.position = 0;
            }
            // Not `read` into a zeroed buffer: over a large file a gigabyte of zeros would be written first.
            let read = self.source.by_ref().take(READ_BYTES as u64).read_to_end(&mut self.buffer)?;
            self.source_exhausted = read == 0;
        }
        Ok(())
    }

    /// The bytes in the buffer from the next item on.
    fn remaining(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    /// The record of the last item; `None` if it can't be decoded although its checksum matches.
    pub fn record(&self) -> Option<RecordView<'_>> {
        RecordView::decode(self.buffer.get(self.last_record.clone())?)
    }

    /// The next item.
    pub fn next_item(&mut self) -> io::Result<ScanItem> {
        self.fill(FRAME_HEADER_BYTES)?;
        let offset = self.buffer_offset + self.position as u64;
        if self.remaining().is_empty() {
            return Ok(ScanItem::End);
        }
        if self.remaining().len() < FRAME_HEADER_BYTES {
            return Ok(self.torn(offset));
        }
        match FrameHeader::parse(self.remaining()) {
            Some(header) => self.read_frame(offset, header),
            None => self.skip_corrupt(offset),
        }
    }

    /// Reads the frame at `offset`, whose header is valid.
    fn read_frame(&mut self, offset: u64, header: FrameHeader) -> io::Result<ScanItem> {
        let length = header.frame_bytes();
        self.fill(length)?;
        if self.remaining().len() < length {
            return Ok(self.torn(offset));
        }
        if frame::payload(self.remaining()).is_some() {
            self.last_record = self.position + FRAME_HEADER_BYTES..self.position + length;
            self.position += length;
            return Ok(ScanItem::Record { offset, length });
        }
        // The header is valid, so that the next frame starts right behind this one.
        let hint = text_hint(&self.remaining()[..length]);
        self.position += length;
        Ok(ScanItem::Corrupt { offset, bytes: length as u64, hint })
    }

    /// The rest of the file, as a frame that was not written completely.
    fn torn(&mut self, offset: u64) -> ScanItem {
        let bytes = self.remaining().len() as u64;
        self.position = self.buffer.len();
        ScanItem::Torn { offset, bytes }
    }

    /// Skips from an offset where no valid frame header is to the next one where there is one.
    fn skip_corrupt(&mut self, offset: u64) -> io::Result<ScanItem> {
        let hint = text_hint(&self.remaining()[..self.remaining().len().min(HINT_SEARCH_BYTES)]);
        let mut bytes = 0;
        loop {
            self.position += 1;
            bytes += 1;
            self.fill(FRAME_HEADER_BYTES)?;
            if self.remaining().len() < FRAME_HEADER_BYTES {
                // No frame can start in so few bytes.
                bytes += self.remaining().len() as u64;
                self.position = self.buffer.len();
                return Ok(ScanItem::Corrupt { offset, bytes, hint });
            }
            if let Some(header) = FrameHeader::parse(self.remaining()) {
                self.fill(header.frame_bytes())?;
                return Ok(ScanItem::Corrupt { offset, bytes, hint });
            }
        }
    }
}

/// The longest run of printable text in some bytes, most likely an id.
fn text_hint(bytes: &[u8]) -> String {
    let runs = bytes.split(|byte| !byte.is_ascii_graphic()).filter(|run| run.len() >= MIN_HINT_BYTES);
    let longest = runs.max_by_key(|run| run.len()).unwrap_or_default();
    String::from_utf8_lossy(&longest[..longest.len().min(MAX_HINT_BYTES)]).into_owned()
}
