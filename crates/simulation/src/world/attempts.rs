//! Start and end of attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId};

use super::event::{Event, ForwarderInput};
use super::records::{AttemptEnd, AttemptRecord, AttemptRef, BatchEntry, BatchPosition, RequestRecord};
use super::state::World;
use crate::ids::{EndpointIndex, MessageIndex, RequestIndex};
use crate::invariants::{RetryAfterScope, Rule};

/// Requests opened during one policy run.
#[derive(Default)]
pub(super) struct OpenBatches {
    /// The request to which attempts are added, by endpoint.
    by_endpoint: BTreeMap<EndpointIndex, RequestIndex>,
    /// All opened requests, in order.
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
    /// Starts an attempt. The attempt is added to the open request for the endpoint, or to a new request.
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
        self.invariants.record_attempt_start(now, message, endpoint, scopes);
        self.account.attempts.all += 1;
        self.account.counts_at(now).started += 1;
        let attempt = AttemptRef { message, number: self.messages[message.0].attempts.len() };
        let joined = self.batch_with_room(endpoint, batches);
        if !self.can_send(attempt, joined) {
            return self.finish_unsent_attempt(attempt, endpoint);
        }
        let request = joined.unwrap_or_else(|| self.open_request(attempt, endpoint, batches));
        self.count_sent_to_down(attempt, endpoint);
        self.add_to_request(attempt, endpoint, request, timeout);
    }

    /// Returns the endpoint with this id if it belongs to the message's destination. Records a violation
    /// otherwise.
    fn valid_endpoint(&mut self, message: MessageIndex, id: EndpointId) -> Option<EndpointIndex> {
        let destination = self.submissions[self.messages[message.0].submission.0].destination;
        let description = match self.known_endpoint(id) {
            Some(endpoint) if self.destination_of(endpoint) == destination => return Some(endpoint),
            Some(endpoint) => format!("sent to target {} of another destination", endpoint.0),
            None => format!("sent to target {}, which no list has named", id.0),
        };
        self.invariants.record_violation(Rule::Interface, self.schedule.now(), Some(message), description);
        None
    }

    /// Returns the open request for an endpoint if its batch is not full.
    fn batch_with_room(&self, endpoint: EndpointIndex, batches: &OpenBatches) -> Option<RequestIndex> {
        let max_batch = self.kind_of(self.destination_of(endpoint)).max_batch as usize;
        let open = batches.by_endpoint.get(&endpoint).copied();
        open.filter(|request| self.requests[request.0].batch.len() < max_batch)
    }

    /// Returns whether the message is pending, has attempts left, and a request is open or allowed.
    fn can_send(&self, attempt: AttemptRef, joined: Option<RequestIndex>) -> bool {
        let fleet = &self.scenario.fleet;
        let message = &self.messages[attempt.message.0];
        let in_flight = self.forwarders[message.owner.forwarder.0].requests_in_flight;
        let is_request_free = joined.is_some() || in_flight < fleet.max_in_flight as usize;
        !message.finished && attempt.number < fleet.max_attempts as usize && is_request_free
    }

    /// Records an attempt that cannot be sent, and reports this to the forwarder one tick later.
    fn finish_unsent_attempt(&mut self, attempt: AttemptRef, endpoint: EndpointIndex) {
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

    /// Opens an empty request for an attempt.
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

    /// Counts an attempt if it is sent to an endpoint that is down.
    fn count_sent_to_down(&mut self, attempt: AttemptRef, endpoint: EndpointIndex) {
        if !self.endpoints[endpoint.0].is_down() {
            return;
        }
        let is_first = attempt.number == 0;
        let is_known = self.invariants.is_outage_known(endpoint);
        self.outage_traffic.attempts += 1;
        self.outage_traffic.first_attempts_lost += u64::from(is_first);
        self.outage_traffic.first_attempts_lost_to_known_outage += u64::from(is_first && is_known);
    }

    /// Adds an attempt to a request that has not been sent, and schedules the attempt's timeout.
    fn add_to_request(
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
        // An attempt ends at the deadline of its message at the latest.
        let timeout = timeout.min(message.deadline.saturating_sub(now));
        self.schedule.schedule(now + timeout, Event::TimedOut(position));
    }

    /// Cancels an attempt. Records a violation if the attempt was never started.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptRef) {
        let message = attempt.message;
        let Some(record) = self.messages[message.0].attempts.get(attempt.number) else {
            let description = format!("called off dispatch {} that was never made", attempt.number);
            self.invariants.record_violation(
                Rule::Interface,
                self.schedule.now(),
                Some(message),
                description,
            );
            return;
        };
        if let Some(position) = record.position {
            self.stop_waiting(position, AttemptOutcome::Cancelled);
        }
    }

    /// Ends an attempt for which the forwarder still waits. Abandons the request if it was the last one
    /// awaited.
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

    /// Records the outcome of an attempt and reports it to the forwarder.
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
            self.complete_message(message);
        }
        let finished = self.messages[message.0].finished;
        if !self.requests[position.request.0].is_awaited() {
            self.release_request(position.request, outcome);
        }
        let scope = self.retry_after_scope(endpoint);
        let end = AttemptEnd { attempt, outcome, finished, scope };
        self.deliver(sender, ForwarderInput::AttemptFinished(end));
    }

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
            self.account.counts_at(now).rejected_attempts += 1;
        }
    }
}
