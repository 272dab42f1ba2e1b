//! Plain state, grouped by how long it lives: for one dispatch, one envelope, one target, the instance; and
//! the book-keeping that holds its parts together. What is decided with it stands in
//! [`control`](crate::control).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::host::{
    CallNo, DestinationId, DispatchNo, Effect, EnvelopeId, Host, KeyId, Listing, Outcome, PeerId, Standing,
    TargetId,
};

/// What comes next for an envelope once its dispatch has ended; the end is handed to it.
pub type Next = Box<dyn FnOnce(&mut Forwarder, &mut dyn Host, Duration, Outcome) + Send>;

/// What the circuit, its waits and its ramp are kept for: a whole destination, or one of its targets where
/// these are routes apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    Shared(DestinationId),
    Apart(TargetId),
}

/// One category, in the figures that decisions use.
pub struct CategoryRate {
    pub(crate) name: String,
    pub(crate) effect: Effect,
    pub(crate) promised: Duration,
    pub(crate) outer_limit: Duration,
    pub(crate) ordered: bool,
    pub(crate) credit: f64,
    /// Share of it that is left at the outer limit.
    pub(crate) late_credit: f64,
}

/// What is derived from the terms at start. The terms themselves are not kept.
pub struct RateCard {
    pub(crate) categories: Vec<CategoryRate>,
    pub(crate) kinds: Vec<(String, bool, usize)>,
    pub(crate) tenants: Vec<(String, f64)>,
    pub(crate) zone: String,
    pub(crate) forwarders: f64,
    /// Forwarders outnumber the calls that one may have out: each sees little of most destinations.
    pub(crate) many: bool,
    pub(crate) slots: usize,
    pub(crate) room: usize,
    pub(crate) dispatch_cap: u32,
    /// An envelope may have two dispatches out.
    pub(crate) copies: bool,
    /// The longest outer limit.
    pub(crate) longest: Duration,
    pub(crate) come_back: Option<Duration>,
    pub(crate) window: Duration,
    pub(crate) recovery_delay: Duration,
    pub(crate) cold_from: f64,
    pub(crate) warm_within: Duration,
    pub(crate) fall_multiple: f64,
    pub(crate) tip_after: Duration,
    pub(crate) key_rest: Duration,
    pub(crate) ask_within: Option<Duration>,
    /// How far a listed rate may be above the true one; none where none is listed.
    pub(crate) overlisted: Option<f64>,
    /// Answers tell of their route's limit.
    pub(crate) answers_report: bool,
    /// Credit halves with each further promised time, and does not fall evenly.
    pub(crate) halving: bool,
    pub(crate) over_share_credit: f64,
    pub(crate) connection_idle: Duration,
    pub(crate) cross_zone_price: f64,
    pub(crate) connection_price: f64,
    pub(crate) zone_fees: Vec<(String, f64)>,
}

/// Lives from a dispatch to its outcome.
pub struct Dispatch {
    pub target: TargetId,
    pub route: Route,
    pub category: usize,
    pub call: CallNo,
    pub sent: Duration,
    /// Called off by this forwarder, as overdue.
    pub called_off: bool,
    pub then: Next,
}

/// Lives from hand-in to the final answer.
pub struct Envelope {
    pub category: usize,
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    pub arrival: u64,
    pub promised_by: Duration,
    pub outer_limit: Duration,
    pub over_share: bool,
    pub dispatches: u32,
    /// Answers with an error that it got.
    pub errors: u32,
    pub out: BTreeSet<DispatchNo>,
    /// Earliest send of a dispatch that may have run, and where it went.
    pub may_have_run: Option<(Duration, TargetId)>,
}

impl Envelope {
    pub fn new(
        category: usize,
        key: Option<KeyId>,
        destination: DestinationId,
        promised_by: Duration,
        outer_limit: Duration,
        over_share: bool,
    ) -> Envelope {
        Envelope {
            category,
            key,
            destination,
            arrival: 0,
            promised_by,
            outer_limit,
            over_share,
            dispatches: 0,
            errors: 0,
            out: BTreeSet::new(),
            may_have_run: None,
        }
    }
}

