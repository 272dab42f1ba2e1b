//! Common part of the baselines: pending messages, the endpoint list, and the rules of delivery.
//!
//! A [`BaselinePolicy`] selects endpoints and decides on retries. The host keeps the rules that one forwarder
//! can keep by its own records: one final answer, no double effect, drains, order and Retry-After. The host
//! does not prevent the overload of recovering endpoints.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState,
    FinishedAttempt, Idempotency, MessageId, OrderingKey, PeerId, PolicyHost, PreviousAttempt, RequestId,
    Settings,
};

use super::baseline_ordering::{MessageNumber, OrderingKeys};
use super::baseline_policy::{BaselinePolicy, PendingMessage, SelectionView, StartedAttempt};
use super::baseline_sending::DepartingBatches;
use crate::distribution::RandomSource;
use crate::policy::{EndpointListUpdate, Policy, Submission, WorldView};

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    message: MessageId,
    attempt: AttemptNumber,
}

/// An attempt in flight for a message that has its final answer.
struct DetachedAttempt {
    request: Option<RequestId>,
    message: MessageNumber,
    ordering_key: Option<OrderingKey>,
}

/// An endpoint that the endpoint list has named at least once; removed endpoints included.
struct KnownEndpoint {
    destination: DestinationId,
    state: EndpointState,
    circuit_per_endpoint: bool,
    max_batch: usize,
    /// End of the endpoint's Retry-After, zero if none was received; used if the endpoints have separate
    /// circuits.
    retry_after_ends: Duration,
}

/// Policy of a forwarder that gets its decisions from a baseline.
pub(super) struct BaselineHost<B> {
    baseline: B,
    random: RandomSource,
    settings: Settings,
    messages: BTreeMap<MessageNumber, PendingMessage>,
    message_numbers: BTreeMap<MessageId, MessageNumber>,
    detached_attempts: BTreeMap<AttemptId, DetachedAttempt>,
    /// Messages without an attempt in flight, in the order in which they were queued.
    queue: VecDeque<MessageNumber>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    /// Endpoints with separate circuits that have sent a Retry-After.
    endpoints_with_retry_after: BTreeSet<EndpointId>,
    /// End of the Retry-After of destinations whose endpoints share a circuit.
    retry_after_ends: BTreeMap<DestinationId, Duration>,
    ordering_keys: OrderingKeys,
    /// Number of unfinished attempts of each request in flight.
    unfinished_attempts_by_request: BTreeMap<RequestId, u32>,
    last_request: RequestId,
    last_message: MessageNumber,
    timer_at: Option<Duration>,
}

impl<B: BaselinePolicy> BaselineHost<B> {
    /// Creates a host without messages and endpoints.
    pub(super) fn new(settings: Settings, baseline: B) -> BaselineHost<B> {
        BaselineHost {
            baseline,
            random: RandomSource::seed_from_u64(settings.seed),
            settings,
            messages: BTreeMap::new(),
            message_numbers: BTreeMap::new(),
            detached_attempts: BTreeMap::new(),
            queue: VecDeque::new(),
            endpoints: BTreeMap::new(),
            by_destination: BTreeMap::new(),
            endpoints_with_retry_after: BTreeSet::new(),
            retry_after_ends: BTreeMap::new(),
            ordering_keys: OrderingKeys::default(),
            unfinished_attempts_by_request: BTreeMap::new(),
            last_request: RequestId(0),
            last_message: MessageNumber(0),
            timer_at: None,
        }
    }

    fn max_in_flight(&self) -> usize {
        self.settings.max_in_flight.unwrap_or(u64::MAX) as usize
    }

    fn ordering_hold_off(&self) -> Duration {
        self.settings.ordering_hold_off.unwrap_or_default()
    }

    /// Returns whether another attempt for a message cannot repeat an effect of an earlier attempt.
    fn may_execute_again(&self, message: &PendingMessage, now: Duration) -> bool {
        let class = &self.settings.classes[message.class];
        let idempotency = class.idempotency.unwrap_or(Idempotency::NonIdempotent);
        match (idempotency, message.possibly_executed_at) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey { window, .. }, Some(first)) => now < first + window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Removes a message; its attempts in flight are kept as detached attempts.
    fn remove(&mut self, number: MessageNumber) -> Option<PendingMessage> {
        let message = self.messages.remove(&number)?;
        self.message_numbers.remove(&message.id);
        self.queue.retain(|queued| *queued != number);
        for attempt in &message.in_flight {
            let request = message.started.get(attempt.0 as usize).and_then(|started| started.request);
            let detached = DetachedAttempt { request, message: number, ordering_key: message.ordering_key };
            self.detached_attempts
                .insert(AttemptId { message: message.id.clone(), attempt: *attempt }, detached);
        }
        self.leave_ordering_queue(message.ordering_key, number);
        Some(message)
    }

