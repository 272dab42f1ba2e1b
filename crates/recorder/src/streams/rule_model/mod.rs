//! Simple model of the rules that the delivery policy must keep towards its host and the destinations. The
//! model shares no code with the policy; the calls and commands of the public interface are all that the
//! model observes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, EndpointState, EndpointUpdate,
    FinishedAttempt, MessageId, PreviousAttempt, RequestId,
};

use self::records::{HoldOff, KnownEndpoint, PendingMessage, PossibleExecution, SentAttempt};
use crate::recorded_policy::Submission;

mod checks;
mod records;

pub use self::records::{ClassRules, Rules};

/// Minimum duration of the timers that the policy sets.
const MIN_TIMER_DURATION: Duration = Duration::from_millis(1);

/// A rule that the delivery policy broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time on the clock of the stream, as passed to the policy.
    pub at: Duration,
    /// Which rule was broken, and the message or endpoint concerned.
    pub description: String,
}

pub struct RuleModel {
    rules: Rules,
    pending: BTreeMap<MessageId, PendingMessage>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Endpoints that the current complete list has named so far; `None` if no complete list is being passed.
    listed: Option<BTreeSet<EndpointId>>,
    /// Hold-offs by ordering key.
    hold_offs: BTreeMap<u64, HoldOff>,
    shutdown_deadline: Option<Duration>,
    submitted: u64,
    now: Duration,
    pub violations: Vec<Violation>,
}

impl RuleModel {
    pub fn new(rules: Rules, now: Duration) -> RuleModel {
        RuleModel {
            rules,
            pending: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            listed: None,
            hold_offs: BTreeMap::new(),
            shutdown_deadline: None,
            submitted: 0,
            now,
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, description: String) {
        self.violations.push(Violation { at: self.now, description });
    }

    /// Adds a violation if the rule doesn't hold.
    fn check(&mut self, holds: bool, description: impl FnOnce() -> String) {
        if !holds {
            self.add_violation(description());
        }
    }

    // Calls into the policy

    /// Sets the time of all following calls and commands.
    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// Begins an endpoint list, which is complete or only contains changes.
    pub fn begin_endpoint_list(&mut self, complete: bool) {
        self.listed = complete.then(BTreeSet::new);
    }

    /// Applies one entry of the endpoint list.
    pub fn endpoint_updated(&mut self, update: &EndpointUpdate) {
        let EndpointUpdate { endpoint, destination, state, kind, zone, .. } = *update;
        if let Some(listed) = &mut self.listed {
            listed.insert(endpoint);
        }
        let known = self.endpoints.entry(endpoint).or_insert_with(|| KnownEndpoint {
            destination,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            state,
            reassignments: 0,
            has_received_attempt: false,
            retry_after_until: Duration::ZERO,
        });
        // The policy may no longer keep the Retry-After of an endpoint that was removed.
        if known.destination != destination || known.kind != kind || known.state == EndpointState::Removed {
            known.reassignments += 1;
            known.has_received_attempt = false;
            known.retry_after_until = Duration::ZERO;
        }
        known.destination = destination;
        kind.clone_into(&mut known.kind);
        zone.clone_into(&mut known.zone);
        known.state = state;
    }

    /// Ends the list; endpoints that a complete list didn't name are removed.
    pub fn finish_endpoint_list(&mut self) {
        let Some(listed) = self.listed.take() else { return };
        for (_, known) in self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            known.state = EndpointState::Removed;
        }
    }

    /// Discards a list that broke off; no endpoint is removed.
    pub fn abort_endpoint_list(&mut self) {
        self.listed = None;
    }

    /// Adds a submitted message.
    pub fn submit(&mut self, message: &Submission) {
        self.submitted += 1;
        let class = self.rules.classes.get(&message.class).copied().unwrap_or(ClassRules::UNKNOWN);
        let pending = PendingMessage {
            submission_number: self.submitted,
            idempotency: class.idempotency,
            ordering_key: message.ordering_key.map(|key| key.0).filter(|_| class.ordered),
            destination: message.destination,
            deadline: message.deadline,
            attempts: 0,
            in_flight: BTreeMap::new(),
            possibly_executed: None,
            finished: false,
        };
        self.pending.insert(message.id.clone(), pending);
    }

