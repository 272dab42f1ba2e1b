//! Random event streams straight at the delivery policy. A stream depends on its seed and on what the delivery policy asks for, and
//! on nothing else, so that the same policy gives the same recording.
//!
//! - [`setup`] draws the settings of a stream;
//! - [`listing`] keeps the list of endpoints as the stream tells it, and how each of them answers;
//! - [`model`] checks what the delivery policy asks for against its rules;
//! - [`driver`] plays the steps: it is the host of the delivery policy, and the programs, destinations and discovery
//!   around it.

mod command_log;
mod driver;
mod endpoint_set;
mod messages;
mod rule_model;
mod setup;

use std::io;
use std::sync::{Arc, Mutex};

use crate::recording::{Form, Recording, RecordingWriter};

pub use rule_model::Violation;

/// Plays the stream of a seed and records it under that seed's number.
pub fn play(seed: u64, recording: &Arc<Mutex<Recording>>) {
    let writer = RecordingWriter::new(Arc::clone(recording), seed);
    driver::StreamDriver::open(seed, writer).play(usize::MAX);
}

/// Plays the stream of a seed up to so many steps, and says which rules the delivery policy broke in it. A failure of a
/// long stream is looked for in shorter ones of the same seed.
pub fn check(seed: u64, most_steps: usize) -> Vec<Violation> {
    let recording = Recording::new(Box::new(io::sink()), Form::Full);
    let writer = RecordingWriter::new(Arc::new(Mutex::new(recording)), seed);
    driver::StreamDriver::open(seed, writer).play(most_steps)
}
