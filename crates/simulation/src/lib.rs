//! Discrete-event simulation of a fleet of forwarders, their client programs and their destinations, at sizes
//! that tests over sockets don't reach. All results are in simulated time.
//!
//! # Guarantees
//!
//! - A run is a function of scenario, seed and policy: the same three give the same report, byte for byte, on
//!   any number of threads. A run reads no clock, opens no file and starts no thread.
//! - Arrivals, work and faults are drawn from random streams that no policy decision changes, so that two
//!   policies get the same arrivals and faults.
//! - Policies see only what a forwarder sees. [`policies::BuiltInPolicy::UpperBound`] alone reads the true
//!   state, through [`policy::WorldView`].
//! - The rules are checked by [`invariants`], which share no code with the delivery policy.
//!
//! # Modules
//!
//! A [`scenario`] is read from a file, and [`layout`] draws the world from it. The world processes the events
//! of a [`schedule`]: forwarders send requests as their [`policy`] decides, and [`simulated_endpoint`]s serve
//! them within their [`limit`]s. The [`account`] counts what happens, and the [`report`] holds the results.

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

/// Runs a scenario under one of the built-in policies.
pub fn run(scenario: &Scenario, seed: u64, policy: BuiltInPolicy) -> Report {
    run_with(scenario, seed, policy.name(), &|now, settings, host| policy.create(now, settings, host))
}

/// Runs a scenario under the policy that `factory` creates; the report gives `name` as the policy's name.
pub fn run_with(scenario: &Scenario, seed: u64, name: &str, factory: &policy::PolicyFactory) -> Report {
    world::World::new(scenario, seed, name, factory).run()
}

/// Runs a scenario as [`run_with`] does, and returns the report together with what was
/// [observed](observed::Observed).
pub fn run_observed(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    factory: &policy::PolicyFactory,
) -> observed::ObservedRun {
    world::World::new(scenario, seed, name, factory).run_observed()
}
