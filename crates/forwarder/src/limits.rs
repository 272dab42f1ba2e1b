//! Resource limits of a forwarder, derived from its configuration. The limits protect the machine; the
//! delivery policy decides how much is sent to a destination.

use std::fmt;

/// The resources of the machine that a forwarder may use.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// The memory that the forwarder may use, in bytes.
    pub memory_bytes: u64,
    /// The number of file descriptors that the forwarder may have open.
    pub descriptors: usize,
    /// The disk space that the forwarder may use in the state folder, in bytes.
    pub disk_bytes: u64,
}

/// The limits that are derived from [`ResourceLimits`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of served client connections. Submissions on further connections are answered with
    /// 503.
    pub served_clients: usize,
    /// The maximum number of open client connections, including those beyond `served_clients`.
    pub accepted_clients: usize,
    /// The number of open client connections above which each connection is closed after its response, so
    /// that idle clients don't occupy all connections.
    pub keep_alive_clients: usize,
    /// The maximum number of closed client connections that are still read from.
    pub lingering_clients: usize,
    /// The maximum number of connections to endpoints, including idle ones.
    pub endpoint_connections: usize,
    /// The maximum number of events that are queued for the event loop, submissions included.
    pub queued_events: usize,
    /// The maximum length of a client's request head, in bytes, a power of two.
    pub request_head_bytes: usize,
    /// The maximum length of the head of an endpoint's response, in bytes, a power of two.
    pub response_head_bytes: usize,
    /// The maximum total capacity of the bodies of client requests that have no response yet, in bytes.
    pub request_body_bytes: u64,
    /// The maximum memory of the entries in one part of the endpoint list, in bytes. Names of endpoints take half
    /// of it at most.
    pub list_bytes: u64,
    /// The maximum total size of pending messages and of notices that the platform has not acknowledged, in bytes
    /// of memory.
    pub message_bytes: u64,
}

/// Writes the limits as one line of text for operators.
impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "client connections: {} accepted, {} served, {} kept alive, {} lingering; connections to endpoints: {}; \
             queued events: {}; bytes of a request head: {}, of a response head: {}, of all request bodies: {}, \
             of a list: {}; bytes of pending messages: {}",
            self.accepted_clients,
            self.served_clients,
            self.keep_alive_clients,
            self.lingering_clients,
            self.endpoint_connections,
            self.queued_events,
            self.request_head_bytes,
            self.response_head_bytes,
            self.request_body_bytes,
            self.list_bytes,
            self.message_bytes
        )
    }
}

/// Numbers of file descriptors that are reserved for other purposes than client connections and requests, so
/// that the endpoint list, notices and the write-ahead log always have descriptors.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorReserve {
    /// Descriptors of standard input, output and error.
    pub standard_streams: usize,
    /// Descriptors that the async runtime uses for its event queue, wake-ups and signals.
    pub runtime: usize,
    /// Descriptor of the listening socket for clients.
    pub listener: usize,
    /// Descriptors for the write-ahead log: its lock file, the open segments, one segment that is read or
    /// created, and the state folder.
    pub log: usize,
    /// Descriptor of the configuration file while it is reloaded.
    pub configuration: usize,
    /// Descriptors of the connection for the watch on the endpoint list, and of a previous one that is being
    /// closed.
    pub watch: usize,
    /// Descriptors of the connection for notices, and of a previous one that is being closed.
    pub notices: usize,
    /// Descriptors that libraries open in addition.
    pub margin: usize,
}

/// The reserve that [`Limits::derive`] subtracts from the forwarder's file descriptors.
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

/// The minimum number of descriptors for client connections and requests, assumed even if the reserve leaves
/// fewer.
const MIN_FREE_DESCRIPTORS: usize = 8;
/// The maximum number of events that are queued for the event loop, which handles at most 256 in one step.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// The memory that a notice takes until the platform has acknowledged it, in bytes, its entry in the write-ahead
/// log's index included.
pub(crate) const NOTICE_BYTES: u64 = 512;

/// The minimum of the limit on a message head, in bytes. The HTTP library accepts no lower one.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// The maximum length of a request head, in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 16 * 1024;
/// The maximum length of a response head, in bytes. Connections to the platform have this limit.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// Returns the limit on the length of a message head, with which the heads on all connections fit into
/// `memory_bytes`.
///
/// The limit is a power of two, like the capacity of the buffer that a head is received into.
fn head_limit(memory_bytes: u64, connections: usize, max: usize) -> usize {
    let share = memory_bytes / connections.max(1) as u64;
    let share = usize::try_from(share).unwrap_or(max).clamp(MIN_HEAD_BYTES, max);
    1 << share.ilog2()
}

impl DescriptorReserve {
    /// Returns the sum of all descriptors in the reserve.
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
        let free_descriptors =
            resources.descriptors.saturating_sub(DESCRIPTOR_RESERVE.total()).max(MIN_FREE_DESCRIPTORS);
        // Clients need more connections than requests do, because clients may stay connected without
        // submitting.
        let client_descriptors = free_descriptors * 3 / 5;
        let lingering_clients = client_descriptors / 8;
        let accepted_clients = client_descriptors - lingering_clients;
        let endpoint_connections = free_descriptors - client_descriptors;
        let eighth_of_memory = resources.memory_bytes / 8;
        Limits {
            served_clients: accepted_clients - accepted_clients / 8,
            accepted_clients,
            lingering_clients,
            keep_alive_clients: client_descriptors / 8,
            endpoint_connections,
            queued_events: EVENT_QUEUE_CAPACITY,
            request_head_bytes: head_limit(eighth_of_memory, accepted_clients, MAX_REQUEST_HEAD_BYTES),
            response_head_bytes: head_limit(eighth_of_memory, endpoint_connections, MAX_RESPONSE_HEAD_BYTES),
            // The remaining memory is for the other buffers of connections, the endpoint list and the program.
            request_body_bytes: eighth_of_memory,
            list_bytes: resources.memory_bytes,
            message_bytes: resources.memory_bytes / 4,
        }
    }
}
