//! Plain state, grouped by how long it lives: for one attempt, one message, one route, the instance. What is decided
//! with it stands in [`control`](crate::control); how it is kept in order, in `holding`, `attempts`, `keys` and
//! [`endpoints`](crate::endpoints).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::control::MIN_TIMER;
use crate::endpoints::{Destination, Endpoint, RemovedEndpoints, Zones};
use crate::interface::{
    AttemptNumber, AttemptOutcome, DestinationId, EndpointId, Idempotency, LateDecay, LoadReport, MessageId,
    OrderingKey, PeerId, PolicyHost, RequestId, ZoneFee,
};
use crate::messages::{MessageKey, MessageTable};
use crate::queue::{MessageQueue, QueuePosition};

/// What comes next for a message once its attempt has ended; the end is handed to it.
pub type Next = Box<dyn FnOnce(&mut DeliveryPolicy, &mut dyn PolicyHost, Duration, AttemptOutcome) + Send>;

/// What the circuit, its waits and its ramp are kept for: a whole destination, or one of its endpoints where
/// these are routes apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CircuitScope {
    Destination(DestinationId),
    Endpoint(EndpointId),
}

/// One class, in the figures that decisions use.
pub struct ClassParameters {
    pub(crate) name: String,
    pub(crate) idempotency: Idempotency,
    pub(crate) latency_objective: Duration,
    pub(crate) deadline: Duration,
    pub(crate) ordered: bool,
    pub(crate) priority_weight: f64,
    /// Share of it that is left at the deadline.
    pub(crate) late_weight: f64,
}

/// A kind of endpoints, in the figures that decisions use.
pub struct KindParameters {
    pub(crate) name: String,
    pub(crate) circuit_per_endpoint: bool,
    pub(crate) max_batch: usize,
}

/// The quota of a tenant, in messages a second.
pub struct TenantParameters {
    pub(crate) name: String,
    pub(crate) messages_per_second: f64,
}

/// What is derived from the terms at start. The terms themselves are not kept.
pub struct PolicyParameters {
    pub(crate) classes: Vec<ClassParameters>,
    pub(crate) endpoint_kinds: Vec<KindParameters>,
    pub(crate) tenants: Vec<TenantParameters>,
    pub(crate) zone: String,
    pub(crate) forwarders: f64,
    /// Further attempts that an endpoint has to its credit at first.
    pub(crate) initial_retry_tokens: f64,
    /// Forwarders outnumber the calls that one may have out: each sees little of most destinations.
    pub(crate) sparse_traffic: bool,
    pub(crate) max_in_flight: usize,
    pub(crate) capacity: usize,
    pub(crate) max_attempts: u32,
    /// A message may have two attempts out.
    pub(crate) hedging_allowed: bool,
    /// The longest deadline.
    pub(crate) longest: Duration,
    pub(crate) max_retry_after: Option<Duration>,
    pub(crate) window: Duration,
    pub(crate) recovery_delay: Duration,
    pub(crate) slow_start_floor: f64,
    pub(crate) slow_start_duration: Duration,
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: Duration,
    pub(crate) ordering_hold_off: Duration,
    pub(crate) poll_interval_limit: Option<Duration>,
    /// How far a listed rate may be above the true one; none where none is listed.
    pub(crate) overlisted: Option<f64>,
    /// Answers tell of their route's limit.
    pub(crate) responses_carry_load_reports: bool,
    /// Credit halves with each further promised time, and does not fall evenly.
    pub(crate) late_decay: LateDecay,
    pub(crate) over_quota_weight: f64,
    pub(crate) connection_idle_timeout: Duration,
    pub(crate) cross_zone_price: f64,
    pub(crate) connection_price: f64,
    pub(crate) zone_fees: Vec<ZoneFee>,
}

/// Lives from an attempt to its outcome.
pub struct Attempt {
    pub message: MessageKey,
    /// The message's key and arrival, by which it stands in a line though it may be over.
    pub key: Option<OrderingKey>,
    pub arrival: u64,
    pub endpoint: EndpointId,
    pub scope: CircuitScope,
    pub class: usize,
    pub call: RequestId,
    pub sent: Duration,
    /// Called off by this forwarder, as overdue.
    pub called_off: bool,
    pub then: Next,
}

impl Attempt {
    /// One of a message to an endpoint by its route, in a call that is sent now.
    pub(crate) fn new(
        key: MessageKey,
        message: &Message,
        (endpoint, scope): (EndpointId, CircuitScope),
        (call, sent): (RequestId, Duration),
        then: Next,
    ) -> Attempt {
        Attempt {
            message: key,
            key: message.key,
            arrival: message.arrival,
            endpoint,
            scope,
            class: message.class,
            call,
            sent,
            called_off: false,
            then,
        }
    }
}

