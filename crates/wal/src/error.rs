//! The errors of the write-ahead log.

use std::io;

/// Why the write-ahead log could not be opened, read or appended to.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The storage failed; [`WalError::is_storage_full`] tells a full disk from other faults.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The lock of the folder is held by another process, or could not be taken.
    #[error("another process writes this ledger")]
    AlreadyOpen,
    /// A file was written by a later program. Nothing was changed.
    #[error("{file} is of version {found}, and this program knows {newest} at most")]
    UnsupportedVersion {
        /// The name of the file in the folder.
        file: String,
        /// The version that the file names.
        found: u16,
        /// The newest version that this program reads.
        newest: u16,
    },
    /// The bytes where a record is known to start can't be decoded.
    #[error("{file} at {offset} is damaged")]
    CorruptRecord {
        /// The name of the segment's file.
        file: String,
        /// Offset of the record's frame in bytes.
        offset: u64,
    },
    /// The record at a known location is whole, but is not one that carries a message.
    #[error("another record stands in its place")]
    UnexpectedRecord,
}

impl WalError {
    /// The kind of I/O error that this amounts to, for callers that report [`io::Error`]s.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            WalError::Io(error) => error.kind(),
            WalError::AlreadyOpen => io::ErrorKind::Other,
            WalError::UnsupportedVersion { .. } => io::ErrorKind::Unsupported,
            WalError::CorruptRecord { .. } | WalError::UnexpectedRecord => io::ErrorKind::InvalidData,
        }
    }

    /// Whether there was no space left, on the disk or within the folder's limit.
    pub fn is_storage_full(&self) -> bool {
        self.kind() == io::ErrorKind::StorageFull
    }

    /// The error of an append that does not fit.
    pub(crate) fn storage_full() -> WalError {
        WalError::Io(io::ErrorKind::StorageFull.into())
    }
}