    /// Restores the attempts that a message had before a restart.
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
        if let Some(key) = pending.ordering_key.filter(|_| pending.possibly_executed.is_some()) {
            self.hold_offs.insert(key, HoldOff { until, message_number: pending.submission_number });
        }
    }

    /// Records the outcome of an attempt.
    pub fn attempt_finished(&mut self, finished: &FinishedAttempt) {
        let FinishedAttempt { message: id, number, outcome, message_finished } = *finished;
        let until = self.now + self.rules.ordering_hold_off;
        let Some(pending) = self.pending.get_mut(id) else { return };
        let Some(sent) = pending.in_flight.remove(&number) else { return };
        pending.finished |= message_finished;
        if !outcome.proves_not_executed() {
            let first_started_at = pending
                .possibly_executed
                .map_or(sent.started_at, |known| known.first_started_at.min(sent.started_at));
            let executed = PossibleExecution { first_started_at, endpoint: sent.endpoint };
            pending.possibly_executed = Some(executed);
        }
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = pending.ordering_key.filter(|_| may_still_run) {
            self.hold_offs.insert(key, HoldOff { until, message_number: pending.submission_number });
        }
        self.remove_if_done(id);
        let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) else { return };
        if let AttemptOutcome::Rejected { retry_after: Some(retry_after) } = outcome {
            // The Retry-After doesn't apply to an endpoint that was reassigned after the start of the
            // attempt.
            if sent.endpoint_reassignments == endpoint.reassignments {
                endpoint.extend_retry_after(self.now + retry_after);
            }
        }
    }

    /// Records a Retry-After of a response that rejected no message.
    pub fn retry_after_received(&mut self, endpoint: EndpointId, retry_after: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.extend_retry_after(self.now + retry_after);
        }
    }

    /// Finishes a message that its client withdrew.
    pub fn withdraw(&mut self, id: &MessageId) {
        self.finish(id);
    }

    /// Sets the time at which the host stops.
    pub fn begin_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Marks a message as finished.
    fn finish(&mut self, id: &MessageId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.finished = true;
        }
        self.remove_if_done(id);
    }

    /// Removes a message that is finished and has no attempt in flight.
    fn remove_if_done(&mut self, id: &MessageId) {
        if self.pending.get(id).is_some_and(|message| message.finished && message.in_flight.is_empty()) {
            self.pending.remove(id);
        }
    }

    // Commands of the policy

    /// Checks and records an attempt that the policy starts.
    pub fn attempt_started(&mut self, id: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let mut violations = self.violations_by_attempt(id, endpoint, timeouts);
        let Some(pending) = self.pending.get_mut(id) else { return };
        let known = self.endpoints.get_mut(&endpoint);
        let endpoint_reassignments = known.map_or(0, |known| {
            known.has_received_attempt = true;
            known.reassignments
        });
        let number = AttemptNumber(pending.attempts as u32);
        pending.attempts += 1;
        let sent =
            SentAttempt { endpoint, endpoint_reassignments, started_at: self.now, request: timeouts.request };
        pending.in_flight.insert(number, sent);
        if self.requests_in_flight() > self.rules.max_in_flight {
            violations.push("more requests are in flight than allowed");
        }
        for violation in violations {
            self.add_violation(format!(
                "attempt of message {} at endpoint {}: {violation}",
                id.0, endpoint.0
            ));
        }
    }

    /// Returns the number of requests that carry the attempts in flight.
    fn requests_in_flight(&self) -> u64 {
        let attempts = self.pending.values().flat_map(|message| message.in_flight.values());
        let requests: BTreeSet<RequestId> = attempts.map(|attempt| attempt.request).collect();
        requests.len() as u64
    }

    /// Checks that a cancelled attempt is in flight.
    pub fn attempt_cancelled(&mut self, id: &MessageId, number: AttemptNumber) {
        let in_flight = self.pending.get(id).is_some_and(|message| message.in_flight.contains_key(&number));
        self.check(in_flight, || {
            format!("message {}: attempt {} was cancelled but is not in flight", id.0, number.0)
        });
    }

    /// Checks that the client can safely submit a rejected message again.
    pub fn message_rejected(&mut self, id: &MessageId) {
        let is_safe_to_reject = self.pending.get(id).is_some_and(|message| message.may_be_rejected(self.now));
        self.check(is_safe_to_reject, || {
            format!("message {}: rejected although submitting it again is not safe", id.0)
        });
        self.final_answer_given(id);
    }

    /// Records that the policy failed a message.
    pub fn message_failed(&mut self, id: &MessageId) {
        self.final_answer_given(id);
    }

    /// Checks that a final answer is the only one of its message, and finishes the message.
    fn final_answer_given(&mut self, id: &MessageId) {
        let is_pending = self.pending.get(id).is_some_and(|message| !message.finished);
        self.check(is_pending, || format!("message {}: got a final answer but is not pending", id.0));
        self.finish(id);
    }

    /// Checks the rules that hold after each run of due work, with the times of the timers that are set.
    pub fn due_work_finished(&mut self, timers: &BTreeSet<Duration>) {
        let now = self.now;
        let unfinished = self.pending.values().filter(|message| !message.finished).count() as u64;
        let deadlines: Vec<Duration> = (self.pending.values())
            .filter(|message| message.is_queued())
            .map(|message| message.deadline)
            .collect();
        let expired = deadlines.iter().filter(|deadline| now >= **deadline).count();
        let first_deadline = deadlines.iter().min().copied();
        let first_timer = timers.first().copied();
        let is_timer_set = first_deadline.is_none_or(|deadline| {
            first_timer.is_some_and(|timer| timer <= deadline.max(now) + MIN_TIMER_DURATION)
        });
        let has_room_for_messages =
            unfinished < self.rules.max_pending_messages.max(2) || deadlines.is_empty();
        self.check(expired == 0, || format!("{expired} messages are queued past their deadline"));
        self.check(is_timer_set, || {
            format!("first timer {first_timer:?}, expected by first queued deadline {first_deadline:?}")
        });
        self.check(has_room_for_messages, || {
            format!("{unfinished} messages are pending, expected fewer than the maximum")
        });
    }
}
