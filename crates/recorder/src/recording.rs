//! Writes the lines of one recording, in full or as a digest of each block of lines.

use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

/// Lines of one forwarder in a block, of which a digest is written.
pub const BLOCK_LINES: u64 = 1_000;

/// How lines are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Each line as it is.
    Full,
    /// A digest of each block of [`BLOCK_LINES`] lines of a forwarder.
    Digest,
}

impl Form {
    /// What the file of a recording ends in.
    pub fn extension(self) -> &'static str {
        match self {
            Form::Full => "recording",
            Form::Digest => "digests",
        }
    }
}

/// What one recording came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Lines of all forwarders.
    pub lines: u64,
    /// SHA-256 of all lines, the same in either form.
    pub digest: String,
}

/// The lines of a forwarder since its last whole block.
#[derive(Default)]
struct Block {
    first_line: u64,
    lines: u64,
    hash: Sha256,
}

/// One recording that is being written.
pub struct Recording {
    to: Box<dyn Write + Send>,
    form: Form,
    lines: u64,
    hash: Sha256,
    blocks: BTreeMap<u64, Block>,
    text: String,
    failed: Option<io::Error>,
}

fn hexadecimal(hash: Sha256) -> String {
    hash.finalize().iter().fold(String::new(), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl Recording {
    /// A recording into `to`.
    pub fn new(to: Box<dyn Write + Send>, form: Form) -> Recording {
        Recording {
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
            Form::Full => {
                let written = self.to.write_all(self.text.as_bytes());
                self.keep_failure(written);
            }
            Form::Digest => self.count(forwarder),
        }
    }

    /// Counts the line at hand into its forwarder's block.
    fn count(&mut self, forwarder: u64) {
        let block = self.blocks.entry(forwarder).or_default();
        block.lines += 1;
        block.hash.update(&self.text);
        if block.lines == BLOCK_LINES {
            let next = Block { first_line: block.first_line + block.lines, ..Block::default() };
            let full = std::mem::replace(block, next);
            self.close(forwarder, full);
        }
    }

    fn close(&mut self, forwarder: u64, block: Block) {
        let (first, last) = (block.first_line + 1, block.first_line + block.lines);
        let digest = hexadecimal(block.hash);
        let written = writeln!(self.to, "{forwarder} lines {first} to {last} {digest}");
        self.keep_failure(written);
    }

    /// Keeps the first failure for [`Recording::finish`]: the delivery policy that is recorded can't be given of it.
    fn keep_failure(&mut self, written: io::Result<()>) {
        if let Err(fault) = written {
            self.failed.get_or_insert(fault);
        }
    }

    /// Writes what is left. To be called once, after the last line.
    ///
    /// # Errors
    ///
    /// The first failure to write, at any line.
    pub fn finish(&mut self) -> io::Result<Summary> {
        for (forwarder, block) in std::mem::take(&mut self.blocks) {
            if block.lines > 0 {
                self.close(forwarder, block);
            }
        }
        let flushed = self.to.flush();
        self.keep_failure(flushed);
        match self.failed.take() {
            Some(fault) => Err(fault),
            None => Ok(Summary { lines: self.lines, digest: hexadecimal(std::mem::take(&mut self.hash)) }),
        }
    }
}

/// Where one forwarder's lines go: a recording that it shares with others.
#[derive(Clone)]
pub struct RecordingWriter {
    recording: Arc<Mutex<Recording>>,
    forwarder: u64,
}

impl RecordingWriter {
    /// Writes the lines of one forwarder, under its number.
    #[must_use]
    pub fn new(recording: Arc<Mutex<Recording>>, forwarder: u64) -> RecordingWriter {
        RecordingWriter { recording, forwarder }
    }

    /// Adds a line. A failure to write shows at [`Recording::finish`].
    pub fn record(&self, line: impl Display) {
        locked(&self.recording).record(self.forwarder, &line);
    }
}

/// A recording stays sound when another thread panics, as each line is written whole.
pub fn locked(recording: &Mutex<Recording>) -> MutexGuard<'_, Recording> {
    recording.lock().unwrap_or_else(PoisonError::into_inner)
}