/// Lives as long as the target is listed, and a while after.
pub struct Target {
    pub destination: DestinationId,
    pub standing: Standing,
    /// Since when it is known to be gone.
    pub gone: Option<Duration>,
    pub weight: Option<f64>,
    /// Calls a second that its route's limit allows, by the last report.
    pub limit: Option<f64>,
    pub zone: String,
    pub kind: Option<usize>,
    /// Credit earned by answers, spent by further dispatches.
    pub earned: f64,
    /// Where in time this forwarder's turns at it begin, in turns.
    pub phase: f64,
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

/// The record of the design for one route, and what the guards remember of it.
#[derive(Default)]
pub struct Circuit {
    pub failures: Vec<Duration>,
    pub restrained_until: Option<Duration>,
    pub last_write: Duration,
    pub trial: Option<(EnvelopeId, DispatchNo)>,
    /// Calls out at once while held envelopes rejoin; none: no such limit.
    pub rejoin: Option<usize>,
    pub wait_until: Duration,
    /// The last wait that was told, halved with each refusal that told none.
    pub told_wait: Duration,
    /// Least seconds between calls, learned from refusals.
    pub spacing: f64,
    pub spaced_at: Duration,
    /// Until when the next call is put off by chance after a refusal.
    pub spaced_until: Duration,
    pub time_outs: u32,
    pub last_sent: Duration,
    pub calls_out: usize,
    pub mean: Option<f64>,
    pub last_answer: Duration,
    /// Share of its limit that was left by the last report; none where it tells of no limit.
    pub left: Option<f64>,
}

/// What waits for one destination.
#[derive(Default)]
pub struct Destination {
    pub targets: BTreeSet<TargetId>,
    pub held: Vec<EnvelopeId>,
    pub arrivals: u64,
    /// Arrivals, each counted less as it recedes, and when that was reckoned.
    pub lately: f64,
    pub reckoned: Duration,
    pub first_seen: Duration,
    pub last_turn: u64,
}

impl Destination {
    /// Arrivals within about this span before now.
    pub(crate) fn lately_at(&self, now: Duration, span: Duration) -> f64 {
        let spans = now.saturating_sub(self.reckoned).as_secs_f64() / span.as_secs_f64().max(0.001);
        self.lately * (-spans).exp()
    }
}

/// The envelopes of one key, in the order in which they were taken.
#[derive(Default)]
pub struct KeyLine {
    pub line: VecDeque<(u64, EnvelopeId)>,
    pub rest_until: Duration,
    pub rest_owner: u64,
}

/// A tenant's running account against its share.
pub struct Tenant {
    pub balance: f64,
    pub since: Duration,
}

/// One instance of the decision module.
pub struct Forwarder {
    pub card: RateCard,
    /// Started from the seed that the host hands in, so that the same seed always draws alike.
    pub chance: Pcg32,
    /// For the order of categories alone, so that no other draw depends on what is held.
    pub order_chance: Pcg32,
    pub envelopes: BTreeMap<EnvelopeId, Envelope>,
    pub dispatches: BTreeMap<(EnvelopeId, DispatchNo), Dispatch>,
    /// Calls out, with the dispatches in each that have no outcome yet.
    pub calls: BTreeMap<CallNo, u32>,
    pub targets: BTreeMap<TargetId, Target>,
    pub destinations: BTreeMap<DestinationId, Destination>,
    /// Destinations that envelopes are held for; the others cost a turn nothing.
    pub waiting: BTreeSet<DestinationId>,
    pub circuits: BTreeMap<Route, Circuit>,
    pub keys: BTreeMap<KeyId, KeyLine>,
    pub tenants: Vec<Tenant>,
    /// Running mean of all response times, for routes that have none of their own, and the last answer.
    pub pace: Option<f64>,
    pub last_answer: Duration,
    /// Targets named so far by a whole list that is being told.
    pub telling: Option<BTreeSet<TargetId>>,
    /// Targets dropped from memory that the host has not been told of.
    pub forgotten: Vec<TargetId>,
    /// When to ask for the list again, and how long it rested after the last failure.
    pub ask_at: Option<Duration>,
    pub list_rest: Duration,
    pub counter: u64,
    /// No log line before this time.
    pub log_after: Duration,
    pub wake_at: Option<Duration>,
    /// The program stops by then.
    pub leave_by: Option<Duration>,
}

impl Forwarder {
    pub(crate) fn new(card: RateCard, [chance, order_chance]: [Pcg32; 2], tenants: Vec<Tenant>) -> Forwarder {
        Forwarder {
            card,
            chance,
            order_chance,
            envelopes: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            calls: BTreeMap::new(),
            targets: BTreeMap::new(),
            destinations: BTreeMap::new(),
            waiting: BTreeSet::new(),
            circuits: BTreeMap::new(),
            keys: BTreeMap::new(),
            tenants,
            pace: None,
            last_answer: Duration::ZERO,
            telling: None,
            forgotten: Vec::new(),
            ask_at: None,
            list_rest: Duration::ZERO,
            counter: 0,
            log_after: Duration::ZERO,
            wake_at: None,
            leave_by: None,
        }
    }

