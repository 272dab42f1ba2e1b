//! All file access of the write-ahead log: the few operations it needs, on the real file system and on one in memory
//! that fails as it is told.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// One flat folder. After an error of [`Storage::append`] any part of the bytes may stand in the file.
pub trait Storage: Send {
    /// Names and lengths of its files.
    fn files(&self) -> io::Result<BTreeMap<String, u64>>;
    /// Appends to a file, which is made where there is none.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Puts a file in the place of another in one step.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// What was written to the file outlasts the machine once this returns.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// So do the names of the folder.
    fn sync_names(&mut self) -> io::Result<()>;
    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>>;
    /// Some bytes from a place in a file.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
}

/// A folder on disk.
pub struct FileStorage {
    path: PathBuf,
    /// Files that were appended to or read from, kept open: the newest and those being copied from.
    open: BTreeMap<String, File>,
    /// Held as long as this process writes here.
    _lock: Option<File>,
}

/// Files kept open at most.
const MOST_OPEN: usize = 4;

impl FileStorage {
    /// For one writer; a second one is refused.
    pub fn to_write(path: &Path) -> io::Result<FileStorage> {
        let lock = File::create(path.join("lock"))?;
        lock.try_lock().map_err(|_| io::Error::other("another process writes this ledger"))?;
        Ok(FileStorage { path: path.to_owned(), open: BTreeMap::new(), _lock: Some(lock) })
    }

    /// Beside whoever writes.
    pub fn to_read(path: &Path) -> FileStorage {
        FileStorage { path: path.to_owned(), open: BTreeMap::new(), _lock: None }
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            if self.open.len() >= MOST_OPEN {
                // Oldest name first: segments are numbered.
                self.open.pop_first();
            }
            let file = OpenOptions::new().read(true).append(true).create(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::Error::other("not open"))
    }
}

impl Storage for FileStorage {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            match entry.metadata() {
                Ok(data) if data.is_file() => {
                    files.insert(entry.file_name().to_string_lossy().into_owned(), data.len());
                }
                // Gone since its name was read, beside a writer.
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        Ok(files)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.opened(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.opened(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.opened(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        Ok(Box::new(File::open(self.path.join(name))?))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        let mut once;
        let mut file: &File = match self.open.get(name) {
            Some(file) => file,
            None => {
                once = File::open(self.path.join(name))?;
                &mut once
            }
        };
        file.seek(SeekFrom::Start(offset))?;
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    }
}
