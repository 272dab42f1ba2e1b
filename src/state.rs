//! Plain state, grouped by how long it lives: for one dispatch, one envelope, one target, the instance.
//! What is decided with it stands in [`control`](crate::control).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::chance::Chance;
use crate::control::RateCard;
use crate::host::{DestinationId, DispatchNo, EnvelopeId, Host, KeyId, Outcome, Standing, TargetId};

/// What comes next for an envelope once its dispatch has ended; the end is handed to it.
pub type Next = Box<dyn FnOnce(&mut Forwarder, &mut dyn Host, Duration, Outcome) + Send>;

/// What the circuit, its waits and its ramp are kept for: a whole destination, or one of its targets where
/// these are routes apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    Shared(DestinationId),
    Apart(TargetId),
}

/// Lives from a dispatch to its outcome.
pub struct Dispatch {
    pub target: TargetId,
    pub route: Route,
    pub call: u64,
    pub sent: Duration,
    pub then: Next,
}

/// Lives from hand-in to the final answer.
pub struct Envelope {
    pub category: usize,
    pub tenant: Option<usize>,
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    pub arrival: u64,
    pub promised_by: Duration,
    pub outer_limit: Duration,
    pub over_share: bool,
    pub dispatches: u32,
    pub out: BTreeSet<DispatchNo>,
    /// Earliest send of a dispatch that may have run, and where it went.
    pub may_have_run: Option<(Duration, TargetId)>,
}

/// Lives as long as the target is listed.
pub struct Target {
    pub destination: DestinationId,
    pub standing: Standing,
    pub weight: Option<f64>,
    pub zone: String,
    pub kind: Option<usize>,
    /// Credit earned by answers, spent by further dispatches.
    pub earned: f64,
    pub calls_out: u32,
    /// Failures since its last answer.
    pub strikes: u32,
    /// Last evidence that it may be down or cold.
    pub trouble: Option<Duration>,
    pub pushes: VecDeque<(Duration, f64)>,
    pub last_sent: Duration,
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
    pub time_outs: u32,
    pub last_sent: Duration,
    pub calls_out: usize,
    pub mean: Option<f64>,
    pub last_answer: Duration,
}

/// What waits for one destination.
#[derive(Default)]
pub struct Destination {
    pub targets: BTreeSet<TargetId>,
    pub held: Vec<EnvelopeId>,
    pub arrivals: u64,
    pub first_seen: Duration,
    pub last_turn: u64,
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
    pub chance: Chance,
    pub envelopes: BTreeMap<EnvelopeId, Envelope>,
    pub dispatches: BTreeMap<(EnvelopeId, DispatchNo), Dispatch>,
    /// Calls out, with the dispatches in each that have no outcome yet.
    pub calls: BTreeMap<u64, u32>,
    pub targets: BTreeMap<TargetId, Target>,
    pub destinations: BTreeMap<DestinationId, Destination>,
    pub circuits: BTreeMap<Route, Circuit>,
    pub keys: BTreeMap<KeyId, KeyLine>,
    pub tenants: Vec<Tenant>,
    /// Targets named so far by a whole list that is being told.
    pub telling: Option<BTreeSet<TargetId>>,
    pub asked_list: Duration,
    pub counter: u64,
    pub wake_at: Option<Duration>,
}