    /// The list of targets is about to be told, whole or only what changed.
    pub fn list_begins(&mut self, whole: bool) {
        self.list_rest = Duration::ZERO;
        self.telling = whole.then(Default::default);
    }

    /// The list has been told; what a whole one did not name is gone. Returns the targets that went with it.
    pub fn list_ends(&mut self) -> Vec<TargetId> {
        let Some(named) = self.telling.take() else { return Vec::new() };
        let mut dropped = Vec::new();
        for (id, target) in self.targets.iter_mut().filter(|(id, _)| !named.contains(id)) {
            if target.standing != Standing::Gone {
                dropped.push(*id);
            }
            target.standing = Standing::Gone;
        }
        dropped
    }

    /// The list broke off before its end: what was told of it holds, and what it did not name stays.
    pub fn list_broken(&mut self) {
        self.telling = None;
    }

    /// Targets that were dropped from memory since the last call; a host need not know them any longer.
    pub fn take_forgotten(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.forgotten)
    }

    /// Drops targets that have been gone for so long, with their circuits, and destinations that have none left
    /// and hold nothing: where targets are replaced all day, these would fill the memory.
    pub(crate) fn forget_gone(&mut self, now: Duration, keep: Duration) {
        let mut past = Vec::new();
        for (id, target) in self.targets.iter_mut().filter(|(_, t)| t.standing == Standing::Gone) {
            let since = *target.gone.get_or_insert(now);
            if target.calls_out == 0 && now > since + keep {
                past.push(*id);
            }
        }
        for id in &past {
            let Some(target) = self.targets.remove(id) else { continue };
            self.forgotten.push(*id);
            self.circuits.remove(&Route::Apart(*id));
            let Some(d) = self.destinations.get_mut(&target.destination) else { continue };
            d.targets.remove(id);
            if d.targets.is_empty() && d.held.is_empty() {
                self.destinations.remove(&target.destination);
                self.circuits.remove(&Route::Shared(target.destination));
            }
        }
    }

    pub(crate) fn enter(&mut self, listing: &Listing, kind: Option<usize>, earned: f64, phase: f64) {
        if let Some(named) = &mut self.telling {
            named.insert(listing.target);
        }
        let target = self.targets.entry(listing.target).or_insert_with(|| Target {
            destination: listing.destination,
            standing: listing.standing,
            gone: None,
            weight: None,
            limit: None,
            zone: String::new(),
            kind,
            earned,
            phase,
            calls_out: 0,
            strikes: BTreeMap::new(),
            trouble: None,
            pushes: VecDeque::new(),
            last_sent: Duration::ZERO,
            answered: None,
        });
        let before = std::mem::replace(&mut target.destination, listing.destination);
        target.standing = listing.standing;
        target.gone = target.gone.filter(|_| listing.standing == Standing::Gone);
        target.weight = listing.weight.filter(|w| w.is_finite() && *w > 0.0);
        target.zone = listing.zone.to_owned();
        target.kind = kind;
        if let Some(d) = self.destinations.get_mut(&before) {
            d.targets.remove(&listing.target);
        }
        self.destinations.entry(listing.destination).or_default().targets.insert(listing.target);
    }

    pub(crate) fn take(&mut self, id: EnvelopeId, mut envelope: Envelope, now: Duration) {
        self.counter += 1;
        envelope.arrival = self.counter;
        if let Some(key) = envelope.key {
            self.keys.entry(key).or_default().line.push_back((envelope.arrival, id.clone()));
        }
        let d = self.destinations.entry(envelope.destination).or_default();
        if d.arrivals == 0 {
            d.first_seen = now;
        }
        d.arrivals += 1;
        d.lately = d.lately_at(now, self.card.warm_within / 2) + 1.0;
        d.reckoned = now;
        self.hold(envelope.destination, id.clone());
        self.envelopes.insert(id, envelope);
    }

