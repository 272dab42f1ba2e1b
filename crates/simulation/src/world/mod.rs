//! The event loop of a simulation run.
//!
//! [`state`] defines [`World`], and the other modules implement its event handlers by topic: clients,
//! messages, forwarders, requests, endpoints and faults. [`results`] builds the report at the end of the run.

mod attempts;
mod clients;
mod commands;
mod endpoints;
mod event;
mod external_ids;
mod faults;
mod forwarder;
mod inbox;
mod lifecycle;
mod messages;
mod outages;
mod records;
mod requests;
mod results;
mod run;
mod service;
mod state;
mod true_state;

pub(crate) use state::World;
