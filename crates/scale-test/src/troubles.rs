//! What goes wrong in a run, and whom it concerns.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::scenario::{Scenario, Trouble};

/// A change made so soon after a trouble still counts to it: forwarders come back meanwhile.
const AFTERMATH: Duration = Duration::from_secs(15);

/// One trouble as it took place at one forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub kind: &'static str,
    pub forwarder: u32,
    pub began: Instant,
    /// When nothing outside the forwarder stood in the way any more; none while it lasts.
    pub ended: Option<Instant>,
}

/// The outages of a run.
#[derive(Debug, Default)]
pub struct Outages {
    all: Vec<Outage>,
}

impl Outages {
    pub fn begin(&mut self, kind: &'static str, forwarder: u32) {
        self.all.push(Outage { kind, forwarder, began: Instant::now(), ended: None });
    }

    pub fn end(&mut self, kind: &'static str, forwarder: u32) {
        let now = Instant::now();
        let open = self.all.iter_mut().filter(|o| o.kind == kind && o.forwarder == forwarder);
        open.filter(|o| o.ended.is_none()).for_each(|o| o.ended = Some(now));
    }

    /// Tells changes that met a trouble from others, for one forwarder and in their order.
    pub fn attribution(&self, forwarder: u32) -> Attribution<'_> {
        Attribution { outages: self, forwarder, behind: None }
    }

    /// The outage in whose time, or shortly after it, a forwarder learnt of a change; the last one of several.
    fn over(&self, forwarder: u32, made: Instant, known: Instant) -> Option<Outage> {
        let meets = |outage: &&Outage| {
            let ended = outage.ended.map_or(known, |ended| ended + AFTERMATH);
            outage.forwarder == forwarder && outage.began <= known && made <= ended
        };
        self.all.iter().filter(meets).max_by_key(|outage| outage.began).copied()
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }
}

/// Which outage, if any, each change of one forwarder met.
pub struct Attribution<'a> {
    outages: &'a Outages,
    forwarder: u32,
    /// Since an outage it has been behind, at least until then.
    behind: Option<(Outage, Instant)>,
}

impl Attribution<'_> {
    /// For a change that was made and came into force then. One that was made while the forwarder still caught up
    /// counts to the outage from which it did, however long that took.
    pub fn outage(&mut self, made: Instant, in_force: Instant) -> Option<Outage> {
        let still = self.behind.filter(|(_, until)| made < *until).map(|(outage, _)| outage);
        let outage = self.outages.over(self.forwarder, made, in_force).or(still)?;
        let until = self.behind.map_or(in_force, |(_, until)| until.max(in_force));
        self.behind = Some((outage, until));
        Some(outage)
    }
}

/// The forwarders that a trouble concerns, in the order in which it reaches them.
pub fn concerned(scenario: &Scenario, trouble: &Trouble) -> Vec<u32> {
    let all = 0..scenario.forwarders();
    match trouble {
        Trouble::RollingRestart { one_in, .. } => all.filter(|n| n % one_in == 0).collect(),
        Trouble::ControlRestart { .. } => all.collect(),
        Trouble::Zone { zone, .. } => all.filter(|n| scenario.zone_of(*n) == *zone).collect(),
        Trouble::Rack { zone, machines, .. } => {
            all.filter(|n| scenario.zone_of(*n) == *zone).take(*machines as usize).collect()
        }
        Trouble::RegionCut { region, .. } => all.filter(|n| scenario.region_of(*n) == *region).collect(),
    }
}

/// The zones that a region cut reaches.
pub fn zones_of(scenario: &Scenario, region: u32) -> BTreeSet<u32> {
    (0..scenario.fleet.zones).filter(|zone| zone % scenario.fleet.regions == region).collect()
}