    /// Holds an envelope for its destination.
    pub(crate) fn hold(&mut self, destination: DestinationId, id: EnvelopeId) {
        self.destinations.entry(destination).or_default().held.push(id);
        self.waiting.insert(destination);
    }

    /// The envelope is not held any more.
    fn unhold(&mut self, destination: DestinationId, id: &EnvelopeId) {
        let Some(d) = self.destinations.get_mut(&destination) else { return };
        d.held.retain(|held| held != id);
        if d.held.is_empty() {
            self.waiting.remove(&destination);
        }
    }

    /// The same change to each of these targets.
    pub(crate) fn change(&mut self, targets: &[TargetId], mut change: impl FnMut(&mut Target)) {
        for id in targets {
            if let Some(target) = self.targets.get_mut(id) {
                change(target);
            }
        }
    }

    /// Books a dispatch of a held envelope, which is held no more.
    pub(crate) fn begin(&mut self, id: &EnvelopeId, dispatch: Dispatch) -> DispatchNo {
        let mut no = DispatchNo(0);
        if let Some(envelope) = self.envelopes.get_mut(id) {
            no = DispatchNo(envelope.dispatches);
            envelope.dispatches += 1;
            envelope.out.insert(no);
            let destination = envelope.destination;
            self.destinations.entry(destination).or_default().last_turn = dispatch.call.0;
            self.unhold(destination, id);
        }
        self.dispatches.insert((id.clone(), no), dispatch);
        no
    }

    /// Closes a dispatch; says whether its call is over with it.
    pub(crate) fn close(&mut self, id: &EnvelopeId, no: DispatchNo) -> Option<(Dispatch, bool)> {
        let dispatch = self.dispatches.remove(&(id.clone(), no))?;
        if let Some(envelope) = self.envelopes.get_mut(id) {
            envelope.out.remove(&no);
        }
        let left = self.calls.get_mut(&dispatch.call).map_or(0, |left| {
            *left -= 1;
            *left
        });
        if left == 0 {
            self.calls.remove(&dispatch.call);
            if let Some(t) = self.targets.get_mut(&dispatch.target) {
                t.calls_out = t.calls_out.saturating_sub(1);
            }
        }
        if let Some(c) = self.circuits.get_mut(&dispatch.route) {
            c.calls_out = c.calls_out.saturating_sub(usize::from(left == 0));
            c.trial.take_if(|t| t.0 == *id && t.1 == no);
        }
        Some((dispatch, left == 0))
    }

    /// Drops an envelope that has its final answer; names the dispatches that are still out for it.
    pub(crate) fn forget(&mut self, id: &EnvelopeId) -> BTreeSet<DispatchNo> {
        let Some(envelope) = self.envelopes.remove(id) else { return BTreeSet::new() };
        self.unhold(envelope.destination, id);
        self.leave_line(id);
        envelope.out
    }

    /// Takes an envelope out of its key's line once it is over and none of its dispatches is out.
    pub(crate) fn leave_line(&mut self, id: &EnvelopeId) {
        let mut dispatches = self.dispatches.range((id.clone(), DispatchNo(0))..);
        if self.keys.is_empty() || dispatches.next().is_some_and(|((i, _), _)| i == id) {
            return;
        }
        if !self.envelopes.contains_key(id) {
            self.keys.values_mut().for_each(|l| l.line.retain(|(_, i)| i != id));
        }
    }

    /// Lets the key of an envelope rest for those behind it.
    pub(crate) fn rest_line(&mut self, id: &EnvelopeId, until: Duration) {
        for line in self.keys.values_mut() {
            if let Some((arrival, _)) = line.line.iter().find(|(_, i)| i == id) {
                (line.rest_until, line.rest_owner) = (until, *arrival);
            }
        }
    }

    pub(crate) fn apart(&self, target: &Target) -> bool {
        target.kind.and_then(|k| self.card.kinds.get(k)).is_some_and(|k| k.1)
    }

