//! Events that the policy reports for the operators. Nothing has to be done for them.

use std::fmt::{self, Display, Formatter};

use super::ids::{DestinationId, EndpointId};
use super::outcomes::AttemptOutcome;

/// What one circuit breaker is kept for: a whole destination, or one of its endpoints where
/// [`EndpointKind::circuit_per_endpoint`](crate::EndpointKind::circuit_per_endpoint) says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CircuitScope {
    /// All endpoints of a destination.
    Destination(DestinationId),
    /// One endpoint.
    Endpoint(EndpointId),
}

impl Display for CircuitScope {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            CircuitScope::Destination(destination) => write!(f, "destination {}", destination.0),
            CircuitScope::Endpoint(endpoint) => write!(f, "endpoint {}", endpoint.0),
        }
    }
}

/// Something that operators want to find in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyEvent {
    /// A closed circuit breaker has opened: only half-open trials are sent until it closes.
    CircuitOpened {
        /// What the circuit breaker is kept for.
        scope: CircuitScope,
        /// The outcome that opened it.
        outcome: AttemptOutcome,
    },
    /// A circuit breaker has closed again: requests pass, slowly at first.
    CircuitClosed {
        /// What the circuit breaker is kept for.
        scope: CircuitScope,
        /// The outcome that closed it.
        outcome: AttemptOutcome,
    },
}

impl Display for PolicyEvent {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            PolicyEvent::CircuitOpened { scope, outcome } => {
                write!(f, "circuit opened: {scope}, after {outcome:?}")
            }
            PolicyEvent::CircuitClosed { scope, outcome } => {
                write!(f, "circuit closed: {scope}, after {outcome:?}")
            }
        }
    }
}
