//! Plain state, grouped by how long it lives: for one dispatch, one envelope, one target, the instance; and
//! the book-keeping that holds its parts together. What is decided with it stands in
//! [`control`](crate::control).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::backlog::{Backlog, Class, Filing, WorthClass};
use crate::control::LEAST_WAKE;
use crate::envelopes::{EnvelopeKey, Envelopes};
use crate::host::{
    CallNo, DestinationId, DispatchNo, Effect, EnvelopeId, Host, KeyId, LimitReport, Outcome, PeerId,
    TargetId,
};
use crate::targets::{Destination, GoneTargets, Target, Zones};

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
    /// Further dispatches that a target has to its credit at first.
    pub(crate) first_credit: f64,
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
    pub envelope: EnvelopeKey,
    /// The envelope's key and arrival, by which it stands in a line though it may be over.
    pub key: Option<KeyId>,
    pub arrival: u64,
    pub target: TargetId,
    pub route: Route,
    pub category: usize,
    pub call: CallNo,
    pub sent: Duration,
    /// Called off by this forwarder, as overdue.
    pub called_off: bool,
    pub then: Next,
}

impl Dispatch {
    /// One of an envelope to a target by its route, in a call that is sent now.
    pub(crate) fn new(
        key: EnvelopeKey,
        envelope: &Envelope,
        (target, route): (TargetId, Route),
        (call, sent): (CallNo, Duration),
        then: Next,
    ) -> Dispatch {
        Dispatch {
            envelope: key,
            key: envelope.key,
            arrival: envelope.arrival,
            target,
            route,
            category: envelope.category,
            call,
            sent,
            called_off: false,
            then,
        }
    }
}

/// Lives from hand-in to the final answer.
pub struct Envelope {
    pub id: EnvelopeId,
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
    /// While it is held: since when, in the order of all that were held, and what it is filed under.
    pub(crate) held: Option<(u64, Filing)>,
}

impl Envelope {
    /// One that was never dispatched; `times` are the end of its promise and its outer limit.
    pub(crate) fn new(
        id: EnvelopeId,
        category: usize,
        key: Option<KeyId>,
        destination: DestinationId,
        times: (Duration, Duration),
        over_share: bool,
    ) -> Envelope {
        Envelope {
            id,
            category,
            key,
            destination,
            arrival: 0,
            promised_by: times.0,
            outer_limit: times.1,
            over_share,
            dispatches: 0,
            errors: 0,
            out: BTreeSet::new(),
            may_have_run: None,
            held: None,
        }
    }
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
    /// Calls that are out, in the order in which they were sent, and when that was.
    pub out: VecDeque<(CallNo, Duration)>,
    pub mean: Option<f64>,
    pub last_answer: Duration,
    /// Share of its limit that was left by the last report; none where it tells of no limit.
    pub left: Option<f64>,
}

impl Circuit {
    /// Calls that are out and were sent no earlier.
    pub(crate) fn calls_since(&self, since: Duration) -> usize {
        self.out.iter().rev().take_while(|(_, sent)| *sent >= since).count()
    }
}

/// The envelopes of one key, in the order in which they were taken.
#[derive(Default)]
pub struct KeyLine {
    /// By arrival.
    pub line: BTreeMap<u64, EnvelopeKey>,
    pub rest_until: Duration,
    pub rest_owner: u64,
}

/// A tenant's running account against its share.
pub struct Tenant {
    pub balance: f64,
    pub since: Duration,
}

impl Tenant {
    /// Lets the balance grow by so much a second, up to its most, and takes one envelope from it; whether it had one.
    pub(crate) fn spend(&mut self, per_second: f64, most: f64, now: Duration) -> bool {
        let passed = now.saturating_sub(self.since).as_secs_f64();
        self.balance = (self.balance + per_second * passed).min(most);
        self.since = now;
        let covered = self.balance >= 1.0;
        if covered {
            self.balance -= 1.0;
        }
        covered
    }
}

