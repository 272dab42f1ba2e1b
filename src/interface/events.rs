//! Events that the policy reports for the operators' log. No action by the host is required.

use std::fmt::{self, Display, Formatter};

use super::ids::{DestinationId, EndpointId};
use super::outcomes::AttemptOutcome;

/// Endpoints that share one circuit breaker: those of a destination, or a single endpoint if
/// [`EndpointKind::circuit_per_endpoint`](crate::EndpointKind::circuit_per_endpoint) is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CircuitScope {
    /// Endpoints of a destination without circuit breakers of their own.
    Destination(DestinationId),
    /// Endpoint with a circuit breaker of its own.
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

/// Change that operators look up in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyEvent {
    /// A closed circuit breaker opened. Only half-open trials are sent until it closes.
    CircuitOpened {
        /// Endpoints that share the circuit breaker.
        scope: CircuitScope,
        /// Outcome of the attempt that opened the circuit breaker.
        outcome: AttemptOutcome,
    },
    /// A circuit breaker closed. Requests are sent again, in a limited number at first.
    CircuitClosed {
        /// Endpoints that share the circuit breaker.
        scope: CircuitScope,
        /// Outcome of the attempt that closed the circuit breaker.
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
