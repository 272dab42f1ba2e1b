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
<<<<<<< ours
    let mut attributed_kind =
        |made, in_force| attribution.outage(at(made), at(in_force)).map(|outage| outage.kind);
    assert_eq!(
        attributed_kind(1, 40),
        Some(FaultKind::ZoneOutage),
        "made and delayed shortly after the fault"
    );
    assert_eq!(
        attributed_kind(30, 40),
        Some(FaultKind::ZoneOutage),
        "made before the delayed change above was in force"
    );
    assert_eq!(attributed_kind(39, 45), Some(FaultKind::ZoneOutage));
    assert_eq!(
        attributed_kind(44, 46),
        Some(FaultKind::ZoneOutage),
        "made before the delayed change above was in force"
    );
    assert_eq!(attributed_kind(46, 47), None, "made after the forwarder had caught up");
    assert_eq!(attributed_kind(60, 99), None);
    let mut other_forwarder = outages.attribution(4);
    assert!(other_forwarder.outage(at(1), at(40)).is_none(), "the fault did not affect this forwarder");
=======
    let mut kind = |made, in_force| attribution.attribute(at(made), at(in_force)).map(|outage| outage.kind);
    assert_eq!(kind(1, 40), Some(FaultKind::ZoneOutage), "in its aftermath");
    assert_eq!(kind(30, 40), Some(FaultKind::ZoneOutage), "made before the one above was in force");
    assert_eq!(kind(39, 45), Some(FaultKind::ZoneOutage));
    assert_eq!(kind(44, 46), Some(FaultKind::ZoneOutage), "still behind");
    assert_eq!(kind(46, 47), None, "it had caught up");
    assert_eq!(kind(60, 99), None);
    let mut other = outages.attribution(4);
    assert!(other.attribute(at(1), at(40)).is_none(), "another forwarder's");
>>>>>>> theirs
}