/// Lives from submission to the final answer.
pub struct Message {
    pub id: MessageId,
    pub class: usize,
    pub key: Option<OrderingKey>,
    pub destination: DestinationId,
    pub arrival: u64,
    pub objective_at: Duration,
    pub deadline: Duration,
    pub over_quota: bool,
    pub attempts: u32,
    /// Answers with an error that it got.
    pub errors: u32,
    pub out: BTreeSet<AttemptNumber>,
    /// Earliest send of an attempt that may have run, and where it went.
    pub possibly_executed: Option<(Duration, EndpointId)>,
    /// While it is held: since when, in the order of all that were held, and what it is filed under.
    pub(crate) queued: Option<(u64, QueuePosition)>,
}

impl Message {
    /// One that was never dispatched; `times` are the end of its promise and its deadline.
    pub(crate) fn new(
        id: MessageId,
        class: usize,
        key: Option<OrderingKey>,
        destination: DestinationId,
        times: (Duration, Duration),
        over_quota: bool,
    ) -> Message {
        Message {
            id,
            class,
            key,
            destination,
            arrival: 0,
            objective_at: times.0,
            deadline: times.1,
            over_quota,
            attempts: 0,
            errors: 0,
            out: BTreeSet::new(),
            possibly_executed: None,
            queued: None,
        }
    }
}

/// The record of the design for one route, and what the guards remember of it.
#[derive(Default)]
pub struct CircuitBreaker {
    pub failures: Vec<Duration>,
    pub open_until: Option<Duration>,
    pub last_write: Duration,
    pub trial: Option<(MessageId, AttemptNumber)>,
    /// Calls out at once while held messages rejoin; none: no such limit.
    pub recovery_ramp: Option<usize>,
    pub retry_after_until: Duration,
    /// The last wait that was told, halved with each refusal that told none.
    pub last_retry_after: Duration,
    /// Least seconds between calls, learned from refusals.
    pub pacing_interval: f64,
    pub pacing_changed_at: Duration,
    /// Until when the next call is put off by chance after a refusal.
    pub paced_until: Duration,
    pub consecutive_timeouts: u32,
    pub last_sent: Duration,
    /// Calls that are out, in the order in which they were sent, and when that was.
    pub out: VecDeque<(RequestId, Duration)>,
    pub mean: Option<f64>,
    pub last_answer: Duration,
    /// Share of its limit that was left by the last report; none where it tells of no limit.
    pub left: Option<f64>,
}

impl CircuitBreaker {
    /// Calls that are out and were sent no earlier.
    pub(crate) fn calls_since(&self, since: Duration) -> usize {
        self.out.iter().rev().take_while(|(_, sent)| *sent >= since).count()
    }
}

/// The messages of one key, in the order in which they were taken.
#[derive(Default)]
pub struct OrderingQueue {
    /// By arrival.
    pub line: BTreeMap<u64, MessageKey>,
    pub rest_until: Duration,
    pub rest_owner: u64,
}

/// A tenant's running account against its share.
pub struct Tenant {
    pub balance: f64,
    pub since: Duration,
}

impl Tenant {
    /// Lets the balance grow by so much a second, up to its most, and takes one message from it; whether it had one.
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
pub struct DeliveryPolicy {
    pub parameters: PolicyParameters,
    /// Started from the seed that the host submits, so that the same seed always draws alike.
    pub random: Pcg32,
    /// For the order of classes alone, so that no other draw depends on what is held.
    pub order_random: Pcg32,
    pub messages: MessageTable,
    /// The messages that are held, by destination.
    pub(crate) queue: MessageQueue,
    pub attempts: BTreeMap<(MessageId, AttemptNumber), Attempt>,
    /// Calls out, with the attempts in each that have no outcome yet.
    pub calls: BTreeMap<RequestId, u32>,
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) gone: RemovedEndpoints,
    pub(crate) zones: Zones,
    /// Circuits exist for routes in use; they are looked at again by these deadlines.
    pub circuits: BTreeMap<CircuitScope, CircuitBreaker>,
    pub(crate) circuits_due: BTreeSet<(Duration, CircuitScope)>,
    pub(crate) new_circuits: Vec<CircuitScope>,
    pub keys: BTreeMap<OrderingKey, OrderingQueue>,
    /// Keys that no message has any more, since the last turn and by the end of their rest.
    pub(crate) emptied_keys: Vec<OrderingKey>,
    pub(crate) keys_due: BTreeSet<(Duration, OrderingKey)>,
    pub tenants: Vec<Tenant>,
    /// Running mean of all response times, for routes that have none of their own, and the last answer.
    pub mean_latency: Option<f64>,
    pub last_answer: Duration,
    /// A whole list is being told, and how many were until now.
    pub(crate) telling_whole: bool,
    pub(crate) whole_lists: u32,
    /// When to ask for the list again, and how long it rested after the last failure.
    pub next_poll: Option<Duration>,
    pub poll_backoff: Duration,
    pub counter: u64,
    /// Messages held so far.
    pub(crate) enqueued_count: u64,
    /// No log line before this time.
    pub next_log_at: Duration,
    pub timer_at: Option<Duration>,
    /// The program stops by then.
    pub shutdown_deadline: Option<Duration>,
}

