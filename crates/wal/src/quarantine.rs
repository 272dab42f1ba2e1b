//! The quarantine: files with corrupt parts that the log no longer needs, kept for inspection up to a limit.

use std::collections::BTreeMap;

use crate::compaction_plan::round_up_to_blocks;

/// Prefix that is added to the names of quarantined files.
const NAME_PREFIX: &str = "damaged-";
/// Divisor of the folder's limit that gives the maximum size of the quarantine in bytes.
const FOLDER_SHARE_DIVISOR: u64 = 16;

/// The quarantined files of a folder, with their lengths in bytes.
pub(crate) struct Quarantine {
    files: BTreeMap<String, u64>,
}

impl Quarantine {
    /// Returns the quarantine of a folder; `files` are the names and lengths of all files in the folder.
    pub fn from_files(files: &BTreeMap<String, u64>) -> Quarantine {
        let quarantined = files.iter().filter(|(name, _)| name.starts_with(NAME_PREFIX));
        Quarantine { files: quarantined.map(|(name, size)| (name.clone(), *size)).collect() }
    }

    /// Returns the name that a file gets when it is moved into quarantine.
    pub fn name_for(file: &str) -> String {
        format!("{NAME_PREFIX}{file}")
    }

    /// Adds a file that was renamed into quarantine.
    pub fn insert(&mut self, name: String, size: u64) {
        self.files.insert(name, size);
    }

    /// Returns the size of all quarantined files in bytes, each rounded up to whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.files.values().map(|size| round_up_to_blocks(*size)).sum()
    }

    /// Drops the oldest file if the quarantine exceeds its share of `folder_bytes`, and returns its name. The
    /// caller removes the file from disk.
    pub fn pop_excess(&mut self, folder_bytes: u64) -> Option<String> {
        if self.used_bytes() <= folder_bytes / FOLDER_SHARE_DIVISOR {
            return None;
        }
        self.files.pop_first().map(|(name, _)| name)
    }
}
