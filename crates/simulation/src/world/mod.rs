//! The run itself: events in order of time, each handled by the part that it belongs to.
//!
//! [`state`] holds the world. All other modules add to it what they do: [`clients`] submit messages, [`messages`]
//! follow them to their final answer, [`inbox`] passes events on to forwarders, [`commands`] are what their policies
//! ask for, [`attempts`] travel in [`requests`], [`endpoints`] accept or reject these and [`service`] executes them,
//! [`outages`] and [`faults`] come and go, and [`results`] are read at the end.

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
