//! A folder in the file system.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::WalError;
use crate::storage::Storage;

/// Name of the file whose lock the writing process holds.
const LOCK_FILE: &str = "lock";
/// Maximum number of files that are kept open: the last segment, segments that are copied from, and the disk
/// reserve.
const MAX_OPEN_FILES: usize = 4;

/// A folder on disk.
pub struct FileStorage {
    path: PathBuf,
    /// Files that are kept open after an append, by name.
    open_files: BTreeMap<String, File>,
    /// Lock that is held until the storage is dropped; `None` for reading only.
    _lock: Option<File>,
}

impl FileStorage {
    /// Opens an existing folder for writing, and holds its lock until the storage is dropped.
    ///
    /// # Errors
    ///
    /// [`WalError::AlreadyOpen`] if the lock can't be acquired, and [`WalError::Io`] if the lock file can't
    /// be created.
    pub fn open_for_writing(path: &Path) -> Result<FileStorage, WalError> {
        let lock = File::create(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|_| WalError::AlreadyOpen)?;
        Ok(FileStorage { path: path.to_owned(), open_files: BTreeMap::new(), _lock: Some(lock) })
    }

    /// Returns a folder for reading, without a lock. Another process may write to the folder at the same
    /// time.
    pub fn open_for_reading(path: &Path) -> FileStorage {
        FileStorage { path: path.to_owned(), open_files: BTreeMap::new(), _lock: None }
    }

    /// Returns the open file with a name, and opens or creates the file if necessary.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) && self.open_files.len() >= MAX_OPEN_FILES {
            // The lowest name belongs to the oldest segment.
            self.open_files.pop_first();
        }
        match self.open_files.entry(name.to_owned()) {
            Entry::Occupied(open) => Ok(open.into_mut()),
            Entry::Vacant(vacant) => {
                let path = self.path.join(name);
                Ok(vacant.insert(OpenOptions::new().read(true).append(true).create(true).open(path)?))
            }
        }
    }
}

impl Storage for FileStorage {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            match entry.metadata() {
                Ok(metadata) if metadata.is_file() => {
                    files.insert(entry.file_name().to_string_lossy().into_owned(), metadata.len());
                }
                // The writing process may remove a file after its name is read.
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        Ok(files)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        Ok(Box::new(File::open(self.path.join(name))?))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        let opened_here;
        let mut file: &File = match self.open_files.get(name) {
            Some(file) => file,
            None => {
                opened_here = File::open(self.path.join(name))?;
                &opened_here
            }
        };
        file.seek(SeekFrom::Start(offset))?;
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    }
}
