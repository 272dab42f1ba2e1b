//! Reading a segment record by record, with a bounded buffer, past whatever is damaged in it.

use std::io::{self, Read};

use crate::record::{self, View, FRAME};

/// The format of segments and manifest that this program writes, and the newest that it reads.
pub const VERSION: u16 = 2;
const MAGIC: &[u8; 8] = b"reeddock";
/// Magic, version, number, checksum.
pub const HEAD: usize = 8 + 2 + 8 + 4;
/// Bytes read at once.
const READ: usize = 256 * 1024;

pub fn name(number: u64) -> String {
    format!("ledger-{number:012}")
}

/// The number in a segment's name.
pub fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("ledger-").filter(|d| d.len() == 12)?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok())?
}

pub fn head(number: u64) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(MAGIC);
    head[8..10].copy_from_slice(&VERSION.to_le_bytes());
    head[10..18].copy_from_slice(&number.to_le_bytes());
    let sum = crc32fast::hash(&head[..18]);
    head[18..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// What a segment's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// Of this version, or of one before.
    Sound(u16),
    /// Written by a later program.
    Later(u16),
    Damaged,
    /// Fewer bytes than a head has.
    Short,
}

fn read_head(bytes: &[u8], expected: u64) -> Head {
    let Some(bytes) = bytes.get(..HEAD) else { return Head::Short };
    let sum = u32::from_le_bytes([bytes[18], bytes[19], bytes[20], bytes[21]]);
    if bytes[..8] != MAGIC[..] || crc32fast::hash(&bytes[..18]) != sum {
        return Head::Damaged;
    }
    let version = u16::from_le_bytes([bytes[8], bytes[9]]);
    if version > VERSION {
        return Head::Later(version);
    }
    if bytes[10..18] == expected.to_le_bytes() {
        Head::Sound(version)
    } else {
        Head::Damaged
    }
}

/// One piece of a segment.
#[derive(Debug)]
pub enum Piece {
    /// [`Scan::record`] has it until the next piece is read.
    Record {
        offset: u64,
        length: usize,
    },
    /// So many bytes can't be read; what follows them can. What text in them looks like is told as a hint.
    Damaged {
        offset: u64,
        bytes: u64,
        hint: String,
    },
    /// The file ends within a frame, as a write that was cut short leaves it.
    Torn {
        offset: u64,
        bytes: u64,
    },
    End,
}

pub struct Scan<R> {
    from: R,
    buffer: Vec<u8>,
    /// Of the buffer's first byte in the file, and of the next piece in the buffer.
    base: u64,
    at: usize,
    /// Where the last record stands in the buffer.
    last: std::ops::Range<usize>,
    over: bool,
}

impl<R: Read> Scan<R> {
    /// Begins a segment.
    pub fn begin(from: R, number: u64) -> io::Result<(Scan<R>, Head)> {
        let mut scan = Scan { from, buffer: Vec::new(), base: 0, at: 0, last: 0..0, over: false };
        scan.fill(HEAD)?;
        let head = read_head(&scan.buffer, number);
        scan.at = HEAD.min(scan.buffer.len());
        Ok((scan, head))
    }

    /// Has so many bytes from the next piece on in the buffer, or all that are left.
    fn fill(&mut self, wanted: usize) -> io::Result<()> {
        while !self.over && self.buffer.len() - self.at < wanted {
            if self.at > READ {
                self.base += self.at as u64;
                self.buffer.drain(..self.at);
                self.at = 0;
            }
            // Not by `read` into zeros: a gigabyte of them would be written first.
            let read = self.from.by_ref().take(READ as u64).read_to_end(&mut self.buffer)?;
            self.over = read == 0;
        }
        Ok(())
    }

    fn rest(&self) -> &[u8] {
        &self.buffer[self.at..]
    }

    /// Where the record that begins here stands in the buffer, if it is whole.
    fn whole(&self) -> Option<std::ops::Range<usize>> {
        let from = self.at + FRAME;
        record::value(self.rest()).map(|value| from..from + value.len())
    }

    /// The record that was read last; none where it is whole and makes no sense.
    pub fn record(&self) -> Option<View<'_>> {
        View::read(self.buffer.get(self.last.clone())?)
    }

    pub fn next(&mut self) -> io::Result<Piece> {
        self.fill(FRAME)?;
        let offset = self.base + self.at as u64;
        if self.rest().is_empty() {
            return Ok(Piece::End);
        }
        if self.rest().len() < FRAME {
            let bytes = self.rest().len() as u64;
            self.at = self.buffer.len();
            return Ok(Piece::Torn { offset, bytes });
        }
        if let Some((length, _)) = record::head(self.rest()) {
            self.fill(FRAME + length)?;
            if self.rest().len() < FRAME + length {
                let bytes = self.rest().len() as u64;
                self.at = self.buffer.len();
                return Ok(Piece::Torn { offset, bytes });
            }
            if let Some(range) = self.whole() {
                self.at = range.end;
                self.last = range;
                return Ok(Piece::Record { offset, length: FRAME + length });
            }
            // The head is sound, so that the next frame stands right behind.
            let bytes = FRAME + length;
            let hint = hint(&self.rest()[..bytes]);
            self.at += bytes;
            return Ok(Piece::Damaged { offset, bytes: bytes as u64, hint });
        }
        self.skip(offset)
    }

    /// From a place where no frame begins to the next one that does.
    fn skip(&mut self, offset: u64) -> io::Result<Piece> {
        let hint = hint(&self.rest()[..self.rest().len().min(256)]);
        let mut bytes = 0;
        loop {
            self.at += 1;
            bytes += 1;
            self.fill(FRAME)?;
            if self.rest().len() < FRAME {
                // Nothing can begin here any more.
                bytes += self.rest().len() as u64;
                self.at = self.buffer.len();
                return Ok(Piece::Damaged { offset, bytes, hint });
            }
            if let Some((length, _)) = record::head(self.rest()) {
                self.fill(FRAME + length)?;
                return Ok(Piece::Damaged { offset, bytes, hint });
            }
        }
    }
}

/// The longest run of text in some bytes, most likely an id.
fn hint(bytes: &[u8]) -> String {
    let runs = bytes.split(|b| !b.is_ascii_graphic()).filter(|run| run.len() >= 4);
    let longest = runs.max_by_key(|run| run.len()).unwrap_or_default();
    String::from_utf8_lossy(&longest[..longest.len().min(64)]).into_owned()
}
