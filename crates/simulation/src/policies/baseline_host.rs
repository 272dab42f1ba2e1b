//! What the baselines have in common: pending messages, the endpoint list, and the rules.
//!
//! A baseline is a [`BaselinePolicy`] in this host; it chooses an endpoint and says whether there is a retry. The
//! host lets nothing through that breaks a rule which one forwarder can keep by its own records alone (one answer,
//! no double effect, drains, order, waits); whether a recovering destination is overloaded is the baseline's own
//! affair.

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

/// One attempt of one message.
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

/// An endpoint that a list has named.
struct KnownEndpoint {
    destination: DestinationId,
    state: EndpointState,
    circuit_per_endpoint: bool,
    max_batch: usize,
    /// End of the Retry-After of this endpoint alone.
    retry_after: Duration,
}

/// A forwarder that decides by a baseline.
pub(super) struct BaselineHost<B> {
    baseline: B,
    random: RandomSource,
    settings: Settings,
    messages: BTreeMap<MessageNumber, PendingMessage>,
    numbers: BTreeMap<MessageId, MessageNumber>,
    detached: BTreeMap<AttemptId, DetachedAttempt>,
    /// Messages without an attempt in flight, in the order in which they were submitted or came back for a retry.
    queue: VecDeque<MessageNumber>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    /// Endpoints that have sent a Retry-After of their own.
    endpoints_with_retry_after: BTreeSet<EndpointId>,
    /// End of the Retry-After of destinations whose endpoints share one.
    retry_after: BTreeMap<DestinationId, Duration>,
    ordering_keys: OrderingKeys,
    /// Requests in flight, with the attempts in each that have not ended.
    requests: BTreeMap<RequestId, u32>,
    last_request: RequestId,
    last_message: MessageNumber,
    timer_at: Option<Duration>,
}