/// One instance of the decision module.
pub struct Forwarder {
    pub card: RateCard,
    /// Started from the seed that the host hands in, so that the same seed always draws alike.
    pub chance: Pcg32,
    /// For the order of categories alone, so that no other draw depends on what is held.
    pub order_chance: Pcg32,
    pub envelopes: Envelopes,
    /// The envelopes that are held, by destination.
    pub(crate) backlog: Backlog,
    pub dispatches: BTreeMap<(EnvelopeId, DispatchNo), Dispatch>,
    /// Calls out, with the dispatches in each that have no outcome yet.
    pub calls: BTreeMap<CallNo, u32>,
    pub targets: BTreeMap<TargetId, Target>,
    pub destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) gone: GoneTargets,
    pub(crate) zones: Zones,
    /// Circuits exist for routes in use; they are looked at again by these deadlines.
    pub circuits: BTreeMap<Route, Circuit>,
    pub(crate) circuits_due: BTreeSet<(Duration, Route)>,
    pub(crate) new_circuits: Vec<Route>,
    pub keys: BTreeMap<KeyId, KeyLine>,
    /// Keys that no envelope has any more, since the last turn and by the end of their rest.
    pub(crate) emptied_keys: Vec<KeyId>,
    pub(crate) keys_due: BTreeSet<(Duration, KeyId)>,
    pub tenants: Vec<Tenant>,
    /// Running mean of all response times, for routes that have none of their own, and the last answer.
    pub pace: Option<f64>,
    pub last_answer: Duration,
    /// A whole list is being told, and how many were until now.
    pub(crate) telling_whole: bool,
    pub(crate) whole_lists: u32,
    /// When to ask for the list again, and how long it rested after the last failure.
    pub ask_at: Option<Duration>,
    pub list_rest: Duration,
    pub counter: u64,
    /// Envelopes held so far.
    pub(crate) holds: u64,
    /// No log line before this time.
    pub log_after: Duration,
    pub wake_at: Option<Duration>,
    /// The program stops by then.
    pub leave_by: Option<Duration>,
}

impl Forwarder {
    pub(crate) fn new(card: RateCard, [chance, order_chance]: [Pcg32; 2], now: Duration) -> Forwarder {
        let tenants = card.tenants.iter().map(|_| Tenant { balance: 0.0, since: now }).collect();
        Forwarder {
            card,
            chance,
            order_chance,
            envelopes: Envelopes::default(),
            backlog: Backlog::default(),
            dispatches: BTreeMap::new(),
            calls: BTreeMap::new(),
            targets: BTreeMap::new(),
            destinations: BTreeMap::new(),
            gone: GoneTargets::default(),
            zones: Zones::default(),
            circuits: BTreeMap::new(),
            circuits_due: BTreeSet::new(),
            new_circuits: Vec::new(),
            keys: BTreeMap::new(),
            emptied_keys: Vec::new(),
            keys_due: BTreeSet::new(),
            tenants,
            pace: None,
            last_answer: Duration::ZERO,
            telling_whole: false,
            whole_lists: 0,
            ask_at: None,
            list_rest: Duration::ZERO,
            counter: 0,
            holds: 0,
            log_after: Duration::ZERO,
            wake_at: None,
            leave_by: None,
        }
    }

    /// Takes an envelope on and holds it. One whose id is taken is not told apart from that.
    pub(crate) fn take(&mut self, mut envelope: Envelope, now: Duration) {
        if self.envelopes.contains(&envelope.id) {
            return;
        }
        self.counter += 1;
        envelope.arrival = self.counter;
        let (destination, key_id, arrival) = (envelope.destination, envelope.key, envelope.arrival);
        let key = self.envelopes.insert(envelope);
        if let Some(key_id) = key_id {
            self.keys.entry(key_id).or_default().line.insert(arrival, key);
        }
        let span = self.card.warm_within / 2;
        let traffic = self.destinations.entry(destination).or_default().traffic_mut();
        if traffic.arrivals == 0 {
            traffic.first_seen = now;
        }
        traffic.arrivals += 1;
        traffic.lately = traffic.lately_at(now, span) + 1.0;
        traffic.reckoned = now;
        self.hold(key);
    }

    /// Holds an envelope for its destination.
    pub(crate) fn hold(&mut self, key: EnvelopeKey) {
        self.holds += 1;
        self.file(key, self.holds);
    }