impl DeliveryPolicy {
    pub(crate) fn with_parameters(
        parameters: PolicyParameters,
        [random, order_random]: [Pcg32; 2],
        now: Duration,
    ) -> DeliveryPolicy {
        let tenants = parameters.tenants.iter().map(|_| Tenant { balance: 0.0, since: now }).collect();
        DeliveryPolicy {
            parameters,
            random,
            order_random,
            messages: MessageTable::default(),
            queue: MessageQueue::default(),
            attempts: BTreeMap::new(),
            calls: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
            gone: RemovedEndpoints::default(),
            zones: Zones::default(),
            circuits: BTreeMap::new(),
            circuits_due: BTreeSet::new(),
            new_circuits: Vec::new(),
            keys: BTreeMap::new(),
            emptied_keys: Vec::new(),
            keys_due: BTreeSet::new(),
            tenants,
            mean_latency: None,
            last_answer: Duration::ZERO,
            telling_whole: false,
            whole_lists: 0,
            next_poll: None,
            poll_backoff: Duration::ZERO,
            counter: 0,
            enqueued_count: 0,
            next_log_at: Duration::ZERO,
            timer_at: None,
            shutdown_deadline: None,
        }
    }

    pub(crate) fn idempotency(&self, message: &Message) -> Idempotency {
        self.parameters.classes[message.class].idempotency
    }

    /// Where an attempt that is out went.
    pub fn attempt_endpoint(&self, id: &MessageId, no: AttemptNumber) -> Option<EndpointId> {
        self.attempts.get(&(id.clone(), no)).map(|d| d.endpoint)
    }

    /// What an answer or a probe told of the limit of its endpoint's route; to be told before the outcome.
    pub fn load_reported(&mut self, endpoint: EndpointId, report: LoadReport) {
        let of_limits =
            self.endpoints.get(&endpoint).filter(|_| self.parameters.responses_carry_load_reports);
        let Some(scope) = of_limits.map(|t| self.scope_of(endpoint, t)) else { return };
        let limit = Some(report.limit).filter(|l| *l > 0.0);
        self.change(&self.endpoints_of(scope), |t| t.limit = limit);
        self.circuit_mut(scope).left = limit.map(|_| report.left);
    }

    /// Asks for a wake at this time, unless one is pending that comes no later.
    pub(crate) fn request_timer(&mut self, at: Option<Duration>, now: Duration, host: &mut dyn PolicyHost) {
        let Some(at) = at.map(|at| at.max(now + MIN_TIMER)) else { return };
        if self.timer_at.is_none_or(|pending| pending <= now || at < pending) {
            self.timer_at = Some(at);
            host.set_timer(at - now);
        }
    }

    /// A wake that was asked for has come.
    pub fn timer_fired(&mut self, now: Duration) {
        // Symptom: a message outlives its limit, as a host's timer rounds down and wakes a hair early.
        if self.timer_at.is_some_and(|at| at <= now + MIN_TIMER) {
            self.timer_at = None;
        }
    }

    /// The program is asked to stop, and will by this time. What is not over then is kept by the host.
    pub fn begin_shutdown(&mut self, by: Duration) {
        self.shutdown_deadline = Some(by);
    }

    /// An answer that turned no message away told to wait.
    pub fn retry_after_received(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        if let Some(scope) = self.endpoints.get(&endpoint).map(|t| self.scope_of(endpoint, t)) {
            self.apply_retry_after(now, scope, wait);
        }
    }

    /// The answer to an attempt has begun. No other is out for its message that could be cancelled.
    pub fn response_started(
        &mut self,
        _now: Duration,
        _id: &MessageId,
        _no: AttemptNumber,
        _host: &mut dyn PolicyHost,
    ) {
    }

    /// A probe has ended.
    pub fn health_checked(&mut self, _now: Duration, _target: EndpointId, _well: bool) {}

    /// Another forwarder has sent a note.
    pub fn gossip_received(&mut self, _now: Duration, _from: PeerId, _note: &[u8]) {}
}

pub(crate) fn finite(value: Option<f64>, otherwise: f64) -> f64 {
    value.filter(|v| v.is_finite() && *v >= 0.0).unwrap_or(otherwise)
}

pub(crate) fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s.max(0.0)).unwrap_or(Duration::from_secs(86_400))
}

/// Failures of a class at an endpoint since that answered it.
pub(crate) fn consecutive_failures(endpoint: &Endpoint, class: usize) -> u32 {
    endpoint.usage().consecutive_failures.get(&class).copied().unwrap_or_default()
}

pub(crate) fn sooner(wake: &mut Option<Duration>, at: Option<Duration>) {
    if let Some(at) = at {
        *wake = Some(wake.map_or(at, |w| w.min(at)));
    }
}
