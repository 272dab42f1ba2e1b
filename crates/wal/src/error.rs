//! The errors of the write-ahead log.

use std::io;

/// An error of opening, reading or appending to a write-ahead log.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// A file operation failed. [`WalError::is_storage_full`] distinguishes a full disk from other errors.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The folder's lock could not be acquired, usually because another process holds it.
    #[error("cannot lock the folder: another process has its write-ahead log open for writing")]
    AlreadyOpen,
    /// A file was written by a later version of the program. Opening the log changed nothing.
    #[error("{file} has format version {found}, expected version {newest} or earlier")]
    UnsupportedVersion {
        /// Name of the file in the folder.
        file: String,
        /// Format version in the file.
        found: u16,
        /// Newest format version that this program reads.
        newest: u16,
    },
    /// A record of a pending message can't be decoded, although it could when the index was built.
    #[error("{file}: the record at byte {offset} is corrupt, expected a message with a matching checksum")]
    CorruptRecord {
        /// Name of the segment's file, or of the single file of the oldest format.
        file: String,
        /// Offset of the record's frame in bytes.
        offset: u64,
    },
    /// The record at the location of a pending message is valid, but carries no message.
    #[error(
        "the record of a pending message has another type, expected an accepted message or its checkpoint"
    )]
    UnexpectedRecord,
}

impl WalError {
    /// Returns the corresponding kind of I/O error, for callers that report an [`io::Error`].
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            WalError::Io(error) => error.kind(),
            WalError::AlreadyOpen => io::ErrorKind::Other,
            WalError::UnsupportedVersion { .. } => io::ErrorKind::Unsupported,
            WalError::CorruptRecord { .. } | WalError::UnexpectedRecord => io::ErrorKind::InvalidData,
        }
    }

    /// Returns whether no space was left on the disk or within the folder's limit.
    pub fn is_storage_full(&self) -> bool {
        self.kind() == io::ErrorKind::StorageFull
    }

    /// Returns the error for an append that does not fit.
    pub(crate) fn storage_full() -> WalError {
        WalError::Io(io::ErrorKind::StorageFull.into())
    }
}