    fn file(&mut self, key: EnvelopeKey, held_as: u64) {
        let Some(envelope) = self.envelopes.get(key) else { return };
        let (destination, filing) = (envelope.destination, self.filing(envelope));
        self.backlog.file(destination, key, &filing);
        if let Some(envelope) = self.envelopes.get_mut(key) {
            envelope.held = Some((held_as, filing));
        }
    }

    /// What an envelope is to be filed under.
    pub(crate) fn filing(&self, envelope: &Envelope) -> Filing {
        let blocked = envelope.key.and_then(|k| self.keys.get(&k)).is_some_and(|line| {
            line.line.first_key_value().is_some_and(|(arrival, _)| *arrival != envelope.arrival)
        });
        let until = self.receipt_until(envelope);
        Filing {
            class: Class {
                worth: WorthClass { category: envelope.category, over_share: envelope.over_share },
                errors: envelope.errors,
                tried: envelope.dispatches > 0,
                may_have_run: envelope.may_have_run.is_some(),
                blocked,
            },
            promised_by: envelope.promised_by,
            arrival: envelope.arrival,
            outer_limit: envelope.outer_limit,
            receipt_until: Some(until).filter(|until| *until < Duration::MAX),
        }
    }

    /// The envelope is not held any more; returns its place in the order of all that were held.
    fn unhold(&mut self, key: EnvelopeKey) -> Option<u64> {
        let envelope = self.envelopes.get_mut(key)?;
        let (held_as, filing) = envelope.held.take()?;
        self.backlog.unfile(envelope.destination, key, &filing);
        Some(held_as)
    }

    /// What an envelope is filed under has changed; one that is not held stays so.
    pub(crate) fn refile(&mut self, key: EnvelopeKey) {
        if let Some(held_as) = self.unhold(key) {
            self.file(key, held_as);
        }
    }

    /// Renews the entries of lines that changed, before the indices over all lines are read.
    pub(crate) fn renew_indices(&mut self) {
        for destination in self.backlog.take_stale() {
            let opens = self.opens(destination);
            self.backlog.index(destination, opens);
        }
        #[cfg(debug_assertions)]
        self.check_indices();
    }

    /// Compares all indices with full walks: always where little is held, else now and then.
    #[cfg(debug_assertions)]
    fn check_indices(&self) {
        const ALWAYS_UP_TO: usize = 64;
        const ELSE_ONE_IN: u64 = 64;
        if self.envelopes.len() > ALWAYS_UP_TO && !self.holds.is_multiple_of(ELSE_ONE_IN) {
            return;
        }
        let held =
            self.envelopes.iter().filter_map(|(key, e)| Some((e.destination, key, e.held.as_ref()?.1)));
        self.backlog.check(held);
        for (_, e) in self.envelopes.iter() {
            if let Some((_, filing)) = e.held {
                assert_eq!(filing, self.filing(e), "filing of {:?}", e.id);
                assert!(e.out.is_empty(), "{:?} is held and out", e.id);
            }
        }
        for (route, circuit) in &self.circuits {
            let open = self.dispatches.values().filter(|d| d.route == *route).map(|d| d.call);
            let open: BTreeSet<CallNo> = open.collect();
            assert!(open.iter().eq(circuit.out.iter().map(|(call, _)| call)), "calls out to {route:?}");
        }
    }

    /// The circuit of a route, made if there is none; whatever it holds back is looked at again.
    pub(crate) fn circuit_mut(&mut self, route: Route) -> &mut Circuit {
        self.touch(route);
        self.circuits.entry(route).or_insert_with(|| {
            self.new_circuits.push(route);
            Circuit::default()
        })
    }

    /// Forgets circuits, and what is known of their targets, that were not used for long: a forwarder of a large
    /// fleet meets most destinations seldom, and would else keep a record of each.
    pub(crate) fn forget_idle(&mut self, now: Duration, keep: Duration) {
        for route in std::mem::take(&mut self.new_circuits) {
            self.circuits_due.insert((now + keep, route));
        }
        while let Some((_, route)) = self.circuits_due.first().copied().filter(|(due, _)| *due <= now) {
            self.circuits_due.pop_first();
            let Some(circuit) = self.circuits.get(&route) else { continue };
            let used = circuit.last_sent.max(circuit.last_write).max(circuit.spaced_until);
            let used = used.max(circuit.wait_until).max(circuit.restrained_until.unwrap_or_default());
            let held = self.destination_of(route).is_some_and(|d| self.backlog.line(d).is_some());
            if used + keep > now || !circuit.out.is_empty() || held {
                self.circuits_due.insert((now.max(used) + keep, route));
                continue;
            }
            self.circuits.remove(&route);
            for id in self.members(route) {
                if let Some(target) = self.targets.get_mut(&id).filter(|t| t.usage().calls_out == 0) {
                    target.forget_usage();
                }
            }
        }
    }

