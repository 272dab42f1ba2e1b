//! Adapter between the simulator's wire, which has one JSON batch per line, and [`reeddock::DeliveryPolicy`].
//! The adapter makes no delivery decisions.
//!
//! A batch holds events for some of the simulated forwarders, and its reply holds their commands.
//! [`SimulationAdapter`] hosts one delivery policy for each forwarder.

mod adapter;
mod commands;
mod error;
mod event;
mod event_fields;
mod instance;

pub use adapter::SimulationAdapter;
pub use error::AdapterError;
