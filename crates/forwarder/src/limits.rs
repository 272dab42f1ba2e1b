//! Resource limits, derived from what the configuration allows a forwarder. They protect the machine; how much is sent
//! to a destination is the delivery policy's decision.

use std::fmt;

/// The resources of the machine that a forwarder may use.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// File descriptors.
    pub descriptors: usize,
    /// Bytes in the state folder.
    pub disk_bytes: u64,
}

/// The limits that follow from a machine's resources.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Client connections that are served; submissions on further ones are answered with 503.
    pub served_clients: usize,
    /// Client connections that are accepted at all.
    pub accepted_clients: usize,
    /// While more client connections than this are open, each is closed after its response: otherwise clients that
    /// submit once and stay connected would keep others out.
    pub keep_alive_clients: usize,
    /// Closed client connections that are still read from.
    pub lingering_clients: usize,
    /// Connections to endpoints, idle ones included.
    pub endpoint_connections: usize,
    /// Events that are queued for the event loop, submissions among them.
    pub queued_events: usize,
    /// Bytes of pending messages in memory.
    pub message_bytes: u64,
}

/// One line for operators.
impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "client connections: {} accepted, {} served, {} kept alive, {} lingering; connections to endpoints: {}; \
             queued events: {}; bytes of pending messages: {}",
            self.accepted_clients,
            self.served_clients,
            self.keep_alive_clients,
            self.lingering_clients,
            self.endpoint_connections,
            self.queued_events,
            self.message_bytes
        )
    }
}

/// Descriptors that neither client connections nor requests may use, so that the endpoint list, notices and the
/// write-ahead log always have descriptors.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorReserve {
    /// Standard input, output and error.
    pub standard_streams: usize,
    /// The runtime's event queue, wake-ups and signals.
    pub runtime: usize,
    /// The socket that clients connect to.
    pub listener: usize,
    /// The write-ahead log: its lock, the open segments, one that is read or made beside them, and its folder.
    pub log: usize,
    /// The configuration, as it is read again.
    pub configuration: usize,
    /// The watch on the endpoint list, and one that is being closed.
    pub watch: usize,
    /// The connection for notices, and one that is being closed.
    pub notices: usize,
    /// Descriptors that libraries may open in addition.
    pub margin: usize,
}

/// The reserve that [`Limits::derive`] subtracts.
pub const DESCRIPTOR_RESERVE: DescriptorReserve = DescriptorReserve {
    standard_streams: 3,
    runtime: 8,
    listener: 1,
    log: 8,
    configuration: 1,
    watch: 2,
    notices: 2,
    margin: 7,
};

/// A forwarder assumes at least this many descriptors beyond the reserve, even if fewer are configured.
const MIN_FREE_DESCRIPTORS: usize = 8;
/// Events that are queued for the event loop: a few of its steps, each of 256 events at most.
const EVENT_QUEUE: usize = 1024;

impl DescriptorReserve {
    /// All descriptors of the reserve.
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
    /// Divides a machine's resources among the parts of a forwarder.
    pub fn derive(resources: ResourceLimits) -> Limits {
        let free = resources.descriptors.saturating_sub(DESCRIPTOR_RESERVE.total()).max(MIN_FREE_DESCRIPTORS);
        // Clients that submit once and stay connected, or never submit, need more connections than requests do.
        let for_clients = free * 3 / 5;
        let lingering = for_clients / 8;
        let accepted = for_clients - lingering;
        Limits {
            served_clients: accepted - accepted / 8,
            accepted_clients: accepted,
            lingering_clients: lingering,
            keep_alive_clients: for_clients / 8,
            endpoint_connections: free - for_clients,
            queued_events: EVENT_QUEUE,
            // The rest is for connections, each with the body that it is reading, and for the program.
            message_bytes: resources.memory_bytes / 4,
        }
    }
}
