//! The emulator and its oracles.

mod returning;
mod rules;
mod spoilt;
mod worlds;
