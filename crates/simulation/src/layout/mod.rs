//! Initial state of a world: destinations, endpoints and forwarders, drawn at random from the scenario.

mod draw;
mod plan;
mod selection;

pub use plan::{DestinationPlan, EndpointPlan, FleetLayout, ForwarderPlan};