    /// Removes a message from the queue of its key if it has its final answer and no attempt in flight.
    fn leave_ordering_queue(&mut self, key: Option<OrderingKey>, number: MessageNumber) {
        let is_open = self.messages.contains_key(&number)
            || self.detached_attempts.values().any(|detached| detached.message == number);
        if let Some(key) = key.filter(|_| !is_open) {
            self.ordering_keys.remove(key, number);
        }
    }

    /// Holds a key if the attempt with this outcome may still be running.
    fn hold_key(
        &mut self,
        key: Option<OrderingKey>,
        holder: MessageNumber,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = key.filter(|_| may_still_run) {
            self.ordering_keys.hold(key, now + self.ordering_hold_off(), holder);
        }
    }

    /// Rejects a message if its client can submit it again without a double effect, and fails it otherwise.
    fn give_final_answer(&mut self, number: MessageNumber, now: Duration, host: &mut dyn PolicyHost) {
        let Some(message) = self.remove(number) else { return };
        let may_resubmit = self.may_execute_again(&message, now) && message.in_flight.is_empty();
        if may_resubmit && now < message.deadline {
            let until = self.retry_after_ends.get(&message.destination).copied().unwrap_or_default();
            let wait = self.settings.max_retry_after.map(|max| until.saturating_sub(now).min(max));
            host.reject_message(&message.id, wait.filter(|wait| !wait.is_zero()));
        } else {
            host.fail_message(&message.id);
        }
        for attempt in &message.in_flight {
            host.cancel_attempt(&message.id, *attempt);
        }
    }

    /// Gives a final answer to messages that can no longer be sent, and to the newest queued messages while
    /// the maximum number of pending messages is reached.
    fn drop_undeliverable(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        let is_undeliverable = |number: &&MessageNumber| {
            let message = self.messages.get(*number);
            message.is_none_or(|m| now >= m.deadline || !self.may_execute_again(m, now))
        };
        let undeliverable: Vec<MessageNumber> = self.queue.iter().filter(is_undeliverable).copied().collect();
        for number in undeliverable {
            self.give_final_answer(number, now, host);
        }
        let capacity = self.settings.max_pending_messages.unwrap_or(u64::MAX) as usize;
        while self.messages.len() >= capacity {
            let Some(newest) = self.queue.back().copied() else { break };
            self.give_final_answer(newest, now, host);
        }
    }

    /// Returns whether the ordering key of a message allows an attempt now.
    fn is_key_free(&self, number: MessageNumber, message: &PendingMessage, now: Duration) -> bool {
        message.ordering_key.is_none_or(|key| self.ordering_keys.allows(key, number, now))
    }

    /// Returns the endpoints that the endpoint list and Retry-After allow for a message.
    fn candidates(&self, message: &PendingMessage, now: Duration) -> Vec<EndpointId> {
        let shared_end = self.retry_after_ends.get(&message.destination).copied().unwrap_or_default();
        let is_candidate = |endpoint: &KnownEndpoint| {
            let end = if endpoint.circuit_per_endpoint { endpoint.retry_after_ends } else { shared_end };
            endpoint.state == EndpointState::Active && now >= end
        };
        let endpoints = self.by_destination.get(&message.destination).into_iter().flatten();
        endpoints.filter(|id| self.endpoints.get(id).is_some_and(is_candidate)).copied().collect()
    }

    /// Records the Retry-After of an endpoint, or of the destination if the endpoints share a circuit.
    fn record_retry_after(&mut self, id: EndpointId, wait: Duration, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let until = if endpoint.circuit_per_endpoint {
            self.endpoints_with_retry_after.insert(id);
            &mut endpoint.retry_after_ends
        } else {
            self.retry_after_ends.entry(endpoint.destination).or_default()
        };
        *until = (*until).max(now + wait);
    }

    /// Counts down the unfinished attempts of a request, and removes the request after the last.
    fn release_request(&mut self, request: Option<RequestId>) {
        let Some(request) = request else { return };
        if let Some(unfinished) = self.unfinished_attempts_by_request.get_mut(&request) {
            *unfinished -= 1;
            if *unfinished == 0 {
                self.unfinished_attempts_by_request.remove(&request);
            }
        }
    }