    /// Something of a route changed that may hold envelopes back.
    pub(crate) fn touch(&mut self, route: Route) {
        if let Some(destination) = self.destination_of(route) {
            self.backlog.touch(destination);
        }
    }

    /// Books a dispatch of a held envelope, which is held no more.
    pub(crate) fn begin(&mut self, dispatch: Dispatch) -> Option<(EnvelopeId, DispatchNo)> {
        let (key, call) = (dispatch.envelope, dispatch.call);
        self.unhold(key);
        let envelope = self.envelopes.get_mut(key)?;
        let no = DispatchNo(envelope.dispatches);
        envelope.dispatches += 1;
        envelope.out.insert(no);
        let (id, destination) = (envelope.id.clone(), envelope.destination);
        self.destinations.entry(destination).or_default().traffic_mut().last_turn = call.0;
        self.dispatches.insert((id.clone(), no), dispatch);
        Some((id, no))
    }

    /// Books a call that has gone out, with what it adds to the load of its target.
    pub(crate) fn book_call(
        &mut self,
        call: CallNo,
        route: Route,
        target: TargetId,
        now: Duration,
        load: f64,
    ) {
        let circuit = self.circuit_mut(route);
        circuit.out.push_back((call, now));
        circuit.last_sent = now;
        self.change(&[target], |t| {
            t.calls_out += 1;
            t.last_sent = now;
            t.pushes.push_back((now, load));
        });
    }

    /// Calls off every dispatch of a call.
    pub(crate) fn call_off(&mut self, call: CallNo, host: &mut dyn Host) {
        for ((id, no), d) in self.dispatches.iter_mut().filter(|(_, d)| d.call == call) {
            d.called_off = true;
            host.call_off(id, *no);
        }
    }

    /// Closes a dispatch; says whether its call is over with it.
    pub(crate) fn close(&mut self, id: &EnvelopeId, no: DispatchNo) -> Option<(Dispatch, bool)> {
        let dispatch = self.dispatches.remove(&(id.clone(), no))?;
        if let Some(envelope) = self.envelopes.get_mut(dispatch.envelope) {
            envelope.out.remove(&no);
        }
        self.touch(dispatch.route);
        let left = self.calls.get_mut(&dispatch.call).map_or(0, |left| {
            *left -= 1;
            *left
        });
        let circuit = self.circuits.get_mut(&dispatch.route);
        if left == 0 {
            self.calls.remove(&dispatch.call);
            if let Some(t) = self.targets.get_mut(&dispatch.target) {
                let usage = t.usage_mut();
                usage.calls_out = usage.calls_out.saturating_sub(1);
            }
        }
        if let Some(c) = circuit {
            if left == 0 {
                c.out.retain(|(call, _)| *call != dispatch.call);
            }
            c.trial.take_if(|t| t.0 == *id && t.1 == no);
        }
        Some((dispatch, left == 0))
    }

    /// Drops an envelope that has its final answer; returns it with the dispatches that are still out for it.
    pub(crate) fn forget(&mut self, key: EnvelopeKey) -> Option<Envelope> {
        self.unhold(key);
        let envelope = self.envelopes.remove(key)?;
        self.leave_line(&envelope.id, envelope.key, envelope.arrival);
        Some(envelope)
    }

    /// Forgets an envelope that has its final answer or was withdrawn, and calls off what is out for it.
    pub fn end(&mut self, id: &EnvelopeId, host: &mut dyn Host) {
        if let Some(key) = self.envelopes.key_of(id) {
            self.end_key(key, host);
        }
    }

