//! The report of reading the whole write-ahead log: corruption, torn writes, and totals.

use std::fmt;

/// The most corrupt places that are listed; further ones are counted.
const MAX_LISTED: usize = 100;

/// A part of the write-ahead log that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The name of the file in the folder.
    pub file: String,
    /// Where the part starts, in bytes.
    pub offset: u64,
    /// Its length in bytes; 0 if the whole file is missing.
    pub bytes: u64,
    /// The longest run of text in it, most likely an id; empty if there is none.
    pub hint: String,
}

impl Corruption {
    /// A part of a file, without a hint.
    pub(crate) fn new(file: &str, offset: u64, bytes: u64) -> Corruption {
        Corruption { file: file.to_owned(), offset, bytes, hint: String::new() }
    }

    /// A file that should exist and does not.
    pub(crate) fn missing(file: &str) -> Corruption {
        Corruption::new(file, 0, 0)
    }

    /// Adds a hint.
    pub(crate) fn with_hint(self, hint: String) -> Corruption {
        Corruption { hint, ..self }
    }
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.bytes {
            0 => write!(f, "{} is missing", self.file)?,
            bytes => write!(f, "{}: {bytes} bytes at {} can't be read", self.file, self.offset)?,
        }
        if self.hint.is_empty() {
            return Ok(());
        }
        write!(f, ", among them {:?}", self.hint)
    }
}

/// The result of reading the whole write-ahead log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Bytes of a torn write at the end. This is usual after a kill, and is not corruption.
    pub torn_bytes: u64,
    /// Corrupt places, in the order in which they were found, up to a bounded number.
    pub corruptions: Vec<Corruption>,
    /// Corrupt places beyond those listed.
    pub unlisted_corruptions: u64,
    /// Segments that were read.
    pub segments: u64,
    /// Bytes of the files that were read.
    pub bytes: u64,
    /// Records that were read.
    pub records: u64,
}

impl VerificationReport {
    /// Adds a corrupt place to the list, or only counts it if the list is full.
    pub(crate) fn add(&mut self, corruption: Corruption) {
        if self.corruptions.len() < MAX_LISTED {
            self.corruptions.push(corruption);
        } else {
            self.unlisted_corruptions += 1;
        }
    }

    /// Whether nothing is corrupt.
    pub fn is_sound(&self) -> bool {
        self.corruptions.is_empty()
    }

    /// All corrupt places, listed or not.
    pub(crate) fn corruption_count(&self) -> u64 {
        self.corruptions.len() as u64 + self.unlisted_corruptions
    }
}
