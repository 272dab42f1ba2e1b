//! Indices of the objects of a simulated world.

/// Index of a forwarder; a restart keeps the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderIndex(pub usize);

/// One incarnation of a forwarder. Events that were scheduled for an earlier incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwarderIncarnation {
    pub(crate) forwarder: ForwarderIndex,
    /// Number of the incarnation, incremented at each start and each kill of the forwarder.
    pub(crate) number: u32,
}

/// Index of a destination: its rank by traffic, 0 for the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationIndex(pub usize);

/// Index of an endpoint among those of all destinations; a replacement of an endpoint gets a new index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// Index of a message that a forwarder accepted. Each acceptance of the same [submission](SubmissionIndex)
/// gets an index of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageIndex(pub usize);

/// Index of a client's message, which stays the same when the client submits the message again. Each
/// acceptance by a forwarder adds a [`MessageIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionIndex(pub usize);

/// Index of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestIndex(pub usize);
