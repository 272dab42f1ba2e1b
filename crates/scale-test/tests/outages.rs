//! Which changes are attributed to a fault.

use std::time::{Duration, Instant};

use reeddock_scale_test::outages::Outages;
use reeddock_scale_test::scenario::FaultKind;

#[test]
fn what_is_made_while_a_forwarder_catches_up_is_attributed_to_the_fault_and_no_more() {
    let mut outages = Outages::default();
    outages.begin(FaultKind::ZoneOutage, 3);
    outages.end(FaultKind::ZoneOutage, 3);
    let ended = Instant::now();
    let at = |seconds| ended + Duration::from_secs(seconds);
    let mut attribution = outages.attribution(3);
    let mut kind = |made, in_force| attribution.attribute(at(made), at(in_force)).map(|outage| outage.kind);
    assert_eq!(kind(1, 40), Some(FaultKind::ZoneOutage), "in its aftermath");
    assert_eq!(kind(30, 40), Some(FaultKind::ZoneOutage), "made before the one above was in force");
    assert_eq!(kind(39, 45), Some(FaultKind::ZoneOutage));
    assert_eq!(kind(44, 46), Some(FaultKind::ZoneOutage), "still behind");
    assert_eq!(kind(46, 47), None, "it had caught up");
    assert_eq!(kind(60, 99), None);
    let mut other = outages.attribution(4);
    assert!(other.attribute(at(1), at(40)).is_none(), "another forwarder's");
}
