//! The options of a forwarder.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reeddock::Settings;
use tokio::sync::watch;

use crate::cached_endpoint_list::CachedEndpointList;
use crate::limits::ResourceLimits;

/// The options of a forwarder, fixed at its start except for the address of discovery.
pub struct ForwarderOptions {
    /// Where clients connect; [`serve_on`](crate::serve_on) uses the socket that it is given instead.
    pub listen: SocketAddr,
    /// The address of discovery and of the platform, which are the same; it may change at any time.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The state folder, which outlasts the process: the write-ahead log is there.
    pub state_folder: PathBuf,
    /// The resources of the machine that it may use.
    pub resources: ResourceLimits,
    /// The endpoint list as it was last known.
    pub cached_list: CachedEndpointList,
    /// The settings of the delivery policy.
    pub settings: Settings,
    /// The policy runs its due work at most once in this interval; zero runs it after each event.
    pub tick: Duration,
    /// When the write-ahead log is synced, so that it survives a loss of the machine.
    pub sync: reeddock_wal::SyncPolicy,
    /// The timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// Endpoints close connections that were idle for this long.
    pub endpoint_idle_timeout: Duration,
    /// The process stops at the latest this long after a shutdown was requested.
    pub shutdown_grace: Duration,
    /// New client connections are still accepted for this long after a shutdown was requested.
    pub accept_grace: Duration,
}
