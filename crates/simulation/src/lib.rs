//! A fleet of forwarders, their programs and their destinations in simulated time: what the decision module
//! balances, at sizes that sockets don't reach. All figures that come out of it are emulated.
//!
//! # What holds
//!
//! - A run is a function of scenario, seed and policy. It reads no clock, opens no file, starts no thread, and
//!   draws from streams of its own seed, so that the same three give the same report, byte for byte, on any
//!   number of threads.
//! - Arrivals, work and faults are drawn from streams that no decision touches: two policies meet the same
//!   day.
//! - Policies see what a forwarder sees and nothing else. Only [`policies::BuiltInPolicy::UpperBound`] looks at the true
//!   state, through [`policy::WorldView`].
//! - The rules are watched by [`invariants`], which share no code with the delivery policy.
//!
//! # Way through the parts
//!
//! [`scenario`] is read from a file, [`layout`] draws the world from it, [`world`] plays the events of
//! [`schedule`] against [`simulated_endpoint`]s behind [`limit`]s, forwarders decide through [`policy`], [`account`] counts
//! and [`report`] says what it came to.

pub mod account;
pub mod distribution;
pub mod fault;
pub mod invariants;
pub mod layout;
pub mod limit;
pub mod observed;
pub mod policies;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod schedule;
pub mod simulated_endpoint;
pub mod world;

pub use policies::BuiltInPolicy;
pub use report::Report;
pub use scenario::{Scenario, ScenarioError};

/// Plays a scenario under one of the known policies.
pub fn run(scenario: &Scenario, seed: u64, policy: BuiltInPolicy) -> Report {
    run_with(scenario, seed, policy.name(), &|now, terms, host| policy.open(now, terms, host))
}

/// Plays a scenario and gives, beside its report, what only the simulation can see.
pub fn observe(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    maker: &policy::PolicyFactory,
) -> (Report, observed::Observed) {
    world::World::new(scenario, seed, name, maker).play_observed()
}

/// Plays a scenario under a policy of the caller's own.
pub fn run_with(scenario: &Scenario, seed: u64, name: &str, maker: &policy::PolicyFactory) -> Report {
    world::World::new(scenario, seed, name, maker).play()
}
