//! The emulator and its oracles.

mod returning;
mod rules;
mod sharing;
mod spoilt;
mod worlds;
