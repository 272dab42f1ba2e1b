//! The errors of the write-ahead log.

use std::io;

/// Why the write-ahead log could not be opened, read or appended to.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The storage failed; [`WalError::is_storage_full`] distinguishes a full disk from other errors.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds the lock of the folder, or it could not be acquired.
    #[error("another process writes this ledger")]
    AlreadyOpen,
    /// A file was written by a later version of the program. Nothing was changed.
    #[error("{file} is of version {found}, and this program knows {newest} at most")]
    UnsupportedVersion {
        /// The name of the file in the folder.
        file: String,
        /// The version in the file.
        found: u16,
        /// The newest version that this program reads.
        newest: u16,
    },
    /// A record that the index knows can't be decoded any more.
    #[error("{file}: the record at byte {offset} is corrupt")]
    CorruptRecord {
        /// The name of the segment's file.
        file: String,
        /// Offset of the record's frame in bytes.
        offset: u64,
    },
    /// The record at a location that the index knows is valid, but carries no message.
    #[error("the record at this location carries no message")]
    UnexpectedRecord,
}

impl WalError {
    /// The kind of the I/O error that corresponds to this error, for callers that report [`io::Error`]s.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            WalError::Io(error) => error.kind(),
            WalError::AlreadyOpen => io::ErrorKind::Other,
            WalError::UnsupportedVersion { .. } => io::ErrorKind::Unsupported,
            WalError::CorruptRecord { .. } | WalError::UnexpectedRecord => io::ErrorKind::InvalidData,
        }
    }

    /// Whether no space was left, on the disk or within the folder's limit.
    pub fn is_storage_full(&self) -> bool {
        self.kind() == io::ErrorKind::StorageFull
    }

    /// The error for an append that does not fit.
    pub(crate) fn storage_full() -> WalError {
        WalError::Io(io::ErrorKind::StorageFull.into())
    }
}
