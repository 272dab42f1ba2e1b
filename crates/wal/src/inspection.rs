//! Reads a write-ahead log for tools, also while a forwarder writes it.

use std::io;
use std::path::Path;

use crate::error::WalError;
use crate::file_storage::FileStorage;
use crate::pending_index::PendingIndex;
use crate::recovery::{self, RecoveredState};
use crate::verification::VerificationReport;

/// How often reading is started again because compaction removed a segment meanwhile, before the error is returned.
const MAX_RETRIES: u32 = 10;

/// The contents of a folder's write-ahead log.
pub struct Inspection {
    /// Its pending messages and unacknowledged notices.
    pub index: PendingIndex,
    /// Totals of what was read, and the parts that could not be read.
    pub verification: VerificationReport,
}

impl From<RecoveredState> for Inspection {
    fn from(state: RecoveredState) -> Inspection {
        Inspection { index: state.index, verification: state.verification }
    }
}

/// Reads a folder's write-ahead log, also while a forwarder writes it, and changes nothing.
///
/// # Errors
///
/// If a file can't be read, or has a later version.
pub fn inspect(folder: &Path) -> Result<Inspection, WalError> {
    let storage = FileStorage::open_for_reading(folder);
    let mut retries = 0;
    loop {
        match recovery::read(&storage) {
            Ok(state) => return Ok(state.into()),
            // A segment was dropped while it was being read: its live records are in a later one by now.
            Err(error)
                if error.kind() == io::ErrorKind::NotFound && retries < MAX_RETRIES && folder.exists() =>
            {
                retries += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
