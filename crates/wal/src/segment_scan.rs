//! Reads a segment record by record, with a bounded buffer, and resumes behind corrupt parts.

use std::io::{self, Read};
use std::ops::Range;

use crate::frame::{self, FrameHeader, FRAME_HEADER_BYTES};
use crate::record_view::RecordView;
use crate::segment::{SegmentHeader, SEGMENT_HEADER_BYTES};

/// Bytes that are read at once: large enough for few system calls, small beside the memory of a forwarder.
const READ_BYTES: usize = 256 * 1024;
/// Bytes behind the start of a corrupt part in which a hint is searched, where no frame header gives its length.
const HINT_SEARCH_BYTES: usize = 256;
/// Shorter runs of text are common in binary data and are not taken for a hint.
const MIN_HINT_BYTES: usize = 4;
/// Longer hints are cut: an id is shorter, and a body is not to be printed.
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
        /// What is there of it.
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
    /// Where the last record stands in the buffer.
    last_record: Range<usize>,
    source_exhausted: bool,
}

impl<R: Read> SegmentScan<R> {
    /// Starts to read the segment that is expected to have this number, and gives what its header says.
    pub fn start(source: R, number: u64) -> io::Result<(SegmentScan<R>, SegmentHeader)> {
        let mut scan = SegmentScan {
            source,
            buffer: Vec::new(),
            buffer_offset: 0,
            position: 0,
            last_record: 0..0,
            source_exhausted: false,
        };
        scan.fill(SEGMENT_HEADER_BYTES)?;
        let header = SegmentHeader::parse(&scan.buffer, number);
        scan.position = SEGMENT_HEADER_BYTES.min(scan.buffer.len());
        Ok((scan, header))
    }

    /// Reads until so many bytes from the next item on are in the buffer, or all that the file has.
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

    /// The last record; `None` where its checksum matches and it can't be decoded all the same.
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

    /// The frame whose header is valid and starts here.
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

    /// All that is left, as the start of a frame that was not written to its end.
    fn torn(&mut self, offset: u64) -> ScanItem {
        let bytes = self.remaining().len() as u64;
        self.position = self.buffer.len();
        ScanItem::Torn { offset, bytes }
    }

    /// Skips from a place where no frame starts to the next one where one does.
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
