//! A folder in memory that fails as it is told: it stops after any operation, tears a write at any byte, runs
//! out of space, refuses a rename or a truncation, and loses what was not synced. For tests of whatever
//! stands on a ledger.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::storage::Storage;

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    /// Bytes that outlast the machine.
    synced: usize,
}

/// What is to go wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// After so many changing operations nothing works any more: the process is dead.
    pub stops_after: Option<u64>,
    /// So many bytes of an append that is the last before the stop are written all the same.
    pub tears_at: usize,
    /// Bytes that all files together may have.
    pub space: Option<u64>,
    pub refuses_renames: bool,
    pub refuses_truncations: bool,
    pub refuses_removals: bool,
}

#[derive(Default)]
struct Inside {
    files: BTreeMap<String, Content>,
    /// As they stand after a loss of the machine.
    names: BTreeMap<String, Content>,
    faults: Faults,
    operations: u64,
    log: Vec<String>,
}

/// Handles share one folder, which outlasts them.
#[derive(Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<Inside>>);

fn dead() -> io::Error {
    io::Error::other("stopped here by the test")
}

impl MemoryStorage {
    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn set(&self, faults: Faults) {
        self.inside().faults = faults;
    }

    /// Changing operations so far.
    pub fn operations(&self) -> u64 {
        self.inside().operations
    }

    /// What was done, in order.
    pub fn log(&self) -> Vec<String> {
        self.inside().log.clone()
    }

    /// Bytes of all files.
    pub fn size(&self) -> u64 {
        self.inside().files.values().map(|f| f.bytes.len() as u64).sum()
    }

    /// The folder as the next process finds it once this one is killed.
    pub fn after_a_kill(&self) -> MemoryStorage {
        let files = self.inside().files.clone();
        MemoryStorage(Arc::new(Mutex::new(Inside { names: files.clone(), files, ..Inside::default() })))
    }

    /// The folder as it is found once the machine was lost: what was not synced is gone.
    pub fn after_a_loss(&self) -> MemoryStorage {
        let mut files = self.inside().names.clone();
        for content in files.values_mut() {
            content.bytes.truncate(content.synced);
        }
        MemoryStorage(Arc::new(Mutex::new(Inside { names: files.clone(), files, ..Inside::default() })))
    }

    /// Turns one bit of a file.
    pub fn flip(&self, name: &str, byte: usize, bit: u8) {
        let mut inside = self.inside();
        if let Some(byte) = inside.files.get_mut(name).and_then(|f| f.bytes.get_mut(byte)) {
            *byte ^= 1 << bit;
        }
    }

    pub fn put(&self, name: &str, bytes: &[u8]) {
        let content = Content { bytes: bytes.to_vec(), synced: bytes.len() };
        self.inside().files.insert(name.to_owned(), content);
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.inside().files.get(name).map(|f| f.bytes.clone()).unwrap_or_default()
    }
}

impl Inside {
    /// Counts a changing operation; says whether it is the last, or is already past it.
    fn begin(&mut self, what: String) -> io::Result<bool> {
        if self.faults.stops_after.is_some_and(|most| self.operations >= most) {
            // The one at the very end may be torn; those after it never happen.
            let last = self.faults.stops_after == Some(self.operations);
            self.operations += 1;
            return if last { Ok(true) } else { Err(dead()) };
        }
        self.operations += 1;
        self.log.push(what);
        Ok(false)
    }
}

impl Storage for MemoryStorage {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        Ok(self.inside().files.iter().map(|(name, f)| (name.clone(), f.bytes.len() as u64)).collect())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inside = self.inside();
        let torn = inside.begin(format!("append {name} {}", bytes.len()))?;
        let used: u64 = inside.files.values().map(|f| f.bytes.len() as u64).sum();
        let free = inside.faults.space.map_or(u64::MAX, |space| space.saturating_sub(used));
        let most = if torn { inside.faults.tears_at } else { usize::MAX };
        let fits = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX)).min(most);
        if !torn || fits > 0 {
            inside.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(&bytes[..fits]);
        }
        if torn {
            return Err(dead());
        }
        if fits < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.begin(format!("truncate {name} {length}"))? || inside.faults.refuses_truncations {
            return Err(dead());
        }
        let content = inside.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.begin(format!("rename {from} {to}"))? || inside.faults.refuses_renames {
            return Err(dead());
        }
        let content = inside.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inside.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.begin(format!("remove {name}"))? || inside.faults.refuses_removals {
            return Err(dead());
        }
        inside.files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.begin(format!("sync {name}"))? {
            return Err(dead());
        }
        let content = inside.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.synced = content.bytes.len();
        let content = content.clone();
        // A file whose name is known outlasts the machine with its bytes.
        if let Some(kept) = inside.names.get_mut(name) {
            *kept = content;
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.begin("sync names".to_owned())? {
            return Err(dead());
        }
        inside.names = inside.files.clone();
        Ok(())
    }

    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        let bytes = self.inside().files.get(name).ok_or(io::ErrorKind::NotFound)?.bytes.clone();
        Ok(Box::new(io::Cursor::new(bytes)))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let inside = self.inside();
        let content = inside.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        let from = offset as usize;
        let bytes = content.bytes.get(from..from + length);
        bytes.map(<[u8]>::to_vec).ok_or(io::ErrorKind::UnexpectedEof.into())
    }
}
