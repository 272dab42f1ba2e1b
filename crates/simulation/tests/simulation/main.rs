//! Tests of the simulation and its invariant checks.

mod defective_policy;
mod recovery;
mod rules;
mod sharing;
mod world;
