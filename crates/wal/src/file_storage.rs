//! A folder on the real file system.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::WalError;
use crate::storage::Storage;

/// The file whose lock the writing process holds.
const LOCK_FILE: &str = "lock";
/// The most files that are kept open: the segment that is written, those that are copied from, the reserve.
const MAX_OPEN_FILES: usize = 4;

/// A folder on disk.
pub struct FileStorage {
    path: PathBuf,
    /// Files that were appended to and are kept open.
    open_files: BTreeMap<String, File>,
    /// Held as long as this process writes here.
    _lock: Option<File>,
}

impl FileStorage {
    /// Opens a folder for writing, and holds its lock until this is dropped.
    ///
    /// # Errors
    ///
    /// [`WalError::AlreadyOpen`] if another process holds the lock.
    pub fn open_for_writing(path: &Path) -> Result<FileStorage, WalError> {
        let lock = File::create(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|_| WalError::AlreadyOpen)?;
        Ok(FileStorage { path: path.to_owned(), open_files: BTreeMap::new(), _lock: Some(lock) })
    }

    /// Opens a folder for reading, also while another process writes it.
    pub fn open_for_reading(path: &Path) -> FileStorage {
        FileStorage { path: path.to_owned(), open_files: BTreeMap::new(), _lock: None }
    }

    /// The open file with this name; it is opened or created if necessary.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) && self.open_files.len() >= MAX_OPEN_FILES {
            // The lowest name first, which is the oldest segment.
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
                // Not found: the writer has removed it since its name was read.
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
