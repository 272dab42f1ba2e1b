//! What a forwarder has taken on and still owes, in one file that outlasts its process.
//!
//! The file is append-only. Each record carries its length and a checksum; what a killed process left torn at
//! the end is cut at the next start. Once most of the file tells of envelopes that are over, what is still
//! owed is written to a new file, which takes the place of the old one.

mod books;
mod record;

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use reeddock_protocol::Notice;

pub use books::{Begun, Books, Unended};
pub use record::{Record, Taken};

/// A file counts in whole blocks of so many bytes.
const BLOCK: u64 = 512;

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
    books: Books,
    buffer: Vec<u8>,
}

fn whole_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

/// Reads what a folder's ledger says is owed, and how many bytes at its end can't be read; changes nothing.
pub fn look(folder: &Path) -> io::Result<(Books, usize)> {
    let bytes = fs::read(folder.join("ledger"))?;
    let mut books = Books::default();
    let torn = books.read(&bytes).len();
    Ok((books, torn))
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
            most: most_bytes * 11 / 20,
            most_owed: most_bytes * 2 / 5,
            books: Books::default(),
            buffer: Vec::new(),
        };
        let rest = ledger.books.read(&bytes);
        ledger.written = (bytes.len() - rest.len()) as u64;
        if !rest.is_empty() {
            tracing::warn!(bytes = rest.len(), "the ledger ends in a torn record, which is cut off");
            ledger.file.set_len(ledger.written)?;
        }
        Ok(ledger)
    }

    /// All that is owed.
    pub fn books(&self) -> &Books {
        &self.books
    }

    /// Bytes that are free for what is taken on from here on.
    pub fn room(&self) -> u64 {
        self.most_owed.saturating_sub(self.books.owed())
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
        records.into_iter().for_each(|record| self.books.apply(record));
        Ok(())
    }

    /// Puts a file with what is still owed in the place of the old one.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for envelope in self.books.unended() {
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
        for Notice { id, end } in self.books.untold() {
            record::write(&mut bytes, &Record::Ended { id: id.0.to_string(), notice: Some(end) });
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
}
