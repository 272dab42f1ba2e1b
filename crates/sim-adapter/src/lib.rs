//! The simulator's wire, a JSON batch a line, translated into calls of [`reeddock::DeliveryPolicy`] and back. Nothing is
//! decided here.
//!
//! A batch holds events for some of the forwarders that the simulator plays; the reply holds the commands that each of
//! them gives. [`SimulationAdapter`] hosts one delivery policy for each forwarder.

mod adapter;
mod commands;
mod error;
mod event;
mod event_fields;
mod instance;

pub use adapter::SimulationAdapter;
pub use error::AdapterError;
