//! Why a forwarder can't start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use reeddock_wal::WalError;
use thiserror::Error;

use crate::cached_endpoint_list::CachedListError;

/// Why a forwarder can't start. Once it serves, it ends without an error.
#[derive(Debug, Error)]
pub enum ForwarderError {
    /// The address for clients can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The write-ahead log can't be opened.
    #[error("write-ahead log in {}: {source}", folder.display())]
    OpenLog {
        /// The state folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: WalError,
    },
    /// The cached endpoint list can't be read any more.
    #[error(transparent)]
    CachedList(#[from] CachedListError),
    /// The system does not give the address of the listening socket.
    #[error(transparent)]
    LocalAddress(io::Error),
}
