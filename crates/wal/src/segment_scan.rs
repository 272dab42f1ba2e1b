//! Reads a segment record by record with a bounded buffer, and resumes after corrupt parts.

use std::io::{self, Read};
use std::ops::Range;

use crate::frame::{self, FrameHeader, FRAME_HEADER_BYTES};
use crate::record_view::RecordView;
use crate::segment::{SegmentHeader, SEGMENT_HEADER_BYTES};

/// Bytes that are read at once; bounds the number of system calls and the memory.
const READ_BYTES: usize = 256 * 1024;
/// Bytes at the start of a corrupt part that are searched for a hint, if no frame header gives the part's
/// length.
const HINT_SEARCH_BYTES: usize = 256;
/// Minimum length of a hint; shorter runs of printable bytes are common in binary data.
const MIN_HINT_BYTES: usize = 4;
/// Maximum length of a hint; longer runs of text are cut, so that bodies are not printed.
const MAX_HINT_BYTES: usize = 64;

/// A part of a segment that a scan returns. Offsets and lengths are in bytes of the file.
#[derive(Debug)]
pub(crate) enum ScanItem {
    /// A frame whose checksums match. [`SegmentScan::record`] decodes the record until the next item is read.
    Record {
        /// Offset of the frame.
        offset: u64,
        /// Length of the frame with its header.
        length: usize,
    },
    /// A part that can't be read; the scan continues after it.
    Corrupt {
        /// Offset of the part.
        offset: u64,
        /// Length of the part.
        bytes: u64,
        /// Longest run of text in the part, probably an id; empty if there is none.
        hint: String,
    },
    /// An incomplete frame at the end of the file, as a torn write leaves it.
    Torn {
        /// Offset of the frame.
        offset: u64,
        /// Length of the frame up to the end of the file.
        bytes: u64,
    },
    /// The end of the file.
    End,
}

/// A scan of a segment from its start to its end.
pub(crate) struct SegmentScan<R> {
    source: R,
    buffer: Vec<u8>,
    /// Offset of the buffer's first byte in the file.
    buffer_offset: u64,
    /// Position of the next item in the buffer.
    position: usize,
    /// Range of the last record in the buffer.
    last_record: Range<usize>,
    source_exhausted: bool,
    header: SegmentHeader,
}

impl<R: Read> SegmentScan<R> {
    /// Starts a scan and reads the header, which should have the number `number`.
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
        scan.fill_buffer(SEGMENT_HEADER_BYTES)?;
        scan.header = SegmentHeader::parse(&scan.buffer, number);
        scan.position = SEGMENT_HEADER_BYTES.min(scan.buffer.len());
        Ok(scan)
    }

    /// Returns the header of the segment.
    pub fn header(&self) -> SegmentHeader {
        self.header
    }

    /// Reads until the buffer has `wanted` bytes from the next item on, or the file ends.
    fn fill_buffer(&mut self, wanted: usize) -> io::Result<()> {
        while !self.source_exhausted && self.buffer.len() - self.position < wanted {
            if self.position > READ_BYTES {
                self.buffer_offset += self.position as u64;
                self.buffer.drain(..self.position);
                self.position = 0;
            }
            // `read_to_end` does not fill the new part of the buffer with zeros before each read.
            let read = self.source.by_ref().take(READ_BYTES as u64).read_to_end(&mut self.buffer)?;
            self.source_exhausted = read == 0;
        }
        Ok(())
    }

    /// Returns the bytes in the buffer from the next item on.
    fn remaining(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    /// Returns the record of the last item; `None` if the record can't be decoded although its checksum
    /// matches.
    pub fn record(&self) -> Option<RecordView<'_>> {
        RecordView::decode(self.buffer.get(self.last_record.clone())?)
    }

    /// Reads the next item.
    pub fn next_item(&mut self) -> io::Result<ScanItem> {
        self.fill_buffer(FRAME_HEADER_BYTES)?;
        let offset = self.buffer_offset + self.position as u64;
        if self.remaining().is_empty() {
            return Ok(ScanItem::End);
        }
        if self.remaining().len() < FRAME_HEADER_BYTES {
            return Ok(self.take_torn_frame(offset));
        }
        match FrameHeader::parse(self.remaining()) {
            Some(header) => self.read_frame(offset, header),
            None => self.skip_corrupt_part(offset),
        }
    }

    /// Reads the frame at `offset`, whose header is valid.
    fn read_frame(&mut self, offset: u64, header: FrameHeader) -> io::Result<ScanItem> {
        let length = header.frame_bytes();
        self.fill_buffer(length)?;
        if self.remaining().len() < length {
            return Ok(self.take_torn_frame(offset));
        }
        if frame::payload(self.remaining()).is_some() {
            self.last_record = self.position + FRAME_HEADER_BYTES..self.position + length;
            self.position += length;
            return Ok(ScanItem::Record { offset, length });
        }
        // The length in the valid header gives the start of the next frame.
        let hint = text_hint(&self.remaining()[..length]);
        self.position += length;
        Ok(ScanItem::Corrupt { offset, bytes: length as u64, hint })
    }

    /// Skips the rest of the file and returns it as an incomplete frame.
    fn take_torn_frame(&mut self, offset: u64) -> ScanItem {
        let bytes = self.remaining().len() as u64;
        self.position = self.buffer.len();
        ScanItem::Torn { offset, bytes }
    }

    /// Skips bytes from `offset` to the next valid frame header or the end of the file.
    fn skip_corrupt_part(&mut self, offset: u64) -> io::Result<ScanItem> {
        let hint = text_hint(&self.remaining()[..self.remaining().len().min(HINT_SEARCH_BYTES)]);
        let mut bytes = 0;
        loop {
            self.position += 1;
            bytes += 1;
            self.fill_buffer(FRAME_HEADER_BYTES)?;
            if self.remaining().len() < FRAME_HEADER_BYTES {
                // The rest of the file is shorter than a frame header.
                bytes += self.remaining().len() as u64;
                self.position = self.buffer.len();
                return Ok(ScanItem::Corrupt { offset, bytes, hint });
            }
            if let Some(header) = FrameHeader::parse(self.remaining()) {
                self.fill_buffer(header.frame_bytes())?;
                return Ok(ScanItem::Corrupt { offset, bytes, hint });
            }
        }
    }
}

/// Returns the longest run of printable text in `bytes`, probably an id; empty if there is none.
fn text_hint(bytes: &[u8]) -> String {
    let runs = bytes.split(|byte| !byte.is_ascii_graphic()).filter(|run| run.len() >= MIN_HINT_BYTES);
    let longest = runs.max_by_key(|run| run.len()).unwrap_or_default();
    String::from_utf8_lossy(&longest[..longest.len().min(MAX_HINT_BYTES)]).into_owned()
}
