//! Records which fault affected which forwarder, and when, and attributes delayed changes to these faults.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::scenario::{Fault, FaultKind, Scenario};

/// Time after a fault during which changes are still attributed to the fault, because the forwarder recovers.
const RECOVERY_WINDOW: Duration = Duration::from_secs(15);

/// One fault at one forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The forwarder's number.
    pub forwarder: u32,
    /// When the fault began.
    pub started_at: Instant,
    /// When the fault ended, so that the forwarder could begin to recover; `None` while the fault lasts.
    pub ended_at: Option<Instant>,
}

/// All outages of a run, in the order in which they began.
#[derive(Debug, Default)]
pub struct Outages {
    all: Vec<Outage>,
}

impl Outages {
    /// Records that a fault begins at a forwarder now.
    pub fn begin(&mut self, kind: FaultKind, forwarder: u32) {
        self.all.push(Outage { kind, forwarder, started_at: Instant::now(), ended_at: None });
    }

    /// Records that a fault ends at a forwarder now.
    pub fn end(&mut self, kind: FaultKind, forwarder: u32) {
        let now = Instant::now();
        let open = self.all.iter_mut().filter(|o| o.kind == kind && o.forwarder == forwarder);
        open.filter(|o| o.ended_at.is_none()).for_each(|o| o.ended_at = Some(now));
    }

    /// Returns an attribution of one forwarder's changes to its outages.
    pub fn attribution(&self, forwarder: u32) -> OutageAttribution<'_> {
        OutageAttribution { outages: self, forwarder, catching_up: None }
    }

    /// Returns the latest outage of a forwarder that overlaps the time from making a change to applying it.
    /// An outage also covers the [`RECOVERY_WINDOW`] after its end.
    fn overlapping(&self, forwarder: u32, made_at: Instant, applied_at: Instant) -> Option<Outage> {
        let overlaps = |outage: &&Outage| {
            let ended = outage.ended_at.map_or(applied_at, |ended| ended + RECOVERY_WINDOW);
            outage.forwarder == forwarder && outage.started_at <= applied_at && made_at <= ended
        };
        self.all.iter().filter(overlaps).max_by_key(|outage| outage.started_at).copied()
    }
}

/// An attribution of one forwarder's changes to its outages. Changes must be attributed in order of
/// generation.
pub struct OutageAttribution<'a> {
    outages: &'a Outages,
    forwarder: u32,
    /// The outage from which the forwarder was last catching up; `None` before the first delayed change.
    catching_up: Option<CatchingUp>,
}

/// The latest outage that delayed a forwarder's changes.
#[derive(Clone, Copy)]
struct CatchingUp {
    outage: Outage,
    /// When the last attributed change was applied. The forwarder is behind at least until this time.
    caught_up_at: Instant,
}

impl OutageAttribution<'_> {
    /// Returns the outage that delayed a change, or `None` for a change in normal operation. A change made
    /// while the forwarder was still catching up is attributed to the same outage, without a time limit.
    pub fn attribute(&mut self, made_at: Instant, applied_at: Instant) -> Option<Outage> {
        let earlier_outage = self
            .catching_up
            .filter(|catching_up| made_at < catching_up.caught_up_at)
            .map(|catching_up| catching_up.outage);
        let outage = self.outages.overlapping(self.forwarder, made_at, applied_at).or(earlier_outage)?;
        let caught_up_at =
            self.catching_up.map_or(applied_at, |catching_up| catching_up.caught_up_at.max(applied_at));
        self.catching_up = Some(CatchingUp { outage, caught_up_at });
        Some(outage)
    }
}

/// Returns the numbers of the forwarders that a fault affects, in the order in which they are affected.
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

/// Returns the numbers of the zones in a region.
pub(crate) fn zones_in_region(scenario: &Scenario, region: u32) -> BTreeSet<u32> {
    (0..scenario.fleet.zones).filter(|zone| zone % scenario.fleet.regions == region).collect()
}
