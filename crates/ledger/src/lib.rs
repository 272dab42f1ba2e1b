//! What a forwarder has taken on and still owes, in one file that outlasts its process.
//!
//! The file is append-only. Each record carries its length and a checksum; what a killed process left torn at
//! the end is cut at the next start. Once most of the file tells of envelopes that are over, what is still
//! owed is written to a new file, which takes the place of the old one.

mod record;

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use reeddock::EnvelopeId;
use reeddock_protocol::{GivenUp, Notice};

pub use record::{Record, Taken};

/// A file counts in whole blocks of so many bytes.
const BLOCK: u64 = 512;
/// What a notice takes up until the platform has been told.
const UNTOLD: u64 = 160;

/// A dispatch that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// The target's name in the list, which outlasts a process.
    pub target: Arc<str>,
    /// Microseconds of Unix time.
    pub at: u64,
    /// Known to have ended, and whether that proves that it never ran.
    pub ended: Option<bool>,
}

/// An envelope that was taken on and is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unended {
    pub taken: Taken,
    /// Its place among all that were taken on.
    place: u64,
    /// In the order of their numbers.
    pub dispatches: Vec<Begun>,
}

/// What the platform has not been told yet.
type Untold = BTreeMap<EnvelopeId, GivenUp>;

pub struct Ledger {
    path: PathBuf,
    file: File,
    /// Held as long as this process writes here.
    _lock: File,
    written: u64,
    /// Bytes that the file may have, and those that what is still owed may have in it, so that both the old
    /// file and the new one find room while one takes the other's place.
    most: u64,
    most_owed: u64,
    owed: u64,
    unended: BTreeMap<EnvelopeId, Unended>,
    places: u64,
    untold: Untold,
    buffer: Vec<u8>,
}

fn whole_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

impl Ledger {
    /// Opens the ledger of a folder that may hold `most_bytes`.
    pub fn open(folder: &Path, most_bytes: u64) -> io::Result<Ledger> {
        let lock = File::create(folder.join("lock"))?;
        lock.try_lock().map_err(|_| io::Error::other("another process writes this ledger"))?;
        // Left by a process that was killed while the new file was being written: the old one still stands.
        match fs::remove_file(folder.join("ledger.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let path = folder.join("ledger");
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut ledger = Ledger {
            path,
            file,
            _lock: lock,
            written: 0,
            most: most_bytes * 5 / 8,
            most_owed: most_bytes / 4,
            owed: 0,
            unended: BTreeMap::new(),
            places: 0,
            untold: Untold::new(),
            buffer: Vec::new(),
        };
        let mut rest = &bytes[..];
        while let Some((record, after)) = record::read(rest) {
            ledger.apply(record);
            rest = after;
        }
        ledger.written = (bytes.len() - rest.len()) as u64;
        if !rest.is_empty() {
            tracing::warn!(bytes = rest.len(), "the ledger ends in a torn record, which is cut off");
            ledger.file.set_len(ledger.written)?;
        }
        Ok(ledger)
    }

    /// What is owed its end, in the order in which it was taken on.
    pub fn unended(&self) -> Vec<&Unended> {
        let mut unended: Vec<&Unended> = self.unended.values().collect();
        unended.sort_by_key(|u| u.place);
        unended
    }

    /// What the platform still has to be told.
    pub fn untold(&self) -> impl Iterator<Item = Notice> + '_ {
        self.untold.iter().map(|(id, end)| Notice { id: id.clone(), end: *end })
    }

    /// Bytes that are free for what is taken on from here on.
    pub fn room(&self) -> u64 {
        self.most_owed.saturating_sub(self.owed)
    }

    /// What an envelope takes up until it is over.
    pub fn size_of(taken: &Taken) -> u64 {
        record::size(taken)
    }

    /// Writes these records. All of them have outlasted this process once this returns; on an error none has.
    pub fn append(&mut self, records: Vec<Record>) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        self.buffer.clear();
        for record in &records {
            record::write(&mut self.buffer, record);
        }
        if whole_blocks(self.written + self.buffer.len() as u64) > self.most {
            self.compact()?;
        }
        if let Err(e) = self.file.write_all(&self.buffer) {
            // Part of it may have been written, and nothing behind a torn record is read again.
            self.file.set_len(self.written)?;
            return Err(e);
        }
        self.written += self.buffer.len() as u64;
        records.into_iter().for_each(|record| self.apply(record));
        Ok(())
    }

    /// Puts a file with what is still owed in the place of the old one.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for envelope in self.unended() {
            record::write(&mut bytes, &Record::Taken(envelope.taken.clone()));
            for (no, begun) in envelope.dispatches.iter().enumerate() {
                let no = no as u32;
                let (id, target) = (envelope.taken.id.clone(), begun.target.to_string());
                record::write(&mut bytes, &Record::Begun { id: id.clone(), no, target, at: begun.at });
                if let Some(never_ran) = begun.ended {
                    record::write(&mut bytes, &Record::Returned { id, no, never_ran });
                }
            }
        }
        for (id, end) in &self.untold {
            record::write(&mut bytes, &Record::Ended { id: id.0.to_string(), notice: Some(*end) });
        }
        let new = self.path.with_extension("new");
        let mut file = OpenOptions::new().append(true).create(true).open(&new)?;
        let written = file.set_len(0).and_then(|()| file.write_all(&bytes));
        if let Err(e) = written.and_then(|()| fs::rename(&new, &self.path)) {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        self.file = file;
        self.written = bytes.len() as u64;
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken(taken) => {
                self.owed += record::size(&taken);
                let id = EnvelopeId(Arc::from(taken.id.as_str()));
                self.places += 1;
                self.unended.insert(id, Unended { taken, place: self.places, dispatches: Vec::new() });
            }
            Record::Begun { id, no, target, at } => {
                if let Some(envelope) = self.unended.get_mut(&EnvelopeId(Arc::from(id))) {
                    // Numbers follow each other, and a gap would be a dispatch that is not known of.
                    let begun = Begun { target: Arc::from(target), at, ended: None };
                    let known = envelope.dispatches.len().max(no as usize + 1);
                    envelope.dispatches.resize(known, begun);
                }
            }
            Record::Returned { id, no, never_ran } => {
                let envelope = self.unended.get_mut(&EnvelopeId(Arc::from(id)));
                if let Some(begun) = envelope.and_then(|e| e.dispatches.get_mut(no as usize)) {
                    begun.ended = Some(never_ran);
                }
            }
            Record::Ended { id, notice } => {
                let id = EnvelopeId(Arc::from(id));
                if let Some(envelope) = self.unended.remove(&id) {
                    self.owed = self.owed.saturating_sub(record::size(&envelope.taken));
                }
                if let Some(end) = notice {
                    self.owed += UNTOLD;
                    self.untold.insert(id, end);
                }
            }
            Record::Told { id } => {
                if self.untold.remove(&EnvelopeId(Arc::from(id))).is_some() {
                    self.owed = self.owed.saturating_sub(UNTOLD);
                }
            }
        }
    }
}
