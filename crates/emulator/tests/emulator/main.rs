//! The emulator and its oracles.

mod rules;
mod spoilt;
mod worlds;
