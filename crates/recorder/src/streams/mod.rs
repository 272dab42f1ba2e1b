//! Random event streams straight at the delivery policy. A stream depends on its seed and on the policy's commands,
//! and on nothing else, so that the same policy gives the same recording.
//!
//! - `setup` draws the settings of a stream;
//! - `endpoint_set` has the endpoints as discovery lists them, and how each of them responds;
//! - `messages` draws messages, and the attempts that some had before a restart;
//! - `driver` plays the steps: it is the host of the delivery policy, and the clients, destinations and discovery
//!   around it; `list_transfer` is its part that passes endpoint lists, `transferred_list` what it passes;
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

/// Plays the stream of a seed and records it under that seed's number.
pub fn record(seed: u64, recording: &Recording) {
    driver::StreamDriver::open(seed, recording.writer(seed)).play(usize::MAX);
}

/// Plays at most `max_steps` of the stream of a seed, and gives the rules that the delivery policy broke in them. A
/// failure of a long stream is looked for in shorter ones of the same seed.
pub fn find_violations(seed: u64, max_steps: usize) -> Vec<Violation> {
    let recording = Recording::new(Box::new(io::sink()), RecordingFormat::Full);
    driver::StreamDriver::open(seed, recording.writer(seed)).play(max_steps)
}