    /// Whether the list has named a destination. While it has named none it cannot be told by.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.targets.is_empty() || self.destinations.contains_key(&destination)
    }

    /// The targets that the list has for a destination now.
    pub(crate) fn active(&self, destination: DestinationId) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.destinations.get(&destination).into_iter().flat_map(|d| &d.targets);
        targets
            .filter_map(|id| self.targets.get(id).map(|t| (*id, t)))
            .filter(|(_, t)| t.standing == Standing::Active)
    }

    pub(crate) fn circuits_of(&self, destination: DestinationId) -> impl Iterator<Item = &Circuit> {
        self.active(destination).filter_map(|(id, t)| self.circuits.get(&self.route_of(id, t)))
    }

    /// Calls out to all targets of a destination.
    pub(crate) fn calls_out(&self, destination: DestinationId) -> usize {
        let targets = self.destinations.get(&destination).into_iter().flat_map(|d| &d.targets);
        targets.filter_map(|id| self.targets.get(id)).map(|t| t.calls_out as usize).sum()
    }

    /// Calls to a route that are out and were sent no earlier.
    pub(crate) fn calls_since(&self, route: Route, since: Duration) -> usize {
        let out = self.dispatches.values().filter(|d| d.route == route && d.sent >= since);
        out.map(|d| d.call).collect::<BTreeSet<CallNo>>().len()
    }

    /// The targets that share a route's fate.
    pub(crate) fn members(&self, route: Route) -> Vec<TargetId> {
        match route {
            Route::Apart(target) => vec![target],
            Route::Shared(destination) => {
                let targets = self.destinations.get(&destination).into_iter().flat_map(|d| &d.targets);
                let gone = |id: &&TargetId| self.targets.get(id).is_none_or(|t| t.standing == Standing::Gone);
                targets.filter(|id| !gone(id)).copied().collect()
            }
        }
    }

    pub(crate) fn effect(&self, envelope: &Envelope) -> Effect {
        self.card.categories[envelope.category].effect
    }

    /// The targets that a wait holds for, if one of them tells it.
    pub fn waits_with(&self, id: TargetId) -> Vec<TargetId> {
        self.targets.get(&id).map_or(vec![id], |t| self.members(self.route_of(id, t)))
    }

    /// Where a dispatch that is out went.
    pub fn sent_to(&self, id: &EnvelopeId, no: DispatchNo) -> Option<TargetId> {
        self.dispatches.get(&(id.clone(), no)).map(|d| d.target)
    }

    /// Envelopes in one call to a target at most.
    pub(crate) fn batch(&self, target: &Target) -> usize {
        target.kind.and_then(|k| self.card.kinds.get(k)).map_or(1, |k| k.2)
    }

    pub(crate) fn route_of(&self, id: TargetId, target: &Target) -> Route {
        if self.apart(target) {
            Route::Apart(id)
        } else {
            Route::Shared(target.destination)
        }
    }

    /// The program is asked to stop, and will by this time. What is not over then is kept by the host.
    pub fn leaving(&mut self, by: Duration) {
        self.leave_by = Some(by);
    }

    /// An answer that turned no envelope away told to wait.
    pub fn told_to_wait(&mut self, now: Duration, target: TargetId, wait: Duration) {
        if let Some(route) = self.targets.get(&target).map(|t| self.route_of(target, t)) {
            self.asked_to_wait(now, route, wait);
        }
    }

    /// The answer to a dispatch has begun. No other is out for its envelope that could be called off.
    pub fn begun(&mut self, _now: Duration, _id: &EnvelopeId, _no: DispatchNo, _host: &mut dyn Host) {}

    /// A probe has ended.
    pub fn probed(&mut self, _now: Duration, _target: TargetId, _well: bool) {}

    /// Another forwarder has sent a note.
    pub fn told(&mut self, _now: Duration, _from: PeerId, _note: &[u8]) {}
}

pub(crate) fn finite(value: Option<f64>, otherwise: f64) -> f64 {
    value.filter(|v| v.is_finite() && *v >= 0.0).unwrap_or(otherwise)
}

pub(crate) fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s.max(0.0)).unwrap_or(Duration::from_secs(86_400))
}

/// Failures of a category at a target since that answered it.
pub(crate) fn strikes(target: &Target, category: usize) -> u32 {
    target.strikes.get(&category).copied().unwrap_or_default()
}

pub(crate) fn sooner(wake: &mut Option<Duration>, at: Option<Duration>) {
    if let Some(at) = at {
        *wake = Some(wake.map_or(at, |w| w.min(at)));
    }
}
