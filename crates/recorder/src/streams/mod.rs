//! Random event streams straight at the module. A stream depends on its seed and on what the module asks for, and
//! on nothing else, so that the same module gives the same recording.
//!
//! - [`setting`] draws the terms of a stream;
//! - [`listing`] keeps the list of targets as the stream tells it, and how each of them answers;
//! - [`player`] plays the steps: it is the host of the module, and the programs, destinations and discovery
//!   around it.

mod listing;
mod player;
mod setting;

use std::sync::{Arc, Mutex};

use crate::recording::{Recording, Tape};

/// Plays the stream of a seed and records it under that seed's number.
pub fn play(seed: u64, recording: &Arc<Mutex<Recording>>) {
    play_steps(seed, usize::MAX, recording);
}

/// The same, stopped after so many steps: a failure of a long stream is looked for in shorter ones.
pub fn play_steps(seed: u64, most_steps: usize, recording: &Arc<Mutex<Recording>>) {
    let tape = Tape::new(Arc::clone(recording), seed);
    player::Player::open(seed, tape).play(most_steps);
}
