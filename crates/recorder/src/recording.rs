//! Writes the lines of one recording, in full or as digests of blocks of lines.

use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

/// Number of lines of one forwarder that a digest covers.
pub const LINES_PER_BLOCK: u64 = 1_000;

/// Format of a recording file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingFormat {
    /// All lines as text.
    Full,
    /// One digest for each block of [`LINES_PER_BLOCK`] lines of a forwarder.
    Digest,
}

impl RecordingFormat {
    /// All formats.
    pub const ALL: [RecordingFormat; 2] = [RecordingFormat::Full, RecordingFormat::Digest];

    /// Returns the file name extension of recordings in this format, without the dot.
    pub fn extension(self) -> &'static str {
        match self {
            RecordingFormat::Full => "recording",
            RecordingFormat::Digest => "digests",
        }
    }
}

/// Line count and digest of a finished recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingSummary {
    /// Number of lines of all forwarders.
    pub lines: u64,
    /// SHA-256 of all lines in hexadecimal; the format of the recording doesn't affect it.
    pub digest: String,
}

/// The lines of a forwarder that belong to no complete block yet.
#[derive(Default)]
struct Block {
    /// Number of lines of the forwarder before this block.
    lines_before: u64,
    lines: u64,
    hash: Sha256,
}

struct RecordingState {
    output: Box<dyn Write + Send>,
    format: RecordingFormat,
    lines: u64,
    hash: Sha256,
    blocks: BTreeMap<u64, Block>,
    /// Text of the current line, including its line break.
    line_text: String,
    first_error: Option<io::Error>,
}

fn hex_digest(hash: Sha256) -> String {
    hash.finalize().iter().fold(String::new(), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl RecordingState {
    fn new(output: Box<dyn Write + Send>, format: RecordingFormat) -> RecordingState {
        RecordingState {
            output,
            format,
            lines: 0,
            hash: Sha256::new(),
            blocks: BTreeMap::new(),
            line_text: String::new(),
            first_error: None,
        }
    }

    fn record(&mut self, forwarder: u64, line: &dyn Display) {
        self.line_text.clear();
        // Writing to a string never fails.
        let _ = writeln!(self.line_text, "{forwarder} {line}");
        self.lines += 1;
        self.hash.update(&self.line_text);
        match self.format {
            RecordingFormat::Full => {
                let result = self.output.write_all(self.line_text.as_bytes());
                self.keep_first_error(result);
            }
            RecordingFormat::Digest => self.add_to_block(forwarder),
        }
    }

    /// Adds the current line to its forwarder's block, and writes the digest of a full block.
    fn add_to_block(&mut self, forwarder: u64) {
        let block = self.blocks.entry(forwarder).or_default();
        block.lines += 1;
        block.hash.update(&self.line_text);
        if block.lines == LINES_PER_BLOCK {
            let next = Block { lines_before: block.lines_before + block.lines, ..Block::default() };
            let full = std::mem::replace(block, next);
            self.write_digest(forwarder, full);
        }
    }

    fn write_digest(&mut self, forwarder: u64, block: Block) {
        let (first, last) = (block.lines_before + 1, block.lines_before + block.lines);
        let digest = hex_digest(block.hash);
        let result = writeln!(self.output, "{forwarder} lines {first} to {last} {digest}");
        self.keep_first_error(result);
    }

    /// Keeps the first error for [`Recording::finish`], because the recorded policy accepts no errors from
    /// its host.
    fn keep_first_error(&mut self, result: io::Result<()>) {
        if let Err(error) = result {
            self.first_error.get_or_insert(error);
        }
    }

    fn finish(&mut self) -> io::Result<RecordingSummary> {
        for (forwarder, block) in std::mem::take(&mut self.blocks) {
            if block.lines > 0 {
                self.write_digest(forwarder, block);
            }
        }
        let result = self.output.flush();
        self.keep_first_error(result);
        match self.first_error.take() {
            Some(error) => Err(error),
            None => {
                Ok(RecordingSummary { lines: self.lines, digest: hex_digest(std::mem::take(&mut self.hash)) })
            }
        }
    }
}

/// A recording in progress. Clones write to the same recording.
#[derive(Clone)]
pub struct Recording(Arc<Mutex<RecordingState>>);

impl Recording {
    /// Creates a recording that writes to `output`.
    pub fn new(output: Box<dyn Write + Send>, format: RecordingFormat) -> Recording {
        Recording(Arc::new(Mutex::new(RecordingState::new(output, format))))
    }

    /// Returns a writer that prefixes lines with this forwarder number.
    #[must_use]
    pub fn writer(&self, forwarder: u64) -> RecordingWriter {
        RecordingWriter { recording: self.clone(), forwarder }
    }

    /// Writes the digests of incomplete blocks and flushes the output. Must be called once, after the last
    /// line.
    ///
    /// # Errors
    ///
    /// The first write error since the recording was created.
    pub fn finish(&self) -> io::Result<RecordingSummary> {
        self.lock().finish()
    }

    /// Locks the recording. A poisoned lock is accepted, because a thread that panics leaves no partial line.
    fn lock(&self) -> MutexGuard<'_, RecordingState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the lines of one forwarder to a recording.
#[derive(Clone)]
pub struct RecordingWriter {
    recording: Recording,
    forwarder: u64,
}

impl RecordingWriter {
    /// Writes a line. [`Recording::finish`] returns the error if this fails.
    pub fn record(&self, line: impl Display) {
        self.recording.lock().record(self.forwarder, &line);
    }
}
