//! Temporary folders of tests.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A new folder among the system's temporary files, removed when dropped, also if the test panics.
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
