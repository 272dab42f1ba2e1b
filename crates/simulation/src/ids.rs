//! Indices by which the parts of a simulated world name each other.

/// A forwarder, over all its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderIndex(pub usize);

/// A forwarder between one start and its end: what was meant for an earlier incarnation is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwarderIncarnation {
    pub(crate) forwarder: ForwarderIndex,
    /// Raised at each start and each kill.
    pub(crate) number: u32,
}

/// A destination, by rank of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationIndex(pub usize);

/// An endpoint of any destination; what replaces an endpoint has an index of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// One submission of a message to one forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageIndex(pub usize);

/// What a client wants delivered, over all its submissions: each one after a rejection is a further
/// [`MessageIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionIndex(pub usize);

/// One request on its way to, at, or from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestIndex(pub usize);
