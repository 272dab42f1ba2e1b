//! Runs the delivery policy on random event streams. A stream depends only on its seed and on the policy's
//! commands, so that the same policy always produces the same recording.
//!
//! - `setup` draws the settings of a stream;
//! - `endpoint_set` holds the endpoints that discovery lists, and draws their responses;
//! - `messages` draws messages, and attempts from before a restart;
//! - `driver` runs the steps; it simulates the host of the delivery policy, clients, destinations and
//!   discovery;
//! - `command_log` keeps the policy's commands until the driver executes them;
//! - `list_transfer` passes endpoint lists to the policy; `transferred_list` holds a list that is being
//!   passed;
//! - `rule_model` checks the policy's commands against its rules.

mod command_log;
mod driver;
mod endpoint_set;
mod list_transfer;
mod messages;
mod rule_model;
mod setup;
mod transferred_list;

use std::io;

use crate::recording::{Recording, RecordingFormat};

pub use rule_model::Violation;

/// Runs the stream of a seed and records it; the seed takes the place of the forwarder number in the
/// recording.
pub fn record(seed: u64, recording: &Recording) {
    driver::StreamDriver::new(seed, recording.writer(seed)).run(usize::MAX);
}

/// Runs at most `max_steps` of the stream of a seed, and returns the rule violations of the delivery policy.
/// A smaller `max_steps` runs a prefix of the same stream, which allows a failure to be shrunk.
pub fn find_violations(seed: u64, max_steps: usize) -> Vec<Violation> {
    let recording = Recording::new(Box::new(io::sink()), RecordingFormat::Full);
    driver::StreamDriver::new(seed, recording.writer(seed)).run(max_steps)
}
