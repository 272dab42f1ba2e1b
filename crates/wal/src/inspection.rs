//! Reads a write-ahead log for tools, even while a forwarder writes it.

use std::io;
use std::path::Path;

use crate::error::WalError;
use crate::file_storage::FileStorage;
use crate::pending_index::PendingIndex;
use crate::recovery::{self, RecoveredState};
use crate::verification::VerificationReport;

/// Maximum number of times that a read is repeated because compaction removed a segment during the read.
const MAX_RETRIES: u32 = 10;

/// The contents of a folder's write-ahead log.
pub struct Inspection {
    /// Pending messages and unacknowledged notices.
    pub index: PendingIndex,
    /// Corrupt parts, and totals of what was read.
    pub verification: VerificationReport,
}

impl From<RecoveredState> for Inspection {
    fn from(state: RecoveredState) -> Inspection {
        Inspection { index: state.index, verification: state.verification }
    }
}

/// Reads the write-ahead log of a folder without a lock and without changing any file. A forwarder may write
/// the log at the same time.
///
/// # Errors
///
/// [`WalError::Io`] if a file can't be read, and [`WalError::UnsupportedVersion`] if a later program wrote
/// the log.
pub fn inspect(folder: &Path) -> Result<Inspection, WalError> {
    let storage = FileStorage::open_for_reading(folder);
    let mut retries = 0;
    loop {
        match recovery::read(&storage) {
            Ok(state) => return Ok(state.into()),
            // A segment was removed during the read, after its live records were copied to a later one.
            Err(error)
                if error.kind() == io::ErrorKind::NotFound && retries < MAX_RETRIES && folder.exists() =>
            {
                retries += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
