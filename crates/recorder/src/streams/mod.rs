//! Random event streams straight at the delivery policy. A stream depends on its seed and on what the delivery policy asks for, and
//! on nothing else, so that the same module gives the same recording.
//!
//! - [`setting`] draws the terms of a stream;
//! - [`listing`] keeps the list of endpoints as the stream tells it, and how each of them answers;
//! - [`model`] checks what the delivery policy asks for against its rules;
//! - [`player`] plays the steps: it is the host of the delivery policy, and the programs, destinations and discovery
//!   around it.

mod listing;
mod model;
mod player;
mod setting;

use std::io;
use std::sync::{Arc, Mutex};

use crate::recording::{Form, Recording, Tape};

pub use model::Violation;

/// Plays the stream of a seed and records it under that seed's number.
pub fn play(seed: u64, recording: &Arc<Mutex<Recording>>) {
    let tape = Tape::new(Arc::clone(recording), seed);
    player::Player::open(seed, tape).play(usize::MAX);
}

/// Plays the stream of a seed up to so many steps, and says which rules the delivery policy broke in it. A failure of a
/// long stream is looked for in shorter ones of the same seed.
pub fn check(seed: u64, most_steps: usize) -> Vec<Violation> {
    let recording = Recording::new(Box::new(io::sink()), Form::Full);
    let tape = Tape::new(Arc::new(Mutex::new(recording)), seed);
    player::Player::open(seed, tape).play(most_steps)
}
