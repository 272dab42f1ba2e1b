//! The simulation and its invariant checks.

mod returning;
mod rules;
mod sharing;
mod spoilt;
mod worlds;
