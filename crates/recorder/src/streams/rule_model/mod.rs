//! A slow model of what the delivery policy owes its host and the destinations. It shares no code with the policy: it
//! sees the calls and commands of the public interface, walks all that it has kept of them, and names each rule that
//! was broken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, EndpointState, EndpointUpdate,
    FinishedAttempt, MessageId, PreviousAttempt, RequestId,
};

use self::records::{AttemptSent, HoldOff, KnownEndpoint, PendingMessage, PossibleExecution};
use crate::recorded_policy::Submission;

mod checks;
mod records;

pub use self::records::{ClassRules, Rules};

/// The policy sets no timer that fires sooner than this.
const MIN_TIMER: Duration = Duration::from_millis(1);

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was broken, since the start of the stream.
    pub at: Duration,
    /// How it was broken, and by which message.
    pub what: String,
}

/// The model of one stream.
pub struct RuleModel {
    rules: Rules,
    pending: BTreeMap<MessageId, PendingMessage>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Endpoints that a whole list has named so far, while one is passed.
    named: Option<BTreeSet<EndpointId>>,
    /// By ordering key.
    hold_offs: BTreeMap<u64, HoldOff>,
    shutdown_deadline: Option<Duration>,
    submitted: u64,
    now: Duration,
    pub violations: Vec<Violation>,
}

