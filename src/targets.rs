//! Targets and destinations as the list tells of them. What is only listed costs little: what is learned from calls
//! stands apart, and exists for targets in use alone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use indexmap::IndexSet;
use smallvec::SmallVec;

use crate::host::{DestinationId, Listing, Standing, TargetId};
use crate::state::{Circuit, Forwarder, Route};

/// Gone targets that one turn forgets at most, so that a list which drops many does not hold a turn up.
const FORGOTTEN_A_TURN: usize = 1_000;

/// Lives as long as the target is listed, and a while after.
pub struct Target {
    pub destination: DestinationId,
    pub standing: Standing,
    /// As listed; 0 where none is.
    weight: f64,
    pub(crate) zone: ZoneNumber,
    pub(crate) kind: Option<u16>,
    /// Where in time this forwarder's turns at it begin, in turns.
    pub phase: f64,
    /// The last whole list that named it.
    named_by: u32,
    usage: Option<Box<Usage>>,
}

/// What calls have shown of a target.
#[derive(Default)]
pub struct Usage {
    /// Calls a second that its route's limit allows, by the last report.
    pub limit: Option<f64>,
    /// Credit earned by answers, spent by further dispatches; none before the first answer.
    pub earned: Option<f64>,
    pub calls_out: u32,
    /// Failures of each category since its last answer.
    pub strikes: BTreeMap<usize, u32>,
    /// Last evidence that it may be down or cold.
    pub trouble: Option<Duration>,
    pub pushes: VecDeque<(Duration, f64)>,
    pub last_sent: Duration,
    /// When its last call ended, if that ended with an answer, which leaves a connection idle.
    pub answered: Option<Duration>,
}

impl Usage {
    /// Drops pushes and trouble that are older than this; the last push is kept.
    pub(crate) fn forget_old(&mut self, now: Duration, pushes_for: Duration, trouble_for: Duration) {
        while self.pushes.len() > 1 && now.saturating_sub(self.pushes[0].0) > pushes_for {
            self.pushes.pop_front();
        }
        self.trouble = self.trouble.filter(|at| now <= *at + trouble_for);
    }
}

/// What is known of a target that was never called.
static UNUSED: Usage = Usage {
    limit: None,
    earned: None,
    calls_out: 0,
    strikes: BTreeMap::new(),
    trouble: None,
    pushes: VecDeque::new(),
    last_sent: Duration::ZERO,
    answered: None,
};

impl Target {
    pub(crate) fn weight(&self) -> Option<f64> {
        Some(self.weight).filter(|w| *w > 0.0)
    }

    pub(crate) fn usage(&self) -> &Usage {
        self.usage.as_deref().unwrap_or(&UNUSED)
    }

    pub(crate) fn usage_mut(&mut self) -> &mut Usage {
        self.usage.get_or_insert_default()
    }

    /// The same, for what matters only of a target that was called.
    pub(crate) fn usage_if_any(&mut self) -> Option<&mut Usage> {
        self.usage.as_deref_mut()
    }

    pub(crate) fn forget_usage(&mut self) {
        self.usage = None;
    }
}

/// What is listed for one destination, and what was handed in for it.
#[derive(Default)]
pub struct Destination {
    /// In ascending order.
    pub targets: SmallVec<[TargetId; 2]>,
    traffic: Option<Box<Traffic>>,
}

/// What was handed in for one destination.
#[derive(Default)]
pub struct Traffic {
    pub arrivals: u64,
    /// Arrivals, each counted less as it recedes, and when that was reckoned.
    pub lately: f64,
    pub reckoned: Duration,
    pub first_seen: Duration,
    /// The last call that went to the destination.
    pub last_turn: u64,
}

static NO_TRAFFIC: Traffic =
    Traffic { arrivals: 0, lately: 0.0, reckoned: Duration::ZERO, first_seen: Duration::ZERO, last_turn: 0 };

impl Destination {
    pub(crate) fn traffic(&self) -> &Traffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    pub(crate) fn traffic_mut(&mut self) -> &mut Traffic {
        self.traffic.get_or_insert_default()
    }

    fn add(&mut self, target: TargetId) {
        if let Err(at) = self.targets.binary_search(&target) {
            self.targets.insert(at, target);
        }
    }

    fn remove(&mut self, target: TargetId) {
        if let Ok(at) = self.targets.binary_search(&target) {
            self.targets.remove(at);
        }
    }
}

impl Traffic {
    /// Arrivals within about this span before now.
    pub(crate) fn lately_at(&self, now: Duration, span: Duration) -> f64 {
        let spans = now.saturating_sub(self.reckoned).as_secs_f64() / span.as_secs_f64().max(0.001);
        self.lately * (-spans).exp()
    }
}

/// Stands for a zone's name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneNumber(u16);

