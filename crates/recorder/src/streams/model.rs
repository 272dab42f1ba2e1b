//! A slow model of what the module owes its host and the destinations. It shares no code with the module: it knows
//! what was told and asked through the public interface, walks all of it, and names each rule that was broken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{
    CallNo, DestinationId, DispatchNo, Effect, EnvelopeId, Group, Outcome, Past, Spans, Standing, TargetId,
};

use crate::tee::HandIn;

/// A wake is asked for no sooner than this.
const LEAST_WAKE: Duration = Duration::from_millis(1);

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub now: Duration,
    pub what: String,
}

/// What the terms promise, in the form that rules need.
pub struct Rules {
    /// Effect and whether it is ordered, by the name of the category.
    pub categories: BTreeMap<String, (Effect, bool)>,
    pub slots: u64,
    pub room: u64,
    pub dispatch_cap: u64,
    pub key_rest: Duration,
}

/// A dispatch that has no outcome yet.
struct Sent {
    target: TargetId,
    /// How often the target had moved when it was sent.
    moves: u64,
    at: Duration,
    call: CallNo,
}

/// An envelope that has no final answer yet, or still has a dispatch out.
struct Owed {
    number: u64,
    effect: Effect,
    key: Option<u64>,
    destination: DestinationId,
    outer_limit: Duration,
    dispatches: u64,
    out: BTreeMap<DispatchNo, Sent>,
    /// First dispatch that may have had an effect.
    may_have_run: Option<Duration>,
    over: bool,
}

impl Owed {
    fn held(&self) -> bool {
        !self.over && self.out.is_empty()
    }

    /// Until when a repeat is recognized as one, if it needs to be.
    fn receipt_until(&self) -> Option<Duration> {
        match (self.effect, self.may_have_run) {
            (Effect::Receipted { window, .. }, Some(first)) => Some(first + window),
            _ => None,
        }
    }
}

/// What the list told of a target.
struct Told {
    destination: DestinationId,
    kind: String,
    standing: Standing,
    moves: u64,
    /// Something was sent to it since it moved last.
    met: bool,
    wait_until: Duration,
}

/// The rest of a key after a dispatch whose end is unsure, and the envelope that it does not hold for.
struct Rest {
    until: Duration,
    owner: u64,
}

pub struct Model {
    rules: Rules,
    owed: BTreeMap<EnvelopeId, Owed>,
    targets: BTreeMap<TargetId, Told>,
    /// Targets named so far by a whole list.
    naming: Option<BTreeSet<TargetId>>,
    rests: BTreeMap<u64, Rest>,
    leaves_by: Option<Duration>,
    handed_in: u64,
    now: Duration,
    pub violations: Vec<Violation>,
}

impl Model {
    pub fn new(rules: Rules, now: Duration) -> Model {
        Model {
            rules,
            owed: BTreeMap::new(),
            targets: BTreeMap::new(),
            naming: None,
            rests: BTreeMap::new(),
            leaves_by: None,
            handed_in: 0,
            now,
            violations: Vec::new(),
        }
    }

    fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(Violation { now: self.now, what: what() });
        }
    }

    // # What the module is told.

    pub fn time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn list_begins(&mut self, whole: bool) {
        self.naming = whole.then(BTreeSet::new);
    }

    pub fn listed(&mut self, target: TargetId, destination: DestinationId, kind: &str, standing: Standing) {
        if let Some(named) = &mut self.naming {
            named.insert(target);
        }
        let told = self.targets.entry(target).or_insert_with(|| Told {
            destination,
            kind: kind.to_owned(),
            standing,
            moves: 0,
            met: false,
            wait_until: Duration::ZERO,
        });
        // One that was gone may have been forgotten, and its waits with it.
        if told.destination != destination || told.kind != kind || told.standing == Standing::Gone {
            told.moves += 1;
            told.met = false;
            told.wait_until = Duration::ZERO;
        }
        told.destination = destination;
        kind.clone_into(&mut told.kind);
        told.standing = standing;
    }

    pub fn list_ends(&mut self) {
        let Some(named) = self.naming.take() else { return };
        for (_, told) in self.targets.iter_mut().filter(|(id, _)| !named.contains(id)) {
            told.standing = Standing::Gone;
        }
    }

    pub fn list_broken(&mut self) {
        self.naming = None;
    }

    pub fn hand_in(&mut self, envelope: &HandIn) {
        self.handed_in += 1;
        let unknown = (Effect::Effectful, false);
        let (effect, ordered) = self.rules.categories.get(&envelope.category).copied().unwrap_or(unknown);
        let owed = Owed {
            number: self.handed_in,
            effect,
            key: envelope.key.map(|k| k.0).filter(|_| ordered),
            destination: envelope.destination,
            outer_limit: envelope.outer_limit,
            dispatches: 0,
            out: BTreeMap::new(),
            may_have_run: None,
            over: false,
        };
        self.owed.insert(envelope.id.clone(), owed);
    }

    pub fn recall(&mut self, id: &EnvelopeId, past: &[Past]) {
        let until = self.now + self.rules.key_rest;
        let Some(owed) = self.owed.get_mut(id) else { return };
        owed.dispatches = past.len() as u64;
        owed.may_have_run = past.iter().filter(|p| !p.never_ran).map(|p| p.sent).min();
        if let Some(key) = owed.key.filter(|_| owed.may_have_run.is_some()) {
            self.rests.insert(key, Rest { until, owner: owed.number });
        }
    }

    pub fn settled(&mut self, id: &EnvelopeId, no: DispatchNo, outcome: Outcome, over: bool) {
        let until = self.now + self.rules.key_rest;
        let Some(owed) = self.owed.get_mut(id) else { return };
        let Some(sent) = owed.out.remove(&no) else { return };
        owed.over |= over;
        if !outcome.never_ran() {
            owed.may_have_run = Some(owed.may_have_run.map_or(sent.at, |first| first.min(sent.at)));
        }
        let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::CalledOff);
        if let Some(key) = owed.key.filter(|_| unsure) {
            self.rests.insert(key, Rest { until, owner: owed.number });
        }
        self.close(id);
        if let Outcome::Full(Some(wait)) = outcome {
            self.wait(sent.target, Some(sent.moves), wait);
        }
    }

    pub fn told_to_wait(&mut self, target: TargetId, wait: Duration) {
        self.wait(target, None, wait);
    }

    /// A wait holds for a target that was sent something, and has not moved since that was sent.
    fn wait(&mut self, target: TargetId, moves: Option<u64>, wait: Duration) {
        let until = self.now + wait;
        let Some(told) = self.targets.get_mut(&target) else { return };
        if told.met && moves.is_none_or(|moves| moves == told.moves) {
            told.wait_until = told.wait_until.max(until);
        }
    }

    pub fn withdrawn(&mut self, id: &EnvelopeId) {
        self.end(id);
    }

    pub fn leaving(&mut self, by: Duration) {
        self.leaves_by = Some(by);
    }

    fn end(&mut self, id: &EnvelopeId) {
        if let Some(owed) = self.owed.get_mut(id) {
            owed.over = true;
        }
        self.close(id);
    }

    /// Forgets an envelope that is over and has nothing out.
    fn close(&mut self, id: &EnvelopeId) {
        if self.owed.get(id).is_some_and(|o| o.over && o.out.is_empty()) {
            self.owed.remove(id);
        }
    }

    // # What the module asks for.

    pub fn dispatched(&mut self, id: &EnvelopeId, target: TargetId, spans: Spans) {
        let now = self.now;
        let mut broken = self.broken_by_dispatch(id, target, spans);
        let Some(owed) = self.owed.get_mut(id) else { return };
        let told = self.targets.get_mut(&target);
        let moves = told.map_or(0, |told| {
            told.met = true;
            told.moves
        });
        let no = DispatchNo(owed.dispatches as u32);
        owed.dispatches += 1;
        owed.out.insert(no, Sent { target, moves, at: now, call: spans.call });
        let calls: BTreeSet<CallNo> =
            self.owed.values().flat_map(|o| o.out.values()).map(|s| s.call).collect();
        if calls.len() as u64 > self.rules.slots {
            broken.push("over its slots");
        }
        for what in broken {
            self.check(false, || format!("{:?} to {target:?}: {what}", id.0));
        }
    }

    fn broken_by_dispatch(&self, id: &EnvelopeId, target: TargetId, spans: Spans) -> Vec<&'static str> {
        let now = self.now;
        let Some(owed) = self.owed.get(id) else { return vec!["sent, and was not owed"] };
        let told = self.targets.get(&target);
        let left = owed.outer_limit.saturating_sub(now);
        let leaves_in = self.leaves_by.map_or(Duration::MAX, |by| by.saturating_sub(now));
        let rest = owed.key.and_then(|key| self.rests.get(&key));
        let before = |other: &Owed| owed.key.is_some() && other.key == owed.key && other.number < owed.number;
        let rules = [
            (owed.held(), "sent while out or over"),
            (owed.dispatches < self.rules.dispatch_cap, "over its cap of dispatches"),
            (told.is_some_and(|t| t.standing == Standing::Active), "its target is not active"),
            (told.is_some_and(|t| t.destination == owed.destination), "its target is another destination's"),
            (told.is_none_or(|t| now >= t.wait_until), "its target asked to wait"),
            // Past its limit nothing is left, and one with no time to begin never leaves.
            (spans.time_out <= left, "it outlives its limit"),
            (spans.begin_within <= spans.time_out.min(leaves_in), "it may begin too late"),
            (owed.effect != Effect::Effectful || owed.may_have_run.is_none(), "an effect may come twice"),
            (
                owed.receipt_until().is_none_or(|until| now + spans.begin_within <= until),
                "its receipt runs out",
            ),
            (!self.owed.values().any(before), "an earlier one of its key is not over"),
            (rest.is_none_or(|r| now >= r.until || r.owner == owed.number), "its key rests"),
        ];
        rules.into_iter().filter(|(holds, _)| !holds).map(|(_, what)| what).collect()
    }

    pub fn called_off(&mut self, id: &EnvelopeId, no: DispatchNo) {
        let out = self.owed.get(id).is_some_and(|o| o.out.contains_key(&no));
        self.check(out, || format!("{:?}: dispatch {} called off, and was not out", id.0, no.0));
    }

    pub fn shed(&mut self, id: &EnvelopeId) {
        let now = self.now;
        let harmless = self.owed.get(id).is_some_and(|o| {
            let unrun = o.may_have_run.is_none() && o.out.is_empty();
            let repeatable = match o.effect {
                Effect::Pure => true,
                Effect::Receipted { group, .. } => {
                    group == Group::All && o.receipt_until().is_some_and(|until| now < until)
                }
                Effect::Effectful => false,
            };
            (unrun || repeatable) && now < o.outer_limit
        });
        self.check(harmless, || format!("{:?}: shed, and handing it in again may do harm", id.0));
        self.answered(id);
    }

    pub fn broken_off(&mut self, id: &EnvelopeId) {
        self.answered(id);
    }

    fn answered(&mut self, id: &EnvelopeId) {
        let owed = self.owed.get(id).is_some_and(|o| !o.over);
        self.check(owed, || format!("{:?}: answered, and no answer was owed", id.0));
        self.end(id);
    }

    /// The module has taken its turn; these alarms are to come.
    pub fn turned(&mut self, alarms: &BTreeSet<Duration>) {
        let now = self.now;
        let open = self.owed.values().filter(|o| !o.over).count() as u64;
        let held: Vec<&Owed> = self.owed.values().filter(|o| o.held()).collect();
        let late = held.iter().filter(|o| now >= o.outer_limit).count();
        let end = held.iter().map(|o| o.outer_limit).min();
        let any_held = !held.is_empty();
        let first = alarms.first().copied();
        let woken = end.is_none_or(|end| first.is_some_and(|at| at <= end.max(now) + LEAST_WAKE));
        self.check(late == 0, || format!("{late} held past their limit"));
        self.check(woken, || format!("no wake before {end:?}, the end of one held; first {first:?}"));
        self.check(open < self.rules.room.max(2) || !any_held, || format!("{open} taken on, over its room"));
    }
}
