//! Policies that share their endpoints with many other forwarders.

use reeddock::Settings;

use super::{settings, ListedEndpoint, PolicyTest};

/// One of so many forwarders.
pub fn fleet_member(forwarders: u64, seed: u64, endpoints: &[ListedEndpoint]) -> PolicyTest {
    PolicyTest::new(Settings { seed, forwarders: Some(forwarders), ..settings() }, endpoints)
}

/// All of so many forwarders, each with a seed of its own.
pub fn fleet(forwarders: u64, endpoints: &[ListedEndpoint]) -> Vec<PolicyTest> {
    (0..forwarders).map(|seed| fleet_member(forwarders, seed, endpoints)).collect()
}

/// One of 60 forwarders: its fair share of an endpoint that is listed with 6 requests a second is a tenth of one.
pub fn small_share_of(endpoints: &[ListedEndpoint]) -> PolicyTest {
    fleet_member(60, 0, endpoints)
}
