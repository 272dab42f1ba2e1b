//! Policies that share their endpoints with many other forwarders.

use reeddock::Settings;

use super::{settings, ListedEndpoint, PolicyTest};

/// A policy that is one of `forwarders` forwarders.
pub fn fleet_member(forwarders: u64, seed: u64, endpoints: &[ListedEndpoint]) -> PolicyTest {
    PolicyTest::new(Settings { seed, forwarders: Some(forwarders), ..settings() }, endpoints)
}

/// All policies of a fleet of `forwarders` forwarders, each with its own seed.
pub fn fleet(forwarders: u64, endpoints: &[ListedEndpoint]) -> Vec<PolicyTest> {
    (0..forwarders).map(|seed| fleet_member(forwarders, seed, endpoints)).collect()
}

/// One of 60 forwarders. Its fair share of an endpoint that is listed with 6 requests a second is 0.1 requests
/// a second.
pub fn fleet_member_of_60(endpoints: &[ListedEndpoint]) -> PolicyTest {
    fleet_member(60, 0, endpoints)
}