impl<B: BaselinePolicy> BaselineHost<B> {
    /// A host without messages and endpoints.
    pub(super) fn new(settings: Settings, baseline: B) -> BaselineHost<B> {
        BaselineHost {
            baseline,
            random: RandomSource::seed_from_u64(settings.seed),
            settings,
            messages: BTreeMap::new(),
            numbers: BTreeMap::new(),
            detached: BTreeMap::new(),
            queue: VecDeque::new(),
            endpoints: BTreeMap::new(),
            by_destination: BTreeMap::new(),
            endpoints_with_retry_after: BTreeSet::new(),
            retry_after: BTreeMap::new(),
            ordering_keys: OrderingKeys::default(),
            requests: BTreeMap::new(),
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

    // # Final answers.

    /// Whether another attempt for a message has no effect that an earlier one may have had.
    fn may_execute_again(&self, message: &PendingMessage, now: Duration) -> bool {
        let class = &self.settings.classes[message.class];
        let idempotency = class.idempotency.unwrap_or(Idempotency::NonIdempotent);
        match (idempotency, message.possibly_executed_at) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey { window, .. }, Some(first)) => now < first + window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Forgets a message, but for its attempts in flight.
    fn remove(&mut self, number: MessageNumber) -> Option<PendingMessage> {
        let message = self.messages.remove(&number)?;
        self.numbers.remove(&message.id);
        self.queue.retain(|queued| *queued != number);
        for attempt in &message.in_flight {
            let request = message.started.get(attempt.0 as usize).and_then(|started| started.request);
            let detached = DetachedAttempt { request, message: number, ordering_key: message.ordering_key };
            self.detached.insert(AttemptId { message: message.id.clone(), attempt: *attempt }, detached);
        }
        self.leave_ordering_queue(message.ordering_key, number);
        Some(message)
    }

    /// Takes a message out of its key's queue once it is finished and nothing is in flight for it.
    fn leave_ordering_queue(&mut self, key: Option<OrderingKey>, number: MessageNumber) {
        let is_open = self.messages.contains_key(&number)
            || self.detached.values().any(|detached| detached.message == number);
        if let Some(key) = key.filter(|_| !is_open) {
            self.ordering_keys.remove(key, number);
        }
    }

    /// Holds a key after an attempt that may still be running.
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

    /// Rejects a message where its client may submit it again without harm, and fails it otherwise.
    fn give_final_answer(&mut self, number: MessageNumber, now: Duration, host: &mut dyn PolicyHost) {
        let Some(message) = self.remove(number) else { return };
        let harmless = self.may_execute_again(&message, now) && message.in_flight.is_empty();
        if harmless && now < message.deadline {
            let until = self.retry_after.get(&message.destination).copied().unwrap_or_default();
            let wait = self.settings.max_retry_after.map(|max| until.saturating_sub(now).min(max));
            host.reject_message(&message.id, wait.filter(|wait| !wait.is_zero()));
        } else {
            host.fail_message(&message.id);
        }
        for attempt in &message.in_flight {
            host.cancel_attempt(&message.id, *attempt);
        }
    }

    /// Gives a final answer to messages that can no longer be sent, and to the newest queued ones over the capacity.
    fn drop_undeliverable(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        let is_expired = |number: &&MessageNumber| {
            let message = self.messages.get(*number);
            message.is_none_or(|m| now >= m.deadline || !self.may_execute_again(m, now))
        };
        let expired: Vec<MessageNumber> = self.queue.iter().filter(is_expired).copied().collect();
        for number in expired {
            self.give_final_answer(number, now, host);
        }
        let capacity = self.settings.max_pending_messages.unwrap_or(u64::MAX) as usize;
        while self.messages.len() >= capacity {
            let Some(newest) = self.queue.back().copied() else { break };
            self.give_final_answer(newest, now, host);
        }
    }

    // # Whether and where an attempt may be sent.

    /// Whether the ordering key of a message lets it be sent.
    fn is_key_free(&self, number: MessageNumber, message: &PendingMessage, now: Duration) -> bool {
        message.ordering_key.is_none_or(|key| self.ordering_keys.lets_pass(key, number, now))
    }

    /// Endpoints that the list and Retry-After let a message go to.
    fn candidates(&self, message: &PendingMessage, now: Duration) -> Vec<EndpointId> {
        let shared = self.retry_after.get(&message.destination).copied().unwrap_or_default();
        let is_candidate = |endpoint: &KnownEndpoint| {
            let retry_after = if endpoint.circuit_per_endpoint { endpoint.retry_after } else { shared };
            endpoint.state == EndpointState::Active && now >= retry_after
        };
        let endpoints = self.by_destination.get(&message.destination).into_iter().flatten();
        endpoints.filter(|id| self.endpoints.get(id).is_some_and(is_candidate)).copied().collect()
    }

    /// Keeps the Retry-After of an endpoint, or of its destination where its endpoints share one.
    fn keep_retry_after(&mut self, id: EndpointId, wait: Duration, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let until = if endpoint.circuit_per_endpoint {
            self.endpoints_with_retry_after.insert(id);
            &mut endpoint.retry_after
        } else {
            self.retry_after.entry(endpoint.destination).or_default()
        };
        *until = (*until).max(now + wait);
    }

    // # Requests and attempts.

    /// One attempt of a request has ended.
    fn release_request(&mut self, request: Option<RequestId>) {
        let Some(request) = request else { return };
        if let Some(unfinished) = self.requests.get_mut(&request) {
            *unfinished -= 1;
            if *unfinished == 0 {
                self.requests.remove(&request);
            }
        }
    }

    /// Queued messages in the order in which they are to be sent, while another request may leave.
    fn sending_order(&self) -> Vec<MessageNumber> {
        if self.requests.len() >= self.max_in_flight() {
            return Vec::new();
        }
        let urgency = |number: &MessageNumber| {
            self.messages.get(number).map_or(Duration::MAX, |message| self.baseline.urgency(message))
        };
        let mut order: Vec<MessageNumber> = self.queue.iter().copied().collect();
        // A stable sort: messages of one urgency stay in the order of the queue.
        order.sort_by_cached_key(urgency);
        order
    }

    /// Chooses an endpoint for a message, if it may go to one now.
    fn select_endpoint(
        &mut self,
        number: MessageNumber,
        now: Duration,
        world: &dyn WorldView,
        batches: &DepartingBatches,
    ) -> Option<EndpointId> {
        let message = self.messages.get(&number)?;
        if now < message.not_before || !self.is_key_free(number, message, now) {
            return None;
        }
        let mut candidates = self.candidates(message, now);
        if self.requests.len() >= self.max_in_flight() {
            candidates.retain(|endpoint| batches.has_room(*endpoint));
        }
        if candidates.is_empty() {
            return None;
        }
        let view = SelectionView { candidates: &candidates, batches: batches.free_places(), now, world };
        self.baseline.select(message, &view, &mut self.random)
    }

    /// Starts an attempt, in the request that is being filled for the endpoint or in a new one.
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
        *self.requests.entry(request).or_default() += 1;
        message.in_flight.insert(AttemptNumber(message.attempts));
        message.attempts += 1;
        message.started.push(StartedAttempt { endpoint, at: now, request: Some(request) });
        let id = message.id.clone();
        self.queue.retain(|queued| *queued != number);
        let timeouts = AttemptTimeouts { request, start_within: timeout, response_within: timeout };
        host.start_attempt(&id, endpoint, timeouts);
    }

    /// Queues a message for its retry, or gives its final answer.
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
        message.not_before = now + delay;
        self.queue.push_back(number);
        if self.messages.get(&number).is_some_and(|message| !self.may_execute_again(message, now)) {
            self.give_final_answer(number, now, host);
        }
    }

    /// When something becomes due that no call to the host announces.
    fn next_timer(&self, now: Duration) -> Option<Duration> {
        let own = self.endpoints_with_retry_after.iter().filter_map(|id| self.endpoints.get(id));
        let own = own.map(|endpoint| endpoint.retry_after);
        let queued = self.queue.iter().filter_map(|number| self.messages.get(number));
        let queued = queued.flat_map(|message| [message.deadline, message.not_before]);
        let holds = self.ordering_keys.hold_ends();
        let poll = (!self.queue.is_empty()).then(|| now + self.baseline.poll_interval());
        let times = self.retry_after.values().copied().chain(own).chain(queued).chain(holds).chain(poll);
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
                retry_after: Duration::ZERO,
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
            not_before: Duration::ZERO,
            in_flight: BTreeSet::new(),
            started: Vec::new(),
            possibly_executed_at: None,
        };
        self.messages.insert(number, message);
        self.numbers.insert(submission.id.clone(), number);
        self.queue.push_back(number);
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let Some(number) = self.numbers.get(id).copied() else { return };
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
        if let Some(detached) = self.detached.remove(&attempt) {
            self.release_request(detached.request);
            self.hold_key(detached.ordering_key, detached.message, outcome, now);
            self.leave_ordering_queue(detached.ordering_key, detached.message);
        }
        let Some(message_number) = self.numbers.get(id).copied() else { return };
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
            self.keep_retry_after(attempt.endpoint, wait, now);
        }
        self.baseline.attempt_finished(attempt.endpoint, outcome, now);
        if finished {
            self.remove(message_number);
        } else {
            self.retry_or_finish(message_number, outcome, now, host);
        }
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        let Some(number) = self.numbers.get(id).copied() else { return };
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