impl RuleModel {
    /// A model before the first call.
    pub fn new(rules: Rules, now: Duration) -> RuleModel {
        RuleModel {
            rules,
            pending: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            named: None,
            hold_offs: BTreeMap::new(),
            shutdown_deadline: None,
            submitted: 0,
            now,
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, what: String) {
        self.violations.push(Violation { at: self.now, what });
    }

    /// Adds a violation where a rule does not hold.
    fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.add_violation(what());
        }
    }

    // # Calls into the policy.

    /// The time of all calls and commands until the next call of this method.
    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// A list begins: the whole one, or changes of it.
    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.named = whole.then(BTreeSet::new);
    }

    /// One entry of the list.
    pub fn endpoint_updated(&mut self, update: &EndpointUpdate) {
        let EndpointUpdate { endpoint, destination, state, kind, zone, .. } = *update;
        if let Some(named) = &mut self.named {
            named.insert(endpoint);
        }
        let known = self.endpoints.entry(endpoint).or_insert_with(|| KnownEndpoint {
            destination,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            state,
            moves: 0,
            attempted: false,
            retry_after: Duration::ZERO,
        });
        // The policy may have dropped one that was removed, and its Retry-After with it.
        if known.destination != destination || known.kind != kind || known.state == EndpointState::Removed {
            known.moves += 1;
            known.attempted = false;
            known.retry_after = Duration::ZERO;
        }
        known.destination = destination;
        kind.clone_into(&mut known.kind);
        zone.clone_into(&mut known.zone);
        known.state = state;
    }

    /// The list is complete: endpoints that a whole one did not name are removed.
    pub fn finish_endpoint_list(&mut self) {
        let Some(named) = self.named.take() else { return };
        for (_, known) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            known.state = EndpointState::Removed;
        }
    }

    /// The list was lost before its end: nothing is removed.
    pub fn abort_endpoint_list(&mut self) {
        self.named = None;
    }

    /// A message was submitted.
    pub fn submit(&mut self, message: &Submission) {
        self.submitted += 1;
        let class = self.rules.classes.get(&message.class).copied().unwrap_or(ClassRules::UNKNOWN);
        let pending = PendingMessage {
            number: self.submitted,
            idempotency: class.idempotency,
            key: message.ordering_key.map(|key| key.0).filter(|_| class.ordered),
            destination: message.destination,
            deadline: message.deadline,
            attempts: 0,
            in_flight: BTreeMap::new(),
            possibly_executed: None,
            finished: false,
        };
        self.pending.insert(message.id.clone(), pending);
    }

    /// A message had these attempts before a restart.
    pub fn restore(&mut self, id: &MessageId, previous: &[PreviousAttempt]) {
        let until = self.now + self.rules.ordering_hold_off;
        let Some(pending) = self.pending.get_mut(id) else { return };
        pending.attempts = previous.len() as u64;
        let possibly_executed = previous.iter().filter(|attempt| !attempt.proves_not_executed);
        let first = possibly_executed.min_by_key(|attempt| attempt.started_at);
        pending.possibly_executed = first.map(|attempt| PossibleExecution {
            first_started_at: attempt.started_at,
            endpoint: attempt.endpoint,
        });
        if let Some(key) = pending.key.filter(|_| pending.possibly_executed.is_some()) {
            self.hold_offs.insert(key, HoldOff { until, holder: pending.number });
        }
    }

    /// An attempt has ended.
    pub fn attempt_finished(&mut self, ended: &FinishedAttempt) {
        let FinishedAttempt { message: id, number, outcome, message_finished } = *ended;
        let until = self.now + self.rules.ordering_hold_off;
        let Some(pending) = self.pending.get_mut(id) else { return };
        let Some(sent) = pending.in_flight.remove(&number) else { return };
        pending.finished |= message_finished;
        if !outcome.proves_not_executed() {
            let first =
                pending.possibly_executed.map_or(sent.at, |known| known.first_started_at.min(sent.at));
            let executed = PossibleExecution { first_started_at: first, endpoint: sent.endpoint };
            pending.possibly_executed = Some(executed);
        }
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = pending.key.filter(|_| may_still_run) {
            self.hold_offs.insert(key, HoldOff { until, holder: pending.number });
        }
        self.remove_if_done(id);
        let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) else { return };
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            // It holds for the endpoint as it was when the attempt was sent, and not for one that has moved since.
            if sent.moves == endpoint.moves {
                endpoint.extend_retry_after(self.now + wait);
            }
        }
    }

    /// A response that rejected nothing carried a Retry-After.
    pub fn retry_after_received(&mut self, endpoint: EndpointId, wait: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.extend_retry_after(self.now + wait);
        }
    }

    /// A client withdrew a message.
    pub fn withdraw(&mut self, id: &MessageId) {
        self.finish(id);
    }

    /// The host will stop at this time.
    pub fn begin_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = Some(deadline);
    }

    /// A message needs nothing more of the policy.
    fn finish(&mut self, id: &MessageId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.finished = true;
        }
        self.remove_if_done(id);
    }

    /// Drops a message that is finished and has no attempt in flight.
    fn remove_if_done(&mut self, id: &MessageId) {
        if self.pending.get(id).is_some_and(|message| message.finished && message.in_flight.is_empty()) {
            self.pending.remove(id);
        }
    }

    // # Commands of the policy.

    /// The policy starts an attempt.
    pub fn attempt_started(&mut self, id: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let mut broken = self.rules_broken_by_attempt(id, endpoint, timeouts);
        let Some(pending) = self.pending.get_mut(id) else { return };
        let known = self.endpoints.get_mut(&endpoint);
        let moves = known.map_or(0, |known| {
            known.attempted = true;
            known.moves
        });
        let number = AttemptNumber(pending.attempts as u32);
        pending.attempts += 1;
        let sent = AttemptSent { endpoint, moves, at: self.now, request: timeouts.request };
        pending.in_flight.insert(number, sent);
        if self.requests_in_flight() > self.rules.max_in_flight {
            broken.push("more requests in flight than allowed");
        }
        for what in broken {
            self.add_violation(format!("message {} to endpoint {}: {what}", id.0, endpoint.0));
        }
    }

    /// Number of requests that carry the attempts in flight.
    fn requests_in_flight(&self) -> u64 {
        let attempts = self.pending.values().flat_map(|message| message.in_flight.values());
        let requests: BTreeSet<RequestId> = attempts.map(|attempt| attempt.request).collect();
        requests.len() as u64
    }

    /// The policy cancels an attempt.
    pub fn cancelled(&mut self, id: &MessageId, number: AttemptNumber) {
        let in_flight = self.pending.get(id).is_some_and(|message| message.in_flight.contains_key(&number));
        self.check(in_flight, || {
            format!("message {}: attempt {} cancelled, and was not in flight", id.0, number.0)
        });
    }

    /// The policy rejects a message.
    pub fn rejected(&mut self, id: &MessageId) {
        let harmless = self.pending.get(id).is_some_and(|message| message.may_be_rejected(self.now));
        self.check(harmless, || format!("message {}: rejected, and submitting it again may do harm", id.0));
        self.answered(id);
    }

    /// The policy fails a message.
    pub fn failed(&mut self, id: &MessageId) {
        self.answered(id);
    }

    /// A message gets its final answer, which must be the only one.
    fn answered(&mut self, id: &MessageId) {
        let is_pending = self.pending.get(id).is_some_and(|message| !message.finished);
        self.check(is_pending, || format!("message {}: answered, and was not pending", id.0));
        self.finish(id);
    }

    /// The policy has run its due work; these timers are to come.
    pub fn work_done(&mut self, timers: &BTreeSet<Duration>) {
        let now = self.now;
        let unfinished = self.pending.values().filter(|message| !message.finished).count() as u64;
        let deadlines: Vec<Duration> = (self.pending.values())
            .filter(|message| message.is_queued())
            .map(|message| message.deadline)
            .collect();
        let expired = deadlines.iter().filter(|deadline| now >= **deadline).count();
        let first_deadline = deadlines.iter().min().copied();
        let first_timer = timers.first().copied();
        let is_timer_set = first_deadline
            .is_none_or(|deadline| first_timer.is_some_and(|timer| timer <= deadline.max(now) + MIN_TIMER));
        let fits = unfinished < self.rules.capacity.max(2) || deadlines.is_empty();
        self.check(expired == 0, || format!("{expired} messages queued past their deadline"));
        self.check(is_timer_set, || {
            format!("first timer {first_timer:?}, first deadline of a queued message {first_deadline:?}")
        });
        self.check(fits, || format!("{unfinished} messages pending, over the capacity"));
    }
}
