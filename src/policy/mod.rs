//! The delivery policy, which makes all delivery decisions.
//!
//! A host creates one [`DeliveryPolicy`] for each instance with [`DeliveryPolicy::new`] and reports each
//! event ([`DeliveryPolicy::submit`], [`DeliveryPolicy::attempt_finished`],
//! [`DeliveryPolicy::update_endpoint`], ...). Once all events of a moment are reported, the host calls
//! [`DeliveryPolicy::run_due_work`]. The policy sends its decisions as commands to a [`PolicyHost`]. The
//! records that decisions depend on are in [`state`](crate::state).
//!
//! The modules, in the order in which a request passes them:
//!
//! - `submission`, `queueing`, `restore`, `discovery`: input;
//! - `scheduling`, `request_selection`, `requests`: which request is sent next, and with which messages;
//! - `admission`, `circuit_breaker`, `pacing`, `slow_start`, `capacity_share`: whether a request may be sent;
//! - `endpoint_selection`, `retry_budget`, `timeouts`: the endpoint and the timeouts of a request;
//! - `outcomes`, `rejection`, `retry_after`, `stragglers`: the end of a request and its effects;
//! - `expiry`, `eviction`, `priority`: final answers without delivery;
//! - `record_expiry`: removal of records;
//! - `parameters`, `random`: shared by all of the above.

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

/// One instance of the delivery policy, which does no input or output and reads no clock.
pub struct DeliveryPolicy {
    parameters: PolicyParameters,
    random: RandomSources,
    /// All messages without a final answer.
    messages: MessageTable,
    /// Queued messages, by destination.
    queue: MessageQueue,
    /// Attempts and requests without an outcome.
    in_flight: AttemptsInFlight,
    /// Endpoints and destinations that the endpoint list has named.
    endpoints: EndpointDirectory,
    /// Circuit breakers in use.
    circuits: CircuitTable,
    /// Messages of ordered classes, by ordering key.
    ordering_queues: OrderingQueues,
    /// Remaining quota of each tenant.
    tenant_token_buckets: TenantTokenBuckets,
    response_times: ResponseTimes,
    /// Next poll of the endpoint list after a failure, and its backoff.
    poll_schedule: PollSchedule,
    /// Numbers of messages and requests, in the order of their creation.
    sequence_numbers: Sequence,
    /// Numbers of queue entries, in the order of their creation.
    queue_entry_numbers: Sequence,
    timer: PolicyTimer,
    /// Time before which no further opening or closing of a circuit is reported to the host.
    next_report_at: Duration,
    /// Time at which the program stops; `None` before a shutdown begins.
    shutdown_deadline: Option<Duration>,
}

impl DeliveryPolicy {
    /// Creates an instance from the settings. The same seed gives the same random numbers.
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
            ordering_queues: OrderingQueues::default(),
            tenant_token_buckets: TenantTokenBuckets::new(parameters.tenants.len(), now),
            response_times: ResponseTimes::default(),
            poll_schedule: PollSchedule::default(),
            sequence_numbers: Sequence::default(),
            queue_entry_numbers: Sequence::default(),
            timer: PolicyTimer::default(),
            next_report_at: Duration::ZERO,
            shutdown_deadline: None,
            parameters,
        }
    }

    /// Records that the timer has fired.
    pub fn timer_fired(&mut self, now: Duration) {
        self.timer.fired(now);
    }

    /// Begins a shutdown that ends at `deadline`. The host keeps messages that have no final answer by then.
    pub fn begin_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Returns the endpoint of an attempt; `None` if the attempt is not in flight.
    #[must_use]
    pub fn attempt_endpoint(&self, id: &MessageId, number: AttemptNumber) -> Option<EndpointId> {
        let key = AttemptKey { message: id.clone(), number };
        self.in_flight.attempt(&key).map(|attempt| attempt.endpoint)
    }

    /// Reports that the response to an attempt has begun. The policy takes no action: a message has no other
    /// attempt in flight that could be cancelled.
    pub fn response_started(
        &mut self,
        _now: Duration,
        _id: &MessageId,
        _number: AttemptNumber,
        _host: &mut dyn PolicyHost,
    ) {
    }

    /// Reports the result of a health check. The policy starts none and takes no action.
    pub fn health_checked(&mut self, _now: Duration, _endpoint: EndpointId, _healthy: bool) {}

    /// Reports gossip from another forwarder. The policy sends none and takes no action.
    pub fn gossip_received(&mut self, _now: Duration, _from: PeerId, _gossip: &[u8]) {}

    /// Returns the messages without a final answer.
    pub(crate) fn messages(&self) -> &MessageTable {
        &self.messages
    }

    /// Returns the endpoints and destinations, including endpoints that were removed recently.
    pub(crate) fn endpoints(&self) -> &EndpointDirectory {
        &self.endpoints
    }

    pub(crate) fn circuits(&self) -> &CircuitTable {
        &self.circuits
    }

    fn idempotency(&self, message: &Message) -> Idempotency {
        self.parameters.classes[message.class].idempotency
    }

    /// Wakes the destination of a circuit after a change that may allow requests again.
    fn wake_destination_of(&mut self, scope: CircuitScope) {
        if let Some(destination) = self.endpoints.destination_of(scope) {
            self.queue.mark_changed(destination);
        }
    }

    /// Returns the circuit breaker of a scope, which is created if absent, and wakes its destination.
    fn circuit_mut(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.wake_destination_of(scope);
        self.circuits.get_or_insert(scope)
    }

    /// Returns the circuit breakers in use for the active endpoints of a destination.
    fn circuits_of(&self, destination: DestinationId) -> impl Iterator<Item = &CircuitBreaker> {
        let active = self.endpoints.active_endpoints(destination);
        active.filter_map(|(id, endpoint)| self.circuits.get(self.endpoints.scope_of(id, endpoint)))
    }
}

/// Converts seconds to a [`Duration`]: zero if negative or not a number, a day if too long for a `Duration`.
fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::from_secs(86_400))
}
