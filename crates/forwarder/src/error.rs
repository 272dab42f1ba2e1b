//! The errors that prevent the start of a forwarder.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use reeddock_wal::WalError;
use thiserror::Error;

use crate::cached_endpoint_list::CachedListError;

/// An error that prevents the start of a forwarder. A forwarder that serves ends without an error.
#[derive(Debug, Error)]
pub enum ForwarderError {
    /// The listening socket for clients can't be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The listening address from the configuration.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The write-ahead log can't be opened.
    #[error("cannot open the write-ahead log in {}: {source}", folder.display())]
    OpenLog {
        /// The state folder, which contains the write-ahead log.
        folder: PathBuf,
        /// The error of the write-ahead log.
        source: WalError,
    },
    /// The cached endpoint list can't be read.
    #[error(transparent)]
    CachedList(#[from] CachedListError),
    /// The operating system does not return the address of the listening socket.
    #[error("cannot read the address of the listening socket: {0}")]
    LocalAddress(io::Error),
}
