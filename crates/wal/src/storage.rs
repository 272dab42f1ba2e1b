//! The few file operations that the write-ahead log needs.

use std::collections::BTreeMap;
use std::io::{self, Read};

/// One flat folder of files.
///
/// [`FileStorage`](crate::FileStorage) is one on disk. [`MemoryStorage`](crate::memory_storage::MemoryStorage) is
/// one in memory that fails on command, for tests.
pub trait Storage: Send {
    /// Names of all files with their lengths in bytes.
    fn files(&self) -> io::Result<BTreeMap<String, u64>>;

    /// Appends to a file, which is created where it does not exist. After an error any part of the bytes may be in
    /// the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Shortens a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file in one step, replacing the one that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes what was written to a file survive a loss of the machine.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names survive a loss of the machine.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Reads a file from its start.
    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>>;

    /// Reads so many bytes from an offset in a file.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
}
