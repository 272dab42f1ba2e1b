//! Indices of the objects of a simulated world.

/// Index of a forwarder; a restart keeps the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderIndex(pub usize);

/// One incarnation of a forwarder. Events that were scheduled for an earlier incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwarderIncarnation {
    pub(crate) forwarder: ForwarderIndex,
    /// Incremented at each start and each kill.
    pub(crate) number: u32,
}

/// Index of a destination: its rank by traffic, 0 for the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationIndex(pub usize);

/// Index of an endpoint among those of all destinations; a replacement of an endpoint gets a new index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// Index of one hand-over of a message to one forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageIndex(pub usize);

/// Index of what a client wants delivered. Each time that the client submits it again after a rejection, it
/// gets a further [`MessageIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionIndex(pub usize);

/// Index of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestIndex(pub usize);