    /// Returns the queued messages in sending order; empty if the maximum number of requests is in flight.
    fn sending_order(&self) -> Vec<MessageNumber> {
        if self.unfinished_attempts_by_request.len() >= self.max_in_flight() {
            return Vec::new();
        }
        let sort_key = |number: &MessageNumber| {
            self.messages.get(number).map_or(Duration::MAX, |message| self.baseline.sort_key(message))
        };
        let mut order: Vec<MessageNumber> = self.queue.iter().copied().collect();
        // The sort is stable, so that messages with equal keys stay in the order of the queue.
        order.sort_by_cached_key(sort_key);
        order
    }

    /// Selects an endpoint for a message; `None` if the message cannot be sent now.
    fn select_endpoint(
        &mut self,
        number: MessageNumber,
        now: Duration,
        world: &dyn WorldView,
        batches: &DepartingBatches,
    ) -> Option<EndpointId> {
        let message = self.messages.get(&number)?;
        if now < message.next_attempt_at || !self.is_key_free(number, message, now) {
            return None;
        }
        let mut candidates = self.candidates(message, now);
        if self.unfinished_attempts_by_request.len() >= self.max_in_flight() {
            candidates.retain(|endpoint| batches.has_free_place(*endpoint));
        }
        if candidates.is_empty() {
            return None;
        }
        let view = SelectionView { candidates: &candidates, free_places: batches.free_places(), now, world };
        self.baseline.select(message, &view, &mut self.random)
    }

    /// Starts an attempt in the request that is being filled for the endpoint, or in a new one.
    fn start_attempt(
        &mut self,
        number: MessageNumber,
        endpoint: EndpointId,
        now: Duration,
        batches: &mut DepartingBatches,
        host: &mut dyn PolicyHost,
    ) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        let objective = self.settings.classes[message.class].latency_objective.unwrap_or_default();
        let timeout = self.baseline.attempt_timeout(objective).min(message.deadline - now);
        let max_batch = self.endpoints.get(&endpoint).map_or(1, |known| known.max_batch);
        let request = batches.join_or_open(endpoint, max_batch, &mut self.last_request);
        *self.unfinished_attempts_by_request.entry(request).or_default() += 1;
        message.in_flight.insert(AttemptNumber(message.attempts));
        message.attempts += 1;
        message.started.push(StartedAttempt { endpoint, at: now, request: Some(request) });
        let id = message.id.clone();
        self.queue.retain(|queued| *queued != number);
        let timeouts = AttemptTimeouts { request, start_within: timeout, response_within: timeout };
        host.start_attempt(&id, endpoint, timeouts);
    }

    /// Queues a message for a retry, or gives its final answer.
    fn retry_or_finish(
        &mut self,
        number: MessageNumber,
        outcome: AttemptOutcome,
        now: Duration,
        host: &mut dyn PolicyHost,
    ) {
        let max_attempts = self.settings.max_attempts.unwrap_or(u64::MAX);
        let Some(message) = self.messages.get_mut(&number) else { return };
        let mut delay = None;
        if u64::from(message.attempts) < max_attempts {
            delay = self.baseline.retry_after(message, outcome, &mut self.random);
        }
        let Some(delay) = delay else { return self.give_final_answer(number, now, host) };
        message.next_attempt_at = now + delay;
        self.queue.push_back(number);
        if self.messages.get(&number).is_some_and(|message| !self.may_execute_again(message, now)) {
            self.give_final_answer(number, now, host);
        }
    }

    /// Returns the next time at which work becomes due without a call to the policy.
    fn next_timer(&self, now: Duration) -> Option<Duration> {
        let endpoint_ends = self.endpoints_with_retry_after.iter().filter_map(|id| self.endpoints.get(id));
        let endpoint_ends = endpoint_ends.map(|endpoint| endpoint.retry_after_ends);
        let queued = self.queue.iter().filter_map(|number| self.messages.get(number));
        let queued = queued.flat_map(|message| [message.deadline, message.next_attempt_at]);
        let holds = self.ordering_keys.hold_ends();
        let poll = (!self.queue.is_empty()).then(|| now + self.baseline.poll_interval());
        let times = self
            .retry_after_ends
            .values()
            .copied()
            .chain(endpoint_ends)
            .chain(queued)
            .chain(holds)
            .chain(poll);
        times.filter(|at| *at > now).min()
    }
}

impl<B: BaselinePolicy> Policy for BaselineHost<B> {
    fn update_endpoint_list(
        &mut self,
        _now: Duration,
        update: &EndpointListUpdate,
        _host: &mut dyn PolicyHost,
    ) {
        if update.complete {
            self.endpoints.values_mut().for_each(|known| known.state = EndpointState::Removed);
        }
        for listed in &update.endpoints {
            let kind = self.settings.endpoint_kinds.iter().find(|kind| kind.name == listed.kind);
            let known = self.endpoints.entry(listed.endpoint).or_insert_with(|| KnownEndpoint {
                destination: listed.destination,
                state: listed.state,
                circuit_per_endpoint: kind.is_some_and(|kind| kind.circuit_per_endpoint),
                max_batch: kind.and_then(|kind| kind.max_batch).unwrap_or(1).max(1) as usize,
                retry_after_ends: Duration::ZERO,
            });
            known.state = listed.state;
            self.by_destination.entry(known.destination).or_default().insert(listed.endpoint);
        }
    }

