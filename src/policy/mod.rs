//! The delivery policy: every decision, and every tuned value.
//!
//! A host makes one [`DeliveryPolicy`] for each instance with [`DeliveryPolicy::new`], reports what happens
//! ([`DeliveryPolicy::submit`], [`DeliveryPolicy::attempt_finished`], [`DeliveryPolicy::update_endpoint`], ...)
//! and, once all that is known at a moment has been reported, calls [`DeliveryPolicy::run_due_work`]. Decisions
//! go out as commands to a [`PolicyHost`]. The plain records that they rest on are in
//! [`state`](crate::state).
//!
//! In the order in which one request comes about:
//!
//! - `submission`, `queueing`, `restore`, `discovery`: what comes in;
//! - `scheduling`, `request_selection`, `requests`: which request goes next, and with which messages;
//! - `admission`, `circuit_breaker`, `pacing`, `slow_start`, `capacity_share`: whether a request may go;
//! - `endpoint_selection`, `retry_budget`, `timeouts`: where it goes and how long it may take;
//! - `outcomes`, `rejection`, `retry_after`, `stragglers`: what follows from how it ends;
//! - `expiry`, `eviction`, `priority`: final answers without delivery;
//! - `record_expiry`: when records are forgotten;
//! - `parameters`, `random`: what all of them use.

mod admission;
mod capacity_share;
mod circuit_breaker;
mod discovery;
mod endpoint_selection;
mod eviction;
mod expiry;
mod outcomes;
mod pacing;
mod parameters;
mod priority;
mod queueing;
mod random;
mod record_expiry;
mod rejection;
mod request_selection;
mod requests;
mod restore;
mod retry_after;
mod retry_budget;
mod scheduling;
mod slow_start;
mod stragglers;
mod submission;
mod timeouts;

use std::time::Duration;

use self::random::RandomSources;
use crate::interface::{
    AttemptNumber, CircuitScope, DestinationId, EndpointId, Idempotency, MessageId, PeerId, PolicyHost,
    Settings,
};
use crate::queue::MessageQueue;
use crate::state::{
    AttemptKey, AttemptsInFlight, CircuitBreaker, CircuitTable, EndpointDirectory, EndpointKindParameters,
    Message, MessageTable, OrderingQueues, PolicyParameters, PolicyTimer, PollSchedule, ResponseTimes,
    Sequence, TenantTokenBuckets,
};

/// One instance of the delivery policy. It does no input or output and reads no clock.
pub struct DeliveryPolicy {
    parameters: PolicyParameters,
    random: RandomSources,
    /// All messages without a final answer.
    messages: MessageTable,
    /// The messages that wait to be sent, by destination.
    queue: MessageQueue,
    /// Attempts and requests without an outcome.
    in_flight: AttemptsInFlight,
    /// Endpoints and destinations, as the endpoint list names them.
    endpoints: EndpointDirectory,
    /// Circuit breakers in use.
    circuits: CircuitTable,
    /// Messages of ordered classes, by ordering key.
    ordering: OrderingQueues,
    /// What tenants have left of their quotas.
    tenants: TenantTokenBuckets,
    response_times: ResponseTimes,
    /// When the endpoint list is polled again after a failure.
    polls: PollSchedule,
    /// Numbers messages and requests, in the order in which they came up.
    numbers: Sequence,
    /// Numbers the entries of the queue.
    queue_entries: Sequence,
    timer: PolicyTimer,
    /// No event is reported before this time.
    next_report_at: Duration,
    /// The program stops by then.
    shutdown_deadline: Option<Duration>,
}

impl DeliveryPolicy {
    /// A new instance, which knows the settings and nothing else. The same seed always draws the same.
    pub fn new(now: Duration, mut settings: Settings, host: &mut dyn PolicyHost) -> DeliveryPolicy {
        let random = RandomSources::new(settings.seed);
        let kinds = std::mem::take(&mut settings.endpoint_kinds);
        let parameters = PolicyParameters::from(settings);
        if parameters.max_poll_interval.is_some() {
            host.watch_endpoint_list(true);
        }
        DeliveryPolicy {
            random,
            messages: MessageTable::default(),
            queue: MessageQueue::default(),
            in_flight: AttemptsInFlight::default(),
            endpoints: EndpointDirectory::new(kinds.into_iter().map(EndpointKindParameters::from).collect()),
            circuits: CircuitTable::default(),
            ordering: OrderingQueues::default(),
            tenants: TenantTokenBuckets::new(parameters.tenants.len(), now),
            response_times: ResponseTimes::default(),
            polls: PollSchedule::default(),
            numbers: Sequence::default(),
            queue_entries: Sequence::default(),
            timer: PolicyTimer::default(),
            next_report_at: Duration::ZERO,
            shutdown_deadline: None,
            parameters,
        }
    }

    /// The timer that was set has fired.
    pub fn timer_fired(&mut self, now: Duration) {
        self.timer.fired(now);
    }

    /// The program shuts down and stops by this time. Messages that have no final answer then are kept by the
    /// host.
    pub fn begin_shutdown(&mut self, by: Duration) {
        self.shutdown_deadline = Some(by);
    }

    /// Where an attempt in flight went.
    #[must_use]
    pub fn attempt_endpoint(&self, id: &MessageId, number: AttemptNumber) -> Option<EndpointId> {
        let key = AttemptKey { message: id.clone(), number };
        self.in_flight.attempt(&key).map(|attempt| attempt.endpoint)
    }

    /// The response to an attempt has begun. Nothing follows from it: no other attempt is in flight for its
    /// message that could be cancelled.
    pub fn response_started(
        &mut self,
        _now: Duration,
        _id: &MessageId,
        _number: AttemptNumber,
        _host: &mut dyn PolicyHost,
    ) {
    }

    /// A health check has ended. Nothing follows from it: this policy starts none.
    pub fn health_checked(&mut self, _now: Duration, _endpoint: EndpointId, _healthy: bool) {}

    /// Another forwarder has sent gossip. Nothing follows from it: this policy sends none.
    pub fn gossip_received(&mut self, _now: Duration, _from: PeerId, _gossip: &[u8]) {}

    /// The messages without a final answer.
    pub(crate) fn messages(&self) -> &MessageTable {
        &self.messages
    }

    /// The endpoints and destinations that are kept.
    pub(crate) fn endpoints(&self) -> &EndpointDirectory {
        &self.endpoints
    }

    /// The circuit breakers in use.
    pub(crate) fn circuits(&self) -> &CircuitTable {
        &self.circuits
    }

    fn idempotency(&self, message: &Message) -> Idempotency {
        self.parameters.classes[message.class].idempotency
    }

    /// A condition of a circuit changed that may have held messages back: its destination is checked again.
    fn wake_scope(&mut self, scope: CircuitScope) {
        if let Some(destination) = self.endpoints.destination_of(scope) {
            self.queue.mark_changed(destination);
        }
    }

    /// The circuit breaker of a scope, made if there is none, to be changed: its destination is checked again.
    fn circuit_mut(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.wake_scope(scope);
        self.circuits.get_or_insert(scope)
    }

    /// The circuit breakers of a destination's active endpoints, as far as they are in use.
    fn circuits_of(&self, destination: DestinationId) -> impl Iterator<Item = &CircuitBreaker> {
        let active = self.endpoints.active_endpoints(destination);
        active.filter_map(|(id, endpoint)| self.circuits.get(self.endpoints.scope_of(id, endpoint)))
    }
}

/// A span of so many seconds: zero if negative, a day if not a number or too long for a [`Duration`].
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::from_secs(86_400))
}
