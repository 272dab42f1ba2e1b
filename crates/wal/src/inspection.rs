//! Reading a write-ahead log beside the forwarder that writes it, for tools.

use std::io;
use std::path::Path;

use crate::error::WalError;
use crate::file_storage::FileStorage;
use crate::pending_index::PendingIndex;
use crate::recovery::{self, RecoveredState};
use crate::verification::VerificationReport;

/// Readings that are started over, because compaction removed a segment meanwhile, before the fault is given.
const MAX_RETRIES: u32 = 10;

/// What a folder holds.
pub struct Inspection {
    /// Its pending messages and unacknowledged notices.
    pub index: PendingIndex,
    /// What was read, and what could not be.
    pub verification: VerificationReport,
}

impl From<RecoveredState> for Inspection {
    fn from(state: RecoveredState) -> Inspection {
        Inspection { index: state.index, verification: state.verification }
    }
}

/// Reads what a folder's write-ahead log holds, also while a forwarder writes it, and changes nothing.
///
/// # Errors
///
/// Where a file can't be read, or is of a later version.
pub fn inspect(folder: &Path) -> Result<Inspection, WalError> {
    let storage = FileStorage::open_for_reading(folder);
    let mut retries = 0;
    loop {
        match recovery::read(&storage) {
            Ok(state) => return Ok(state.into()),
            // A segment was dropped while it was being read: its live records stand further on.
            Err(error)
                if error.kind() == io::ErrorKind::NotFound && retries < MAX_RETRIES && folder.exists() =>
            {
                retries += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
