//! The options of a forwarder.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reeddock::Settings;
use tokio::sync::watch;

use crate::cached_endpoint_list::CachedEndpointList;
use crate::limits::ResourceLimits;

/// The options of a forwarder. All are fixed at the start except for the address of discovery.
pub struct ForwarderOptions {
    /// The listening address for clients. [`serve_on`](crate::serve_on) ignores it and uses the given socket.
    pub listen: SocketAddr,
    /// The common address of discovery and the platform, which may change at any time.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The state folder, which contains the write-ahead log and is kept when the process ends.
    pub state_folder: PathBuf,
    /// The resources of the machine that the forwarder may use.
    pub resources: ResourceLimits,
    /// The endpoint list that was cached before the start.
    pub cached_list: CachedEndpointList,
    /// The settings of the delivery policy.
    pub settings: Settings,
    /// The minimum interval between two runs of the policy's due work. With zero, due work runs after each
    /// event.
    pub tick: Duration,
    /// The conditions under which the write-ahead log is synced to the disk.
    pub sync: reeddock_wal::SyncPolicy,
    /// The timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// The time after which endpoints close idle connections.
    pub endpoint_idle_timeout: Duration,
    /// The maximum time from the shutdown request to the end of the process.
    pub shutdown_grace: Duration,
    /// The time from the shutdown request during which new client connections are still accepted.
    pub accept_grace: Duration,
}