impl PartialEq for ZoneNumber {
    /// A zone beyond those that can be numbered equals none, not even itself.
    fn eq(&self, other: &ZoneNumber) -> bool {
        self.0 == other.0 && *self != ZoneNumber::BEYOND
    }
}

impl ZoneNumber {
    const BEYOND: ZoneNumber = ZoneNumber(u16::MAX);
}

/// The names of zones, each kept once.
#[derive(Default)]
pub struct Zones(IndexSet<String>);

impl Zones {
    fn number(&mut self, name: &str) -> ZoneNumber {
        let known = self.0.get_index_of(name);
        let room = self.0.len() < usize::from(u16::MAX);
        let number = known.or_else(|| room.then(|| self.0.insert_full(name.to_owned()).0));
        number.and_then(|n| u16::try_from(n).ok()).map_or(ZoneNumber::BEYOND, ZoneNumber)
    }

    pub(crate) fn name(&self, zone: ZoneNumber) -> &str {
        self.0.get_index(zone.0.into()).map_or("", String::as_str)
    }
}

/// Targets that are listed no more, until they are forgotten.
#[derive(Default)]
pub struct GoneTargets {
    /// Gone since the last turn.
    fresh: BTreeSet<TargetId>,
    since: BTreeMap<TargetId, Duration>,
    by_time: BTreeSet<(Duration, TargetId)>,
    forgotten: Vec<TargetId>,
}

impl GoneTargets {
    fn add(&mut self, target: TargetId) {
        if !self.since.contains_key(&target) {
            self.fresh.insert(target);
        }
    }

    fn remove(&mut self, target: TargetId) {
        self.fresh.remove(&target);
        if let Some(since) = self.since.remove(&target) {
            self.by_time.remove(&(since, target));
        }
    }

    /// From now on the fresh ones count as gone.
    fn stamp(&mut self, now: Duration) {
        for target in std::mem::take(&mut self.fresh) {
            self.since.insert(target, now);
            self.by_time.insert((now, target));
        }
    }
}

impl Forwarder {
    /// The list of targets is about to be told, whole or only what changed.
    pub fn list_begins(&mut self, whole: bool) {
        self.list_rest = Duration::ZERO;
        self.whole_lists = self.whole_lists.wrapping_add(u32::from(whole));
        self.telling_whole = whole;
    }

    /// The list has been told; what a whole one did not name is gone. Returns the targets that went with it.
    pub fn list_ends(&mut self) -> Vec<TargetId> {
        if !std::mem::take(&mut self.telling_whole) {
            return Vec::new();
        }
        let mut dropped = Vec::new();
        for (id, target) in &mut self.targets {
            if target.named_by != self.whole_lists && target.standing != Standing::Gone {
                target.standing = Standing::Gone;
                self.gone.add(*id);
                self.backlog.touch(target.destination);
                dropped.push(*id);
            }
        }
        dropped
    }

    /// The list broke off before its end: what was told of it holds, and what it did not name stays.
    pub fn list_broken(&mut self) {
        self.telling_whole = false;
    }