    fn submit(&mut self, _now: Duration, submission: &Submission, host: &mut dyn PolicyHost) {
        let classes = &self.settings.classes;
        let Some(index) = classes.iter().position(|class| class.name == submission.class) else {
            return host.fail_message(&submission.id);
        };
        let class = &classes[index];
        let ordering_key = submission.ordering_key.filter(|_| class.ordered);
        let time_to_deadline = class.deadline.unwrap_or_default();
        let submitted_at = submission.deadline.saturating_sub(time_to_deadline);
        self.last_message.0 += 1;
        let number = self.last_message;
        if let Some(key) = ordering_key {
            self.ordering_keys.enqueue(key, number);
        }
        let message = PendingMessage {
            id: submission.id.clone(),
            class: index,
            ordering_key,
            destination: submission.destination,
            deadline: submission.deadline,
            objective_at: submitted_at + class.latency_objective.unwrap_or(time_to_deadline),
            attempts: 0,
            next_attempt_at: Duration::ZERO,
            in_flight: BTreeSet::new(),
            started: Vec::new(),
            possibly_executed_at: None,
        };
        self.messages.insert(number, message);
        self.message_numbers.insert(submission.id.clone(), number);
        self.queue.push_back(number);
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let Some(number) = self.message_numbers.get(id).copied() else { return };
        let until = now + self.ordering_hold_off();
        let Some(message) = self.messages.get_mut(&number) else { return };
        message.restore(previous);
        if let (Some(key), Some(_)) = (message.ordering_key, message.possibly_executed_at) {
            self.ordering_keys.hold(key, until, number);
        }
        if self.messages.get(&number).is_some_and(|message| !self.may_execute_again(message, now)) {
            self.give_final_answer(number, now, host);
        }
    }

    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost) {
        let FinishedAttempt { message: id, number, outcome, message_finished: finished } = *ended;
        let attempt = AttemptId { message: id.clone(), attempt: number };
        if let Some(detached) = self.detached_attempts.remove(&attempt) {
            self.release_request(detached.request);
            self.hold_key(detached.ordering_key, detached.message, outcome, now);
            self.leave_ordering_queue(detached.ordering_key, detached.message);
        }
        let Some(message_number) = self.message_numbers.get(id).copied() else { return };
        let Some(message) = self.messages.get_mut(&message_number) else { return };
        message.in_flight.remove(&number);
        let Some(attempt) = message.started.get(number.0 as usize).copied() else { return };
        if !outcome.proves_not_executed() {
            let first = message.possibly_executed_at.map_or(attempt.at, |first| first.min(attempt.at));
            message.possibly_executed_at = Some(first);
        }
        let ordering_key = message.ordering_key;
        self.release_request(attempt.request);
        self.hold_key(ordering_key, message_number, outcome, now);
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            self.record_retry_after(attempt.endpoint, wait, now);
        }
        self.baseline.attempt_finished(attempt.endpoint, outcome, now);
        if finished {
            self.remove(message_number);
        } else {
            self.retry_or_finish(message_number, outcome, now, host);
        }
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        let Some(number) = self.message_numbers.get(id).copied() else { return };
        if let Some(message) = self.remove(number) {
            for attempt in &message.in_flight {
                host.cancel_attempt(id, *attempt);
            }
        }
    }

    fn timer_fired(&mut self, _now: Duration) {
        self.timer_at = None;
    }

    fn health_checked(&mut self, _now: Duration, _endpoint: EndpointId, _healthy: bool) {}

    fn gossip_received(&mut self, _now: Duration, _from: PeerId, _gossip: &[u8]) {}

    fn run_due_work(&mut self, now: Duration, world: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.ordering_keys.release_expired(now);
        self.drop_undeliverable(now, host);
        let mut batches = DepartingBatches::default();
        for number in self.sending_order() {
            if let Some(endpoint) = self.select_endpoint(number, now, world, &batches) {
                self.start_attempt(number, endpoint, now, &mut batches, host);
            }
        }
        let due = self.next_timer(now);
        let is_earlier = |at: &Duration| self.timer_at.is_none_or(|timer| *at < timer || timer <= now);
        if let Some(at) = due.filter(is_earlier) {
            self.timer_at = Some(at);
            host.set_timer(at - now);
        }
    }
}