    pub(crate) fn end_key(&mut self, key: EnvelopeKey, host: &mut dyn Host) {
        if let Some(envelope) = self.forget(key) {
            envelope.out.iter().for_each(|no| host.call_off(&envelope.id, *no));
        }
    }

    /// Takes an envelope out of its key's line once it is over and none of its dispatches is out.
    pub(crate) fn leave_line(&mut self, id: &EnvelopeId, key: Option<KeyId>, arrival: u64) {
        let Some(key) = key else { return };
        let mut dispatches = self.dispatches.range((id.clone(), DispatchNo(0))..);
        if dispatches.next().is_some_and(|((i, _), _)| i == id) || self.envelopes.contains(id) {
            return;
        }
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.line.remove(&arrival);
        match line.line.first_key_value() {
            // The next one may be the first now.
            Some((_, next)) => {
                let next = *next;
                self.refile(next);
            }
            None => self.emptied_keys.push(key),
        }
    }

    /// Forgets keys that no envelope has, once nothing rests any more.
    pub(crate) fn forget_keys(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.emptied_keys) {
            if let Some(line) = self.keys.get(&key) {
                self.keys_due.insert((line.rest_until, key));
            }
        }
        while let Some((_, key)) = self.keys_due.first().copied().filter(|(until, _)| *until <= now) {
            self.keys_due.pop_first();
            if self.keys.get(&key).is_some_and(|l| l.line.is_empty() && now >= l.rest_until) {
                self.keys.remove(&key);
            }
        }
    }

    /// Lets the key of an envelope rest for those behind it.
    pub(crate) fn rest_line(&mut self, key: Option<KeyId>, arrival: u64, until: Duration) {
        if let Some(line) = key.and_then(|k| self.keys.get_mut(&k)) {
            if line.line.contains_key(&arrival) {
                (line.rest_until, line.rest_owner) = (until, arrival);
            }
        }
    }

    /// Whether an envelope is the first of its key, and that does not rest.
    pub(crate) fn key_free(&self, envelope: &Envelope, now: Duration) -> bool {
        let line = envelope.key.and_then(|k| self.keys.get(&k));
        line.is_none_or(|l| {
            let first = l.line.first_key_value().is_none_or(|f| *f.0 == envelope.arrival);
            first && (now >= l.rest_until || l.rest_owner == envelope.arrival)
        })
    }

    pub(crate) fn effect(&self, envelope: &Envelope) -> Effect {
        self.card.categories[envelope.category].effect
    }

    /// Where a dispatch that is out went.
    pub fn sent_to(&self, id: &EnvelopeId, no: DispatchNo) -> Option<TargetId> {
        self.dispatches.get(&(id.clone(), no)).map(|d| d.target)
    }

    /// What an answer or a probe told of the limit of its target's route; to be told before the outcome.
    pub fn reported(&mut self, target: TargetId, report: LimitReport) {
        let of_limits = self.targets.get(&target).filter(|_| self.card.answers_report);
        let Some(route) = of_limits.map(|t| self.route_of(target, t)) else { return };
        let limit = Some(report.limit).filter(|l| *l > 0.0);
        self.change(&self.members(route), |t| t.limit = limit);
        self.circuit_mut(route).left = limit.map(|_| report.left);
    }

    /// Asks for a wake at this time, unless one is pending that comes no later.
    pub(crate) fn ask_wake(&mut self, at: Option<Duration>, now: Duration, host: &mut dyn Host) {
        let Some(at) = at.map(|at| at.max(now + LEAST_WAKE)) else { return };
        if self.wake_at.is_none_or(|pending| pending <= now || at < pending) {
            self.wake_at = Some(at);
            host.wake(at - now);
        }
    }

    /// A wake that was asked for has come.
    pub fn alarm(&mut self, now: Duration) {
        // Symptom: an envelope outlives its limit, as a host's timer rounds down and wakes a hair early.
        if self.wake_at.is_some_and(|at| at <= now + LEAST_WAKE) {
            self.wake_at = None;
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
    target.usage().strikes.get(&category).copied().unwrap_or_default()
}

pub(crate) fn sooner(wake: &mut Option<Duration>, at: Option<Duration>) {
    if let Some(at) = at {
        *wake = Some(wake.map_or(at, |w| w.min(at)));
    }
}
