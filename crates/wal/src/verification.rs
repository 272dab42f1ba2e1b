//! The report on reading a whole write-ahead log: corrupt parts, torn writes, and totals.

use std::fmt;

/// Maximum number of corrupt places that are listed; further ones are counted.
const MAX_LISTED_CORRUPTIONS: usize = 100;

/// A part of a write-ahead log that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// Name of the file in the folder.
    pub file: String,
    /// Offset of the part in the file, in bytes.
    pub offset: u64,
    /// Length of the part in bytes; 0 if the whole file is missing.
    pub bytes: u64,
    /// Longest run of printable text in the part, probably an id; empty if there is none.
    pub hint: String,
}

impl Corruption {
    /// Returns a corrupt part of a file, without a hint.
    pub(crate) fn new(file: &str, offset: u64, bytes: u64) -> Corruption {
        Corruption { file: file.to_owned(), offset, bytes, hint: String::new() }
    }

    /// Returns the corruption for a missing file.
    pub(crate) fn missing(file: &str) -> Corruption {
        Corruption::new(file, 0, 0)
    }

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

/// The result of reading a whole write-ahead log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Bytes of a torn write at the end of the last segment. A killed process usually leaves a torn write,
    /// which is not corruption.
    pub torn_bytes: u64,
    /// The first corrupt places, in the order in which they were found.
    pub corruptions: Vec<Corruption>,
    /// Number of corrupt places beyond those in `corruptions`.
    pub unlisted_corruptions: u64,
    /// Number of segments that were read.
    pub segments: u64,
    /// Size of all segments, or of the single file of the oldest format, in bytes.
    pub bytes: u64,
    /// Number of records with matching checksums in segments; 0 for the single file of the oldest format.
    pub records: u64,
}

impl VerificationReport {
    /// Adds a corrupt place to the list, or counts it if the list is full.
    pub(crate) fn add(&mut self, corruption: Corruption) {
        if self.corruptions.len() < MAX_LISTED_CORRUPTIONS {
            self.corruptions.push(corruption);
        } else {
            self.unlisted_corruptions += 1;
        }
    }

    /// Returns whether no part is corrupt. A torn write does not count.
    pub fn is_sound(&self) -> bool {
        self.corruptions.is_empty()
    }

    /// Returns the number of all corrupt places, listed or not.
    pub(crate) fn corruption_count(&self) -> u64 {
        self.corruptions.len() as u64 + self.unlisted_corruptions
    }
}
