//! Delayed list changes are attributed to the fault that delayed them.

use std::time::{Duration, Instant};

use reeddock_scale_test::outages::Outages;
use reeddock_scale_test::scenario::FaultKind;

#[test]
fn only_changes_until_the_forwarder_has_caught_up_are_attributed_to_the_fault() {
    let mut outages = Outages::default();
    outages.begin(FaultKind::ZoneOutage, 3);
    outages.end(FaultKind::ZoneOutage, 3);
    let ended = Instant::now();
    let at = |seconds| ended + Duration::from_secs(seconds);
    let mut attribution = outages.attribution(3);
    let mut attributed_kind =
        |made, in_effect| attribution.attribute(at(made), at(in_effect)).map(|outage| outage.kind);
    assert_eq!(
        attributed_kind(1, 40),
        Some(FaultKind::ZoneOutage),
        "made and delayed shortly after the fault"
    );
    assert_eq!(
        attributed_kind(30, 40),
        Some(FaultKind::ZoneOutage),
        "made before the delayed change above was in effect"
    );
    assert_eq!(attributed_kind(39, 45), Some(FaultKind::ZoneOutage));
    assert_eq!(
        attributed_kind(44, 46),
        Some(FaultKind::ZoneOutage),
        "made before the delayed change above was in effect"
    );
    assert_eq!(attributed_kind(46, 47), None, "made after the forwarder had caught up");
    assert_eq!(attributed_kind(60, 99), None);
    let mut other_forwarder = outages.attribution(4);
    assert!(other_forwarder.attribute(at(1), at(40)).is_none(), "the fault did not affect this forwarder");
}
