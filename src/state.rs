//! Plain state, grouped by how long it lives: for one dispatch, one envelope, one route, the instance. What is decided
//! with it stands in [`control`](crate::control); how it is kept in order, in `holding`, `dispatches`, `keys` and
//! [`targets`](crate::targets).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::backlog::{Backlog, Filing};
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
