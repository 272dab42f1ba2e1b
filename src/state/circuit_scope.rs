//! What a circuit breaker is kept for.

use crate::interface::{DestinationId, EndpointId};

/// What one circuit breaker is kept for: a whole destination, or one of its endpoints where the kind says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CircuitScope {
    /// All endpoints of a destination.
    Destination(DestinationId),
    /// One endpoint.
    Endpoint(EndpointId),
}
