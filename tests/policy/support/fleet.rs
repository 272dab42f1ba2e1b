//! Policies that share their endpoints with many other forwarders.

use reeddock::Settings;

use super::{settings, ListedEndpoint, PolicyTest};

/// Creates a policy that is one of `forwarders` forwarders.
pub fn fleet_member(forwarders: u64, seed: u64, endpoints: &[ListedEndpoint]) -> PolicyTest {
    PolicyTest::new(Settings { seed, forwarders: Some(forwarders), ..settings() }, endpoints)
}

/// Creates all policies of a fleet of `forwarders` forwarders, each with its own seed.
pub fn fleet(forwarders: u64, endpoints: &[ListedEndpoint]) -> Vec<PolicyTest> {
    (0..forwarders).map(|seed| fleet_member(forwarders, seed, endpoints)).collect()
}

/// Creates a policy that is one of 60 forwarders. The fair share of each forwarder at an endpoint that is
/// listed with 6 requests a second is 0.1 requests a second.
pub fn fleet_member_of_60(endpoints: &[ListedEndpoint]) -> PolicyTest {
    fleet_member(60, 0, endpoints)
}
