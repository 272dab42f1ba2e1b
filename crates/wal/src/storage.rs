//! The file operations that the write-ahead log needs.

use std::collections::BTreeMap;
use std::io::{self, Read};

/// One folder of files, without subfolders.
///
/// [`FileStorage`](crate::FileStorage) is a folder on disk.
/// [`MemoryStorage`](crate::memory_storage::MemoryStorage) is a folder in memory that injects faults, for
/// tests.
pub trait Storage: Send {
    /// Returns the names of all files with their lengths in bytes.
    fn files(&self) -> io::Result<BTreeMap<String, u64>>;

    /// Appends to a file, and creates the file if it does not exist. After an error any number of the bytes
    /// may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Shortens a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file atomically, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; fails with `NotFound` if there is none.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the bytes written to a file survive a loss of the machine.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names survive a loss of the machine.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Returns a reader from the start of a file.
    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>>;

    /// Reads `length` bytes at an offset in a file.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
}
