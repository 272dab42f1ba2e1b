//! Writes the lines of one recording, in full or as a digest of each block of lines.

use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

/// Lines of one forwarder in a block, of which a digest is written.
pub const BLOCK_LINES: u64 = 1_000;

/// How lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingFormat {
    /// Each line as it is.
    Full,
    /// A digest of each block of [`BLOCK_LINES`] lines of a forwarder.
    Digest,
}

impl RecordingFormat {
    /// Both forms.
    pub const ALL: [RecordingFormat; 2] = [RecordingFormat::Full, RecordingFormat::Digest];

    /// The extension of a recording's file name.
    pub fn extension(self) -> &'static str {
        match self {
            RecordingFormat::Full => "recording",
            RecordingFormat::Digest => "digests",
        }
    }
}

/// The size and the digest of a finished recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingSummary {
    /// Lines of all forwarders.
    pub lines: u64,
    /// SHA-256 of all lines, the same in either form.
    pub digest: String,
}

/// The lines of a forwarder since its last whole block.
#[derive(Default)]
struct Block {
    /// Lines of the forwarder before this block.
    lines_before: u64,
    lines: u64,
    hash: Sha256,
}

/// What has been written of one recording, and its lines that belong to no whole block yet.
struct RecordingState {
    to: Box<dyn Write + Send>,
    form: RecordingFormat,
    lines: u64,
    hash: Sha256,
    blocks: BTreeMap<u64, Block>,
    /// The line at hand.
    text: String,
    /// The first failure to write.
    failed: Option<io::Error>,
}

fn hexadecimal(hash: Sha256) -> String {
    hash.finalize().iter().fold(String::new(), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl RecordingState {
    fn new(to: Box<dyn Write + Send>, form: RecordingFormat) -> RecordingState {
        RecordingState {
            to,
            form,
            lines: 0,
            hash: Sha256::new(),
            blocks: BTreeMap::new(),
            text: String::new(),
            failed: None,
        }
    }

    /// Adds a line of a forwarder.
    fn record(&mut self, forwarder: u64, line: &dyn Display) {
        self.text.clear();
        // Writing to a string does not fail.
        let _ = writeln!(self.text, "{forwarder} {line}");
        self.lines += 1;
        self.hash.update(&self.text);
        match self.form {
            RecordingFormat::Full => {
                let written = self.to.write_all(self.text.as_bytes());
                self.keep_failure(written);
            }
            RecordingFormat::Digest => self.count(forwarder),
        }
    }

    /// Counts the line at hand into its forwarder's block.
    fn count(&mut self, forwarder: u64) {
        let block = self.blocks.entry(forwarder).or_default();
        block.lines += 1;
        block.hash.update(&self.text);
        if block.lines == BLOCK_LINES {
            let next = Block { lines_before: block.lines_before + block.lines, ..Block::default() };
            let full = std::mem::replace(block, next);
            self.close(forwarder, full);
        }
    }

    fn close(&mut self, forwarder: u64, block: Block) {
        let (first, last) = (block.lines_before + 1, block.lines_before + block.lines);
        let digest = hexadecimal(block.hash);
        let written = writeln!(self.to, "{forwarder} lines {first} to {last} {digest}");
        self.keep_failure(written);
    }

    /// Keeps the first failure for [`Recording::finish`]: the policy that is recorded takes no error from its host.
    fn keep_failure(&mut self, written: io::Result<()>) {
        if let Err(fault) = written {
            self.failed.get_or_insert(fault);
        }
    }

    fn finish(&mut self) -> io::Result<RecordingSummary> {
        for (forwarder, block) in std::mem::take(&mut self.blocks) {
            if block.lines > 0 {
                self.close(forwarder, block);
            }
        }
        let flushed = self.to.flush();
        self.keep_failure(flushed);
        match self.failed.take() {
            Some(fault) => Err(fault),
            None => Ok(RecordingSummary {
                lines: self.lines,
                digest: hexadecimal(std::mem::take(&mut self.hash)),
            }),
        }
    }
}

/// One recording that is being written. Its clones write to the same recording.
#[derive(Clone)]
pub struct Recording(Arc<Mutex<RecordingState>>);

impl Recording {
    /// A recording into `to`.
    pub fn new(to: Box<dyn Write + Send>, form: RecordingFormat) -> Recording {
        Recording(Arc::new(Mutex::new(RecordingState::new(to, form))))
    }

    /// A writer for the lines of one forwarder, under its number.
    #[must_use]
    pub fn writer(&self, forwarder: u64) -> RecordingWriter {
        RecordingWriter { recording: self.clone(), forwarder }
    }

    /// Writes what is left. To be called once, after the last line.
    ///
    /// # Errors
    ///
    /// The first failure to write, at any line.
    pub fn finish(&self) -> io::Result<RecordingSummary> {
        self.lock().finish()
    }

    /// A recording stays sound when another thread panics, as each line is written whole.
    fn lock(&self) -> MutexGuard<'_, RecordingState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the lines of one forwarder into a recording.
#[derive(Clone)]
pub struct RecordingWriter {
    recording: Recording,
    forwarder: u64,
}

impl RecordingWriter {
    /// Adds a line. A failure to write is returned by [`Recording::finish`].
    pub fn record(&self, line: impl Display) {
        self.recording.lock().record(self.forwarder, &line);
    }
}