    /// Targets that were dropped from memory since the last call; a host need not know them any longer.
    pub fn take_forgotten(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.gone.forgotten)
    }

    /// Enters one line of the list.
    pub(crate) fn enter(&mut self, listing: &Listing, phase: f64) {
        let kind = self.card.kinds.iter().position(|k| k.0 == listing.kind);
        let kind = kind.and_then(|k| u16::try_from(k).ok());
        let zone = self.zones.number(listing.zone);
        let weight = listing.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(0.0);
        let named_by = self.whole_lists;
        let destination = listing.destination;
        let listed = Target {
            destination,
            standing: listing.standing,
            weight,
            zone,
            kind,
            phase,
            named_by,
            usage: None,
        };
        let before = match self.targets.get_mut(&listing.target) {
            None => {
                self.targets.insert(listing.target, listed);
                None
            }
            Some(known) => {
                known.named_by = named_by;
                let as_known = known.destination == destination
                    && known.standing == listing.standing
                    && known.weight == weight
                    && known.zone == zone
                    && known.kind == kind;
                if as_known {
                    return;
                }
                let (phase, usage) = (known.phase, known.usage.take());
                let before = std::mem::replace(known, Target { phase, usage, ..listed });
                Some(before.destination)
            }
        };
        if let Some(before) = before.filter(|before| *before != destination) {
            if let Some(d) = self.destinations.get_mut(&before) {
                d.remove(listing.target);
            }
            self.backlog.touch(before);
        }
        self.destinations.entry(destination).or_default().add(listing.target);
        self.backlog.touch(destination);
        if listing.standing == Standing::Gone {
            self.gone.add(listing.target);
        } else {
            self.gone.remove(listing.target);
        }
    }

    /// Drops targets that have been gone for so long, with their circuits, and destinations that have none left
    /// and hold nothing: where targets are replaced all day, these would fill the memory.
    pub(crate) fn forget_gone(&mut self, now: Duration, keep: Duration) {
        self.gone.stamp(now);
        let past = self.gone.by_time.iter().take_while(|(since, _)| now > *since + keep).map(|(_, id)| *id);
        let idle = |id: &TargetId| self.targets.get(id).is_none_or(|t| t.usage().calls_out == 0);
        let past: Vec<TargetId> = past.filter(idle).take(FORGOTTEN_A_TURN).collect();
        for id in past {
            self.gone.remove(id);
            let Some(target) = self.targets.remove(&id) else { continue };
            self.gone.forgotten.push(id);
            self.circuits.remove(&Route::Apart(id));
            self.backlog.touch(target.destination);
            let Some(d) = self.destinations.get_mut(&target.destination) else { continue };
            d.remove(id);
            if d.targets.is_empty() && self.backlog.line(target.destination).is_none() {
                self.destinations.remove(&target.destination);
                self.circuits.remove(&Route::Shared(target.destination));
            }
        }
    }

    pub(crate) fn apart(&self, target: &Target) -> bool {
        target.kind.and_then(|k| self.card.kinds.get(usize::from(k))).is_some_and(|k| k.1)
    }

    /// Envelopes in one call to a target at most.
    pub(crate) fn batch(&self, target: &Target) -> usize {
        target.kind.and_then(|k| self.card.kinds.get(usize::from(k))).map_or(1, |k| k.2)
    }

    /// Whether the list has named a destination. While it has named none it cannot be told by.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.targets.is_empty() || self.destinations.contains_key(&destination)
    }

    fn targets_of(&self, destination: DestinationId) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.destinations.get(&destination).into_iter().flat_map(|d| &d.targets);
        targets.filter_map(|id| self.targets.get(id).map(|t| (*id, t)))
    }

    /// The targets that the list has for a destination now.
    pub(crate) fn active(&self, destination: DestinationId) -> impl Iterator<Item = (TargetId, &Target)> {
        self.targets_of(destination).filter(|(_, t)| t.standing == Standing::Active)
    }

    pub(crate) fn circuits_of(&self, destination: DestinationId) -> impl Iterator<Item = &Circuit> {
        self.active(destination).filter_map(|(id, t)| self.circuits.get(&self.route_of(id, t)))
    }

    /// When the first of a destination's targets may be called again, as far as waits go.
    pub(crate) fn opens(&self, destination: DestinationId) -> Duration {
        self.circuits_of(destination).map(|c| c.wait_until).min().unwrap_or_default()
    }

    /// Whether a connection to the target is likely to stand idle.
    pub(crate) fn connected(&self, target: &Target, now: Duration) -> bool {
        let usage = target.usage();
        usage.calls_out == 0 && usage.answered.is_some_and(|at| now < at + self.card.connection_idle)
    }

    /// Further dispatches that a target has to its credit.
    pub(crate) fn earned(&self, target: &Target) -> f64 {
        target.usage().earned.unwrap_or(self.card.first_credit)
    }

    /// Whether the list tells how many calls with many envelopes a route takes.
    pub(crate) fn listed_full(&self, target: &Target) -> bool {
        self.apart(target) && self.batch(target) > 1 && self.rate(target).is_some()
    }

    /// Calls out to all targets of a destination.
    pub(crate) fn calls_out(&self, destination: DestinationId) -> usize {
        self.targets_of(destination).map(|(_, t)| t.usage().calls_out as usize).sum()
    }

    /// The targets that share a route's fate.
    pub(crate) fn members(&self, route: Route) -> Vec<TargetId> {
        match route {
            Route::Apart(target) => vec![target],
            Route::Shared(destination) => {
                let listed = self.targets_of(destination).filter(|(_, t)| t.standing != Standing::Gone);
                listed.map(|(id, _)| id).collect()
            }
        }
    }

    /// The targets that a wait holds for, if one of them tells it.
    pub fn waits_with(&self, id: TargetId) -> Vec<TargetId> {
        self.targets.get(&id).map_or(vec![id], |t| self.members(self.route_of(id, t)))
    }

    pub(crate) fn route_of(&self, id: TargetId, target: &Target) -> Route {
        if self.apart(target) {
            Route::Apart(id)
        } else {
            Route::Shared(target.destination)
        }
    }

    /// The destination that a route belongs to, as far as its target is known.
    pub(crate) fn destination_of(&self, route: Route) -> Option<DestinationId> {
        match route {
            Route::Shared(destination) => Some(destination),
            Route::Apart(target) => self.targets.get(&target).map(|t| t.destination),
        }
    }

    /// The same change to what is known of each of these targets.
    pub(crate) fn change(&mut self, targets: &[TargetId], mut change: impl FnMut(&mut Usage)) {
        for id in targets {
            if let Some(target) = self.targets.get_mut(id) {
                change(target.usage_mut());
            }
        }
    }
}
