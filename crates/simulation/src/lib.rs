//! A simulation of a fleet of forwarders, their client programs and their destinations, at sizes that tests over sockets
//! don't reach. All its results are of simulated time.
//!
//! # Guarantees
//!
//! - A run is a function of scenario, seed and policy. It reads no clock, opens no file, starts no thread, and
//!   draws from random streams of its own seed, so that the same three give the same report, byte for byte, on any
//!   number of threads.
//! - Arrivals, work and faults are drawn from streams that no decision touches: two policies get the same
//!   arrivals and faults.
//! - Policies see what a forwarder sees and nothing else. Only [`policies::BuiltInPolicy::UpperBound`] looks at the
//!   true state, through [`policy::WorldView`].
//! - The rules are checked by [`invariants`], which share no code with the delivery policy.
//!
//! # Parts
//!
//! A [`scenario`] is read from a file, and [`layout`] draws the world from it. The world plays the events of a
//! [`schedule`] against [`simulated_endpoint`]s behind [`limit`]s; forwarders decide through a [`policy`]. The
//! [`account`] counts, and the [`report`] says what it came to.

pub mod account;
pub mod distribution;
pub mod fault;
pub mod ids;
pub mod invariants;
pub mod layout;
pub mod limit;
pub mod observed;
pub mod policies;
pub mod policy;
mod random_streams;
pub mod received_work;
pub mod report;
pub mod rule;
pub mod scenario;
pub mod schedule;
pub mod simulated_endpoint;
mod world;

pub use policies::BuiltInPolicy;
pub use report::Report;
pub use scenario::{Scenario, ScenarioError};

/// Plays a scenario under one of the built-in policies.
pub fn run(scenario: &Scenario, seed: u64, policy: BuiltInPolicy) -> Report {
    run_with(scenario, seed, policy.name(), &|now, settings, host| policy.create(now, settings, host))
}

/// Plays a scenario under a policy of the caller's own; the name is the one in the report.
pub fn run_with(scenario: &Scenario, seed: u64, name: &str, factory: &policy::PolicyFactory) -> Report {
    world::World::new(scenario, seed, name, factory).run()
}

/// Plays a scenario and gives, beside its report, what only the simulation can see.
pub fn run_observed(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    factory: &policy::PolicyFactory,
) -> observed::ObservedRun {
    world::World::new(scenario, seed, name, factory).run_observed()
}
