//! Which forwarder was affected by which fault, and when; and to which fault a delayed change is attributed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::scenario::{Fault, FaultKind, Scenario};

/// A change that is made so soon after a fault is still attributed to it: forwarders recover meanwhile.
const RECOVERY_WINDOW: Duration = Duration::from_secs(15);

/// One fault as it took place at one forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The forwarder's number.
    pub forwarder: u32,
    /// When the fault began.
    pub began: Instant,
    /// When nothing outside the forwarder prevented its recovery any more; none while the fault lasts.
    pub ended: Option<Instant>,
}

/// The outages of a run.
#[derive(Debug, Default)]
pub struct Outages {
    all: Vec<Outage>,
}

impl Outages {
    /// Records that a fault begins at a forwarder now.
    pub fn begin(&mut self, kind: FaultKind, forwarder: u32) {
        self.all.push(Outage { kind, forwarder, began: Instant::now(), ended: None });
    }

    /// Records that a fault ends at a forwarder now.
    pub fn end(&mut self, kind: FaultKind, forwarder: u32) {
        let now = Instant::now();
        let open = self.all.iter_mut().filter(|o| o.kind == kind && o.forwarder == forwarder);
        open.filter(|o| o.ended.is_none()).for_each(|o| o.ended = Some(now));
    }

    /// Attributes the changes of one forwarder, in their order, to its outages.
    pub fn attribution(&self, forwarder: u32) -> OutageAttribution<'_> {
        OutageAttribution { outages: self, forwarder, behind: None }
    }

    /// The outage during which, or shortly after which, a forwarder learnt of a change; the last one of several.
    fn overlapping(&self, forwarder: u32, made: Instant, applied: Instant) -> Option<Outage> {
        let overlaps = |outage: &&Outage| {
            let ended = outage.ended.map_or(applied, |ended| ended + RECOVERY_WINDOW);
            outage.forwarder == forwarder && outage.began <= applied && made <= ended
        };
        self.all.iter().filter(overlaps).max_by_key(|outage| outage.began).copied()
    }
}

/// Attributes the changes of one forwarder to its outages.
pub struct OutageAttribution<'a> {
    outages: &'a Outages,
    forwarder: u32,
    behind: Option<CatchingUp>,
}

/// A forwarder that is behind since an outage.
#[derive(Clone, Copy)]
struct CatchingUp {
    outage: Outage,
    /// It is behind at least until then.
    until: Instant,
}

impl OutageAttribution<'_> {
    /// The outage to which a change is attributed that was made and came into force then; none for a change in calm
    /// operation. A change that was made while the forwarder still caught up is attributed to the outage from which
    /// it did, however long that took.
    pub fn outage(&mut self, made: Instant, in_force: Instant) -> Option<Outage> {
        let still_behind = self.behind.filter(|behind| made < behind.until).map(|behind| behind.outage);
        let outage = self.outages.overlapping(self.forwarder, made, in_force).or(still_behind)?;
        let until = self.behind.map_or(in_force, |behind| behind.until.max(in_force));
        self.behind = Some(CatchingUp { outage, until });
        Some(outage)
    }
}

/// The forwarders that a fault affects, in the order in which it reaches them.
pub(crate) fn affected_forwarders(scenario: &Scenario, fault: &Fault) -> Vec<u32> {
    let all = 0..scenario.forwarders();
    match fault {
        Fault::RollingRestart { every_nth, .. } => all.filter(|n| n % every_nth == 0).collect(),
        Fault::ControlRestart { .. } => all.collect(),
        Fault::ZoneOutage { zone, .. } => all.filter(|n| scenario.zone_of(*n) == *zone).collect(),
        Fault::RackOutage { zone, forwarder_count, .. } => {
            all.filter(|n| scenario.zone_of(*n) == *zone).take(*forwarder_count as usize).collect()
        }
        Fault::RegionPartition { region, .. } => all.filter(|n| scenario.region_of(*n) == *region).collect(),
    }
}

/// The zones of a region.
pub(crate) fn zones_in_region(scenario: &Scenario, region: u32) -> BTreeSet<u32> {
    (0..scenario.fleet.zones).filter(|zone| zone % scenario.fleet.regions == region).collect()
}
