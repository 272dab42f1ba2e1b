//! Quarantine: files with corrupt parts that are no longer needed and are kept for inspection, within a limit.

use std::collections::BTreeMap;

use crate::compaction_plan::whole_blocks;

/// The prefix of quarantined files' names; the original name follows.
const NAME_PREFIX: &str = "damaged-";
/// The quarantine may have one part in this many of the folder's limit.
const SHARE_OF_FOLDER: u64 = 16;

/// The quarantined files of a folder, with their lengths in bytes.
pub(crate) struct Quarantine {
    files: BTreeMap<String, u64>,
}

impl Quarantine {
    /// The quarantined files among the files of a folder.
    pub fn among(files: &BTreeMap<String, u64>) -> Quarantine {
        let quarantined = files.iter().filter(|(name, _)| name.starts_with(NAME_PREFIX));
        Quarantine { files: quarantined.map(|(name, size)| (name.clone(), *size)).collect() }
    }

    /// The name that a file gets in quarantine.
    pub fn name_for(file: &str) -> String {
        format!("{NAME_PREFIX}{file}")
    }

    /// Counts a file that was renamed into quarantine.
    pub fn insert(&mut self, name: String, size: u64) {
        self.files.insert(name, size);
    }

    /// Bytes of all files, in whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.files.values().map(|size| whole_blocks(*size)).sum()
    }

    /// If the quarantine is larger than a folder with this limit allows, drops the oldest file and returns its name;
    /// the caller removes the file.
    pub fn pop_excess(&mut self, folder_bytes: u64) -> Option<String> {
        if self.used_bytes() <= folder_bytes / SHARE_OF_FOLDER {
            return None;
        }
        self.files.pop_first().map(|(name, _)| name)
    }
}
