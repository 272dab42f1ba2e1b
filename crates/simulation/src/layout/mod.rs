//! The world as it is before the first message: destinations, endpoints and forwarders, drawn from the scenario by
//! the seed.

mod draw;
mod plan;
mod selection;

pub use plan::{DestinationPlan, EndpointPlan, FleetLayout, ForwarderPlan};
