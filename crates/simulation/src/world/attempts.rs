//! Attempts: how they start, and how each ends.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId};

use super::event::{Event, ForwarderInput};
use super::records::{AttemptEnd, AttemptRecord, AttemptRef, BatchEntry, BatchPosition, RequestRecord};
use super::state::World;
use crate::ids::{EndpointIndex, MessageIndex, RequestIndex};
use crate::invariants::{RetryAfterScope, Rule};

/// Requests that one run of a policy has opened.
#[derive(Default)]
pub(super) struct OpenBatches {
    /// The request that is being filled for each endpoint.
    by_endpoint: BTreeMap<EndpointIndex, RequestIndex>,
    /// All of them, in the order in which they were opened.
    requests: Vec<RequestIndex>,
}

impl OpenBatches {
    pub(super) fn into_requests(self) -> Vec<RequestIndex> {
        self.requests
    }

    fn open(&mut self, endpoint: EndpointIndex, request: RequestIndex) {
        self.by_endpoint.insert(endpoint, request);
        self.requests.push(request);
    }
}

impl World<'_> {
    /// A policy starts an attempt. It joins the request that is being filled for the endpoint, or opens one.
    pub(super) fn start_attempt(
        &mut self,
        message: MessageIndex,
        endpoint: EndpointId,
        timeout: Duration,
        batches: &mut OpenBatches,
    ) {
        let Some(endpoint) = self.valid_endpoint(message, endpoint) else { return };
        let now = self.now();
        let destination = self.destination_of(endpoint);
        let scopes = [RetryAfterScope::Destination(destination.0), RetryAfterScope::Endpoint(endpoint)];
        self.invariants.attempt_started(now, message, endpoint, scopes);
        self.account.attempts.all += 1;
        self.account.second(now).started += 1;
        let attempt = AttemptRef { message, number: self.messages[message.0].attempts.len() };
        let joined = self.batch_with_room(endpoint, batches);
        if !self.may_send(attempt, joined) {
            return self.attempt_not_sent(attempt, endpoint);
        }
        let request = joined.unwrap_or_else(|| self.open_request(attempt, endpoint, batches));
        self.count_sent_to_down(attempt, endpoint);
        self.join_request(attempt, endpoint, request, timeout);
    }

    /// The endpoint of an attempt, if it is one of the message's destination.
    fn valid_endpoint(&mut self, message: MessageIndex, id: EndpointId) -> Option<EndpointIndex> {
        let destination = self.submissions[self.messages[message.0].submission.0].destination;
        let what = match self.known_endpoint(id) {
            Some(endpoint) if self.destination_of(endpoint) == destination => return Some(endpoint),
            Some(endpoint) => format!("sent to target {} of another destination", endpoint.0),
            None => format!("sent to target {}, which no list has named", id.0),
        };
        self.invariants.record_violation(Rule::Interface, self.schedule.now(), Some(message), what);
        None
    }

    /// The request that is being filled for an endpoint, if another message fits in.
    fn batch_with_room(&self, endpoint: EndpointIndex, batches: &OpenBatches) -> Option<RequestIndex> {
        let max_batch = self.kind_of(self.destination_of(endpoint)).max_batch as usize;
        let open = batches.by_endpoint.get(&endpoint).copied();
        open.filter(|request| self.requests[request.0].batch.len() < max_batch)
    }

    /// Whether the message is pending, has attempts left, and a request may leave.
    fn may_send(&self, attempt: AttemptRef, joined: Option<RequestIndex>) -> bool {
        let fleet = &self.scenario.fleet;
        let message = &self.messages[attempt.message.0];
        let in_flight = self.forwarders[message.owner.forwarder.0].requests_in_flight;
        let is_request_free = joined.is_some() || in_flight < fleet.max_in_flight as usize;
        !message.finished && attempt.number < fleet.max_attempts as usize && is_request_free
    }

    /// An attempt that cannot be sent; the forwarder learns so at the next tick.
    fn attempt_not_sent(&mut self, attempt: AttemptRef, endpoint: EndpointIndex) {
        let now = self.now();
        let outcome = AttemptOutcome::NotSent;
        let scope = self.retry_after_scope(endpoint);
        let message = &mut self.messages[attempt.message.0];
        message.attempts.push(AttemptRecord {
            endpoint,
            started_at: now,
            position: None,
            outcome: Some(outcome),
            reported: false,
        });
        self.account.attempts.not_sent += 1;
        let end = AttemptEnd { attempt, outcome, finished: message.finished, scope };
        let input = ForwarderInput::AttemptFinished(end);
        let owner = message.owner;
        self.schedule.schedule(now + self.scenario.fleet.tick.0, Event::Input { to: owner, input });
    }

    /// Opens a request with an attempt as its first one.
    fn open_request(
        &mut self,
        attempt: AttemptRef,
        endpoint: EndpointIndex,
        batches: &mut OpenBatches,
    ) -> RequestIndex {
        let request = RequestIndex(self.requests.len());
        let sender = self.messages[attempt.message.0].owner;
        let incarnation = self.endpoints[endpoint.0].incarnation;
        self.requests.push(RequestRecord::new(sender, endpoint, incarnation, self.schedule.now()));
        self.forwarders[sender.forwarder.0].requests_in_flight += 1;
        batches.open(endpoint, request);
        request
    }

    /// Counts an attempt that is sent to an endpoint which is down.
    fn count_sent_to_down(&mut self, attempt: AttemptRef, endpoint: EndpointIndex) {
        if !self.endpoints[endpoint.0].is_down() {
            return;
        }
        let is_first = attempt.number == 0;
        let is_known = self.invariants.is_outage_known(endpoint);
        self.sent_to_down.attempts += 1;
        self.sent_to_down.first_attempts_lost += u64::from(is_first);
        self.sent_to_down.first_attempts_lost_to_known_outage += u64::from(is_first && is_known);
    }

    /// Adds an attempt to a request that has not left, and schedules its timeout.
    fn join_request(
        &mut self,
        attempt: AttemptRef,
        endpoint: EndpointIndex,
        request: RequestIndex,
        timeout: Duration,
    ) {
        let now = self.now();
        let batch = &mut self.requests[request.0].batch;
        let position = BatchPosition { request, index: batch.len() };
        batch.push(BatchEntry { attempt, awaited: true });
        let message = &mut self.messages[attempt.message.0];
        message.attempts.push(AttemptRecord {
            endpoint,
            started_at: now,
            position: Some(position),
            outcome: None,
            reported: false,
        });
        // No attempt lasts beyond the deadline of its message.
        let timeout = timeout.min(message.deadline.saturating_sub(now));
        self.schedule.schedule(now + timeout, Event::TimedOut(position));
    }

    /// A policy cancels an attempt.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptRef) {
        let message = attempt.message;
        let Some(record) = self.messages[message.0].attempts.get(attempt.number) else {
            let what = format!("called off dispatch {} that was never made", attempt.number);
            self.invariants.record_violation(Rule::Interface, self.schedule.now(), Some(message), what);
            return;
        };
        if let Some(position) = record.position {
            self.stop_waiting(position, AttemptOutcome::Cancelled);
        }
    }

    /// The forwarder stops waiting for one attempt of a request, if it still does.
    pub(super) fn stop_waiting(&mut self, position: BatchPosition, outcome: AttemptOutcome) {
        let request = position.request;
        if !self.requests[request.0].batch[position.index].awaited {
            return;
        }
        self.finish_attempt(position, outcome);
        if !self.requests[request.0].is_awaited() {
            self.abandon_request(request);
        }
    }

    /// An attempt has its outcome: records it, and reports it to the forwarder.
    pub(super) fn finish_attempt(&mut self, position: BatchPosition, outcome: AttemptOutcome) {
        let request = &mut self.requests[position.request.0];
        let entry = &mut request.batch[position.index];
        entry.awaited = false;
        let attempt = entry.attempt;
        let (sender, endpoint) = (request.sender, request.endpoint);
        let message = attempt.message;
        self.messages[message.0].attempts[attempt.number].outcome = Some(outcome);
        self.count_outcome(outcome);
        if outcome == AttemptOutcome::Completed && !self.messages[message.0].finished {
            self.message_completed(message);
        }
        let finished = self.messages[message.0].finished;
        if !self.requests[position.request.0].is_awaited() {
            self.release_request(position.request, outcome);
        }
        let scope = self.retry_after_scope(endpoint);
        let end = AttemptEnd { attempt, outcome, finished, scope };
        self.deliver(sender, ForwarderInput::AttemptFinished(end));
    }

    /// Counts the outcome of an attempt.
    fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let counts = &mut self.account.attempts;
        match outcome {
            AttemptOutcome::Completed => counts.completed += 1,
            AttemptOutcome::Error => counts.errors += 1,
            AttemptOutcome::Rejected { .. } => counts.rejected += 1,
            AttemptOutcome::TimedOut => counts.timed_out += 1,
            AttemptOutcome::NoConnection => counts.no_connection += 1,
            AttemptOutcome::ConnectionReset => counts.connection_reset += 1,
            AttemptOutcome::Cancelled => counts.cancelled += 1,
            AttemptOutcome::NotSent | AttemptOutcome::Malformed => {}
        }
        if matches!(outcome, AttemptOutcome::Rejected { .. }) {
            let now = self.now();
            self.account.second(now).rejected_attempts += 1;
        }
    }
}
