//! A folder of one test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A new folder in the system's place for temporary files, removed with the test, however that goes.
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> TempFolder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("reeddock-{name}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
