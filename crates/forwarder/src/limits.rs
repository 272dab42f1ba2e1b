//! What this machine has room for, derived from the limits that a forwarder is told. These are the network's
//! own: they say what it can carry, never what should go.

/// What a forwarder is told of its machine.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    pub memory_bytes: u64,
    pub descriptors: usize,
    pub disk_bytes: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients that are served; those beyond are told that there is no room.
    pub clients: usize,
    /// Connections of clients that are accepted at all.
    pub accepted: usize,
    /// Connections of clients up to which those that were answered are kept for more: clients hold only so many
    /// too, and some ask once and stay, so that the others could not come.
    pub kept: usize,
    /// Closed connections of clients that are still read from.
    pub lingering: usize,
    /// Connections to endpoints, idle ones counted.
    pub requests: usize,
    /// Hand-ins that wait for the owner of the delivery policy.
    pub queue: usize,
    /// Bytes of messages that are kept in memory.
    pub bodies: u64,
}

/// Descriptors that are kept back from clients and from calls, so that neither can keep the list, the notices or the
/// ledger from going on.
#[derive(Clone, Copy, Debug)]
pub struct Reserve {
    pub standard_streams: usize,
    /// What the runtime waits on, its wake-ups and its signals.
    pub runtime: usize,
    pub listener: usize,
    /// Its lock, the segments that are open, one that is read or made beside them, and its folder.
    pub log: usize,
    /// The configuration, as it is read again.
    pub configuration: usize,
    /// The watch on the list, and one that is being closed.
    pub watch: usize,
    /// The connection for notices, and one that is being closed.
    pub notices: usize,
    /// What the libraries may open beside these.
    pub margin: usize,
}

pub const RESERVE: Reserve = Reserve {
    standard_streams: 3,
    runtime: 8,
    listener: 1,
    log: 8,
    configuration: 1,
    watch: 2,
    notices: 2,
    margin: 7,
};

impl Reserve {
    pub const fn total(&self) -> usize {
        self.standard_streams
            + self.runtime
            + self.listener
            + self.log
            + self.configuration
            + self.watch
            + self.notices
            + self.margin
    }
}

impl Limits {
    pub fn derive(resources: ResourceLimits) -> Limits {
        let free = resources.descriptors.saturating_sub(RESERVE.total()).max(8);
        // Clients that ask once and stay, or never ask, take more places than calls do.
        let places = free * 3 / 5;
        let lingering = places / 8;
        let accepted = places - lingering;
        Limits {
            clients: accepted - accepted / 8,
            accepted,
            lingering,
            kept: places / 8,
            requests: free - places,
            queue: 1024,
            // The rest is for connections, each with the body that it is reading, and for the program.
            bodies: resources.memory_bytes / 4,
        }
    }
}
