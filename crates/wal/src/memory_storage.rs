//! A folder in memory that injects faults, for tests of the write-ahead log and of its users: it can stop after any
//! operation, tear a write at any byte, run out of space, refuse renames, truncations and removals, and lose bytes that
//! were not synced.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::storage::Storage;

/// A file.
#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    /// How many of them survive a loss of the machine.
    synced: usize,
}

/// The faults that a folder injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// After this many changing operations all operations fail, as if the process was killed.
    pub stops_after: Option<u64>,
    /// If the operation at the stop is an append, this many of its bytes are still written.
    pub torn_write_bytes: usize,
    /// The most bytes that all files together may have; unlimited if `None`.
    pub capacity: Option<u64>,
    /// Renames fail.
    pub refuses_renames: bool,
    /// Truncations fail.
    pub refuses_truncations: bool,
    /// Removals fail.
    pub refuses_removals: bool,
}

#[derive(Default)]
struct Folder {
    files: BTreeMap<String, Content>,
    /// The files as they are after a loss of the machine, except that unsynced bytes are still in them.
    synced_directory: BTreeMap<String, Content>,
    faults: Faults,
    operations: u64,
    operation_log: Vec<String>,
}

/// A folder in memory. Clones share it, so that a test keeps access to the folder that a log writes.
#[derive(Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<Folder>>);

/// The error of a folder that was stopped.
#[derive(Debug, thiserror::Error)]
#[error("stopped here by the test")]
struct SimulatedStop;

fn stopped() -> io::Error {
    io::Error::other(SimulatedStop)
}

impl MemoryStorage {
    fn lock(&self) -> MutexGuard<'_, Folder> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Replaces the faults from here on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// How many changing operations there were.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// The changing operations that were carried out, in their order.
    pub fn operation_log(&self) -> Vec<String> {
        self.lock().operation_log.clone()
    }

    /// Bytes of all files.
    pub fn total_bytes(&self) -> u64 {
        self.lock().files.values().map(|file| file.bytes.len() as u64).sum()
    }

    /// A copy of the folder as the next process finds it after a kill of this one.
    pub fn after_kill(&self) -> MemoryStorage {
        let files = self.lock().files.clone();
        MemoryStorage(Arc::new(Mutex::new(Folder {
            synced_directory: files.clone(),
            files,
            ..Folder::default()
        })))
    }

    /// A copy of the folder as it is found after a loss of the machine: what was not synced is gone.
    pub fn after_machine_loss(&self) -> MemoryStorage {
        let mut files = self.lock().synced_directory.clone();
        for content in files.values_mut() {
            content.bytes.truncate(content.synced);
        }
        MemoryStorage(Arc::new(Mutex::new(Folder {
            synced_directory: files.clone(),
            files,
            ..Folder::default()
        })))
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, name: &str, offset: usize, bit: u8) {
        let mut folder = self.lock();
        if let Some(byte) = folder.files.get_mut(name).and_then(|file| file.bytes.get_mut(offset)) {
            *byte ^= 1 << bit;
        }
    }

    /// Writes a whole file, synced, past all faults.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let content = Content { bytes: bytes.to_vec(), synced: bytes.len() };
        self.lock().files.insert(name.to_owned(), content);
    }

    /// The content of a file; empty where there is none.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.lock().files.get(name).map(|file| file.bytes.clone()).unwrap_or_default()
    }
}

impl Folder {
    /// Counts a changing operation. True where it is the one at the stop, which may be torn; operations behind it
    /// fail.
    fn begin(&mut self, description: String) -> io::Result<bool> {
        if self.faults.stops_after.is_some_and(|limit| self.operations >= limit) {
            let at_stop = self.faults.stops_after == Some(self.operations);
            self.operations += 1;
            return if at_stop { Ok(true) } else { Err(stopped()) };
        }
        self.operations += 1;
        self.operation_log.push(description);
        Ok(false)
    }
}

impl Storage for MemoryStorage {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        Ok(self.lock().files.iter().map(|(name, file)| (name.clone(), file.bytes.len() as u64)).collect())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.lock();
        let torn = folder.begin(format!("append {name} {}", bytes.len()))?;
        let used: u64 = folder.files.values().map(|file| file.bytes.len() as u64).sum();
        let free = folder.faults.capacity.map_or(u64::MAX, |capacity| capacity.saturating_sub(used));
        let limit = if torn { folder.faults.torn_write_bytes } else { usize::MAX };
        let fits = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX)).min(limit);
        if !torn || fits > 0 {
            folder.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(&bytes[..fits]);
        }
        if torn {
            return Err(stopped());
        }
        if fits < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin(format!("truncate {name} {length}"))? || folder.faults.refuses_truncations {
            return Err(stopped());
        }
        let content = folder.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin(format!("rename {from} {to}"))? || folder.faults.refuses_renames {
            return Err(stopped());
        }
        let content = folder.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        folder.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin(format!("remove {name}"))? || folder.faults.refuses_removals {
            return Err(stopped());
        }
        folder.files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin(format!("sync {name}"))? {
            return Err(stopped());
        }
        let content = folder.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.synced = content.bytes.len();
        let content = content.clone();
        // Where the directory was synced with the file's name, the file survives a loss of the machine.
        if let Some(kept) = folder.synced_directory.get_mut(name) {
            *kept = content;
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin("sync directory".to_owned())? {
            return Err(stopped());
        }
        folder.synced_directory = folder.files.clone();
        Ok(())
    }

    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        let bytes = self.lock().files.get(name).ok_or(io::ErrorKind::NotFound)?.bytes.clone();
        Ok(Box::new(io::Cursor::new(bytes)))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let folder = self.lock();
        let content = folder.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        let from = offset as usize;
        let bytes = content.bytes.get(from..from + length);
        bytes.map(<[u8]>::to_vec).ok_or(io::ErrorKind::UnexpectedEof.into())
    }
}
