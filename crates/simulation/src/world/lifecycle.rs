//! Starts and kills of forwarders.

use rand::RngExt;
use reeddock::{EndpointState, Idempotency};

use super::commands::CommandBuffer;
use super::event::{ForwarderInput, ListChange};
use super::records::AttemptRecord;
use super::state::World;
use crate::ids::{EndpointIndex, ForwarderIndex, MessageIndex, RequestIndex};
use crate::invariants::proves_not_executed;

impl World<'_> {
    /// Starts a forwarder with the complete endpoint list and the pending messages of its write-ahead log.
    pub(super) fn start_forwarder(&mut self, index: ForwarderIndex) {
        let now = self.now();
        let forwarder = &mut self.forwarders[index.0];
        forwarder.incarnation += 1;
        forwarder.requests_in_flight = 0;
        forwarder.run_scheduled = false;
        // Seeds in settings are below 2^63 because numbers in configuration files are signed.
        let seed = self.random.forwarders.random::<u64>() >> 1;
        let settings = self.scenario.settings(seed, forwarder.zone);
        let mut commands = CommandBuffer::default();
        forwarder.policy = Some((self.policy_factory)(now, settings, &mut commands));
        let pending = forwarder.pending_messages();
        self.execute(index, commands);
        let incarnation = self.incarnation_of(index);
        let changes = self.complete_endpoint_list();
        self.deliver(incarnation, ForwarderInput::EndpointList { complete: true, changes });
        for message in pending {
            self.messages[message.0].owner = incarnation;
            self.invariants.record_restoration(now, message);
            self.schedule_answer_check(message);
            self.deliver(incarnation, ForwarderInput::Restored(message));
        }
    }

    /// Returns the state of all endpoints that are currently listed.
    pub(super) fn complete_endpoint_list(&self) -> Vec<ListChange> {
        let states = self.listed_states.iter().enumerate();
        let listed = states.filter(|(_, state)| **state != EndpointState::Removed);
        listed.map(|(index, state)| ListChange { endpoint: EndpointIndex(index), state: *state }).collect()
    }

    /// Kills a forwarder. Messages that are not in its write-ahead log are lost.
    pub(super) fn kill_forwarder(&mut self, index: ForwarderIndex) {
        let write_ahead_log = self.scenario.fleet.write_ahead_log;
        let forwarder = &mut self.forwarders[index.0];
        if forwarder.policy.take().is_none() {
            return;
        }
        forwarder.incarnation += 1;
        forwarder.inbox.clear();
        forwarder.run_scheduled = false;
        let pending = forwarder.pending_messages();
        if !write_ahead_log {
            forwarder.pending.clear();
            forwarder.pending_count = 0;
        }
        self.invariants.record_forwarder_kill(index, write_ahead_log);
        self.abandon_requests_of(index);
        self.forwarders[index.0].requests_in_flight = 0;
        for endpoint in &mut self.endpoints {
            endpoint.close_idle_of(index);
        }
        if !write_ahead_log {
            for message in pending {
                self.lose_message(message);
            }
        }
    }

    /// Abandons all requests that a forwarder has in flight.
    fn abandon_requests_of(&mut self, forwarder: ForwarderIndex) {
        let is_awaited = |request: &RequestIndex| {
            let record = &self.requests[request.0];
            record.sender.forwarder == forwarder && record.is_awaited()
        };
        let requests: Vec<RequestIndex> =
            (0..self.requests.len()).map(RequestIndex).filter(is_awaited).collect();
        for request in requests {
            self.requests[request.0].batch.iter_mut().for_each(|entry| entry.awaited = false);
            self.abandon_request(request);
        }
    }

    /// Ends a message that was lost with its forwarder. The client submits the message again unless that may
    /// repeat its effect.
    fn lose_message(&mut self, message: MessageIndex) {
        let record = &mut self.messages[message.0];
        record.finished = true;
        let possibly_executed =
            |attempt: &AttemptRecord| !attempt.reported || !attempt.outcome.is_some_and(proves_not_executed);
        let is_uncertain = record.attempts.iter().any(possibly_executed);
        let submission = record.submission;
        let class = &self.scenario.classes[self.submissions[submission.0].class];
        if is_uncertain && Idempotency::from(class.idempotency) != Idempotency::Idempotent {
            self.account.ends.lost += 1;
            self.finish_submission(submission);
        } else {
            self.schedule_failover(submission);
        }
    }
}
