//! What a forwarder is given at its start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reeddock::Settings;
use tokio::sync::watch;

use crate::cached_endpoint_list::CachedEndpointList;
use crate::limits::ResourceLimits;

/// What one forwarder is given at its start.
pub struct ForwarderOptions {
    /// Where clients connect; [`serve_on`](crate::serve_on) uses the socket that it is given instead.
    pub listen: SocketAddr,
    /// The address of discovery and of the platform, which is the same, now and whenever it changes.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The state folder, which outlasts the process: the write-ahead log is there.
    pub state: PathBuf,
    /// What the machine gives this forwarder.
    pub resources: ResourceLimits,
    /// The endpoint list as it was last known.
    pub cached_list: CachedEndpointList,
    /// The settings of the delivery policy.
    pub settings: Settings,
    /// The policy runs its due work at most once in this interval; zero runs it after each event.
    pub tick: Duration,
    /// When the write-ahead log is synced, so that it outlasts the machine and not the process alone.
    pub sync: reeddock_wal::SyncPolicy,
    /// An attempt to connect to an endpoint ends after this time.
    pub connect_within: Duration,
    /// An endpoint closes a connection that has been idle for this long.
    pub closed_after: Duration,
    /// The process stops at the latest this long after it was asked to.
    pub shutdown_grace: Duration,
    /// New client connections are still accepted for this long after the process was asked to stop.
    pub accept_grace: Duration,
}
