//! A folder in memory that injects faults, for tests: failures after any operation, torn writes, a full disk,
//! failed renames, truncations and removals, and the loss of unsynced bytes.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::storage::Storage;

#[derive(Clone, Debug, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// Number of bytes, from the start, that survive a loss of the machine.
    synced: usize,
}

/// The faults that a folder in memory injects; none by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Number of changing operations after which all further ones fail, as if the process was killed; `None`
    /// for no limit.
    pub fails_after_operations: Option<u64>,
    /// Number of bytes that the first failing operation still writes if that operation is an append.
    pub torn_write_bytes: usize,
    /// Maximum total size of all files in bytes; `None` for no limit.
    pub capacity_bytes: Option<u64>,
    /// Whether all renames fail.
    pub renames_fail: bool,
    /// Whether all truncations fail.
    pub truncations_fail: bool,
    /// Whether all removals fail.
    pub removals_fail: bool,
}

#[derive(Default)]
struct Folder {
    files: BTreeMap<String, FileContent>,
    /// Files that remain after a loss of the machine, with bytes that may be unsynced.
    synced_directory: BTreeMap<String, FileContent>,
    faults: Faults,
    operation_count: u64,
    operation_log: Vec<String>,
}

/// A folder in memory. Clones share the folder, so that a test can access the files that a log writes.
#[derive(Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<Folder>>);

/// The error of an operation that fails because of [`Faults`].
#[derive(Debug, thiserror::Error)]
#[error("operation failed because of a fault injected by the test")]
struct InjectedFault;

fn injected_fault() -> io::Error {
    io::Error::other(InjectedFault)
}

impl MemoryStorage {
    fn lock(&self) -> MutexGuard<'_, Folder> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Replaces the faults for all further operations.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the number of changing operations, including failed ones.
    pub fn operation_count(&self) -> u64 {
        self.lock().operation_count
    }

    /// Returns descriptions of the changing operations before the limit of
    /// [`Faults::fails_after_operations`], in their order.
    pub fn operation_log(&self) -> Vec<String> {
        self.lock().operation_log.clone()
    }

    /// Returns the total size of all files in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.lock().files.values().map(|file| file.bytes.len() as u64).sum()
    }

    /// Returns a copy of the folder as the next process finds it after a kill, without faults.
    pub fn after_kill(&self) -> MemoryStorage {
        let files = self.lock().files.clone();
        MemoryStorage(Arc::new(Mutex::new(Folder {
            synced_directory: files.clone(),
            files,
            ..Folder::default()
        })))
    }

    /// Returns a copy of the folder as it is after a loss of the machine: without unsynced bytes and names,
    /// and without faults.
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

    /// Flips one bit of the byte at `offset`; does nothing if there is no such byte.
    pub fn flip_bit(&self, name: &str, offset: usize, bit: u8) {
        let mut folder = self.lock();
        if let Some(byte) = folder.files.get_mut(name).and_then(|file| file.bytes.get_mut(offset)) {
            *byte ^= 1 << bit;
        }
    }

    /// Creates or replaces a file regardless of faults. The content survives a loss of the machine after the
    /// next sync of the directory.
    pub fn write_file(&self, name: &str, bytes: &[u8]) {
        let content = FileContent { bytes: bytes.to_vec(), synced: bytes.len() };
        self.lock().files.insert(name.to_owned(), content);
    }

    /// Returns the content of a file; empty if the file does not exist.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.lock().files.get(name).map(|file| file.bytes.clone()).unwrap_or_default()
    }
}

impl Folder {
    /// Counts a changing operation. Returns true for the first operation after the limit, which may be a torn
    /// append; fails for all later ones.
    fn begin_operation(&mut self, description: String) -> io::Result<bool> {
        if self.faults.fails_after_operations.is_some_and(|limit| self.operation_count >= limit) {
            let at_limit = self.faults.fails_after_operations == Some(self.operation_count);
            self.operation_count += 1;
            return if at_limit { Ok(true) } else { Err(injected_fault()) };
        }
        self.operation_count += 1;
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
        let torn = folder.begin_operation(format!("append {name} {}", bytes.len()))?;
        let used: u64 = folder.files.values().map(|file| file.bytes.len() as u64).sum();
        let free = folder
            .faults
            .capacity_bytes
            .map_or(u64::MAX, |capacity_bytes| capacity_bytes.saturating_sub(used));
        let limit = if torn { folder.faults.torn_write_bytes } else { usize::MAX };
        let fits = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX)).min(limit);
        if !torn || fits > 0 {
            folder.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(&bytes[..fits]);
        }
        if torn {
            return Err(injected_fault());
        }
        if fits < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin_operation(format!("truncate {name} {length}"))? || folder.faults.truncations_fail {
            return Err(injected_fault());
        }
        let content = folder.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin_operation(format!("rename {from} {to}"))? || folder.faults.renames_fail {
            return Err(injected_fault());
        }
        let content = folder.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        folder.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin_operation(format!("remove {name}"))? || folder.faults.removals_fail {
            return Err(injected_fault());
        }
        folder.files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin_operation(format!("sync {name}"))? {
            return Err(injected_fault());
        }
        let content = folder.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.synced = content.bytes.len();
        let content = content.clone();
        // The file survives a loss of the machine only if the directory was synced with its name.
        if let Some(kept) = folder.synced_directory.get_mut(name) {
            *kept = content;
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.begin_operation("sync directory".to_owned())? {
            return Err(injected_fault());
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
