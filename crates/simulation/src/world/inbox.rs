//! Inputs to forwarders, and the policy runs that handle them.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, EndpointState, FinishedAttempt, OrderingKey, PeerId, PolicyHost,
    PreviousAttempt,
};

use super::commands::CommandBuffer;
use super::event::{Event, ForwarderInput, ListChange};
use super::external_ids::{destination_id, endpoint_id};
use super::records::{AttemptEnd, AttemptRecord};
use super::state::{FrozenListChanges, World};
use super::true_state::TrueState;
use crate::fault::Fault;
use crate::ids::{EndpointIndex, ForwarderIncarnation, ForwarderIndex, MessageIndex};
use crate::invariants::{proves_not_executed, EndedAttempt};
use crate::policy::{EndpointListUpdate, ListedEndpoint, Policy, Submission};
use crate::scenario::{zone_name, ListWeights};

impl World<'_> {
    /// Adds an input to the inbox of a forwarder and schedules a policy run at the next tick. Inputs for an
    /// earlier incarnation are dropped.
    pub(super) fn deliver(&mut self, to: ForwarderIncarnation, input: ForwarderInput) {
        let now = self.now();
        let tick = self.scenario.fleet.tick.0;
        let forwarder = &mut self.forwarders[to.forwarder.0];
        if forwarder.incarnation != to.number || !forwarder.is_running() {
            return;
        }
        forwarder.inbox.push_back(input);
        if !forwarder.run_scheduled {
            forwarder.run_scheduled = true;
            self.schedule.schedule(next_tick(now, tick), Event::PolicyRun(to));
        }
    }

    // # Endpoint list

    /// Applies changes to the endpoint list. Each forwarder receives them after its own delay, in order.
    pub(super) fn change_endpoint_list(&mut self, changes: &[ListChange]) {
        for change in changes {
            let index = change.endpoint.0;
            if self.listed_states.len() <= index {
                self.listed_states.resize(index + 1, EndpointState::Removed);
            }
            self.listed_states[index] = change.state;
        }
        for index in 0..self.forwarders.len() {
            let delay = self.scenario.endpoint_list.delay_s.draw_seconds(&mut self.random.endpoint_list);
            let at = (self.now() + delay).max(self.forwarders[index].last_list_change_at);
            self.forwarders[index].last_list_change_at = at;
            let (forwarder, changes) = (ForwarderIndex(index), changes.to_vec());
            self.schedule.schedule(at, Event::ListChanged { forwarder, changes });
        }
    }

    /// Delivers endpoint list changes to a forwarder, or postpones them while the list is frozen.
    pub(super) fn deliver_list_changes(&mut self, forwarder: ForwarderIndex, changes: Vec<ListChange>) {
        let freezes_list = |index: &usize| matches!(self.fault(*index), Fault::ListFrozen {});
        if self.active_faults.keys().any(freezes_list) {
            self.frozen_list_changes.push(FrozenListChanges { forwarder, changes });
            return;
        }
        let incarnation = self.incarnation_of(forwarder);
        self.deliver(incarnation, ForwarderInput::EndpointList { complete: false, changes });
    }

    // # Policy runs

    /// Passes a forwarder's inbox to its policy, runs the policy, and executes its commands.
    pub(super) fn run_policy(&mut self, incarnation: ForwarderIncarnation) {
        let now = self.now();
        let index = incarnation.forwarder;
        let forwarder = &mut self.forwarders[index.0];
        if forwarder.incarnation != incarnation.number {
            return;
        }
        forwarder.run_scheduled = false;
        let Some(mut policy) = forwarder.policy.take() else { return };
        let inbox = std::mem::take(&mut forwarder.inbox);
        self.policy_runs += 1;
        let mut commands = CommandBuffer::default();
        for input in inbox {
            self.handle_input(index, input, policy.as_mut(), &mut commands);
        }
        policy.run_due_work(now, &TrueState::new(self, index), &mut commands);
        self.forwarders[index.0].policy = Some(policy);
        self.execute(index, commands);
    }

    /// Passes one input to the policy, and records in the invariant checker what the forwarder learns.
    fn handle_input(
        &mut self,
        forwarder: ForwarderIndex,
        input: ForwarderInput,
        policy: &mut dyn Policy,
        host: &mut dyn PolicyHost,
    ) {
        let now = self.now();
        match input {
            ForwarderInput::EndpointList { complete, changes } => {
                let update = self.read_endpoint_list(forwarder, complete, &changes);
                policy.update_endpoint_list(now, &update, host);
            }
            ForwarderInput::Submitted(message) => policy.submit(now, &self.submission_of(message), host),
            ForwarderInput::Restored(message) => {
                policy.submit(now, &self.submission_of(message), host);
                let previous = self.previous_attempts(message);
                policy.restore(now, &self.messages[message.0].id, &previous, host);
            }
            ForwarderInput::AttemptFinished(end) => {
                self.report_attempt_end(forwarder, end);
                let id = &self.messages[end.attempt.message.0].id;
                let number = AttemptNumber(end.attempt.number as u32);
                let ended = FinishedAttempt {
                    message: id,
                    number,
                    outcome: end.outcome,
                    message_finished: end.finished,
                };
                policy.attempt_finished(now, &ended, host);
            }
            ForwarderInput::Withdrawn(message) => policy.withdraw(&self.messages[message.0].id, host),
            ForwarderInput::TimerFired => policy.timer_fired(now),
            ForwarderInput::Gossip { from, content } => {
                policy.gossip_received(now, PeerId(from.0 as u32), &content);
            }
            ForwarderInput::HealthChecked { endpoint, healthy } => {
                if !healthy && self.endpoints[endpoint.0].is_down() {
                    self.invariants.record_failure(forwarder, endpoint);
                }
                policy.health_checked(now, endpoint_id(endpoint), healthy);
            }
        }
    }

    /// Records endpoint list changes in the invariant checker, and returns the update for the policy.
    fn read_endpoint_list(
        &mut self,
        forwarder: ForwarderIndex,
        complete: bool,
        changes: &[ListChange],
    ) -> EndpointListUpdate {
        let now = self.now();
        if complete {
            // Endpoints that are not in a complete list are removed.
            let named: Vec<EndpointIndex> = changes.iter().map(|change| change.endpoint).collect();
            let all = (0..self.listed_states.len()).map(EndpointIndex);
            for endpoint in all.filter(|endpoint| !named.contains(endpoint)) {
                self.invariants.record_listed_state(now, forwarder, endpoint, EndpointState::Removed);
            }
        }
        for change in changes {
            self.invariants.record_listed_state(now, forwarder, change.endpoint, change.state);
        }
        let endpoints = changes.iter().map(|change| self.listed_endpoint(*change)).collect();
        EndpointListUpdate { complete, endpoints }
    }

    /// Returns the endpoint list entry for the policy.
    fn listed_endpoint(&self, change: ListChange) -> ListedEndpoint {
        let plan = &self.endpoints[change.endpoint.0].plan;
        let lists_rates = self.scenario.endpoint_list.weights == ListWeights::Rates;
        ListedEndpoint {
            endpoint: endpoint_id(change.endpoint),
            destination: destination_id(plan.destination),
            state: change.state,
            weight: plan.listed_rate.filter(|_| lists_rates),
            zone: zone_name(plan.zone),
            kind: self.kind_of(plan.destination).name.clone(),
        }
    }

    /// Returns a message in the form that the policy receives.
    fn submission_of(&self, message: MessageIndex) -> Submission {
        let record = &self.messages[message.0];
        let submission = &self.submissions[record.submission.0];
        Submission {
            id: record.id.clone(),
            class: self.scenario.classes[submission.class].name.clone(),
            tenant: self.scenario.programs[submission.program].name.clone(),
            ordering_key: submission.ordering_key.map(OrderingKey),
            deadline: record.deadline,
            destination: destination_id(submission.destination),
        }
    }

    /// Returns the attempts for a message before a restart, as recorded in the write-ahead log.
    fn previous_attempts(&self, message: MessageIndex) -> Vec<PreviousAttempt> {
        let previous = |attempt: &AttemptRecord| PreviousAttempt {
            endpoint: endpoint_id(attempt.endpoint),
            started_at: attempt.started_at,
            proves_not_executed: attempt.reported && attempt.outcome.is_some_and(proves_not_executed),
        };
        self.messages[message.0].attempts.iter().map(previous).collect()
    }

    /// Records that a forwarder learns of the end of an attempt.
    fn report_attempt_end(&mut self, forwarder: ForwarderIndex, end: AttemptEnd) {
        let AttemptEnd { attempt, outcome, scope, .. } = end;
        let now = self.now();
        let ended = EndedAttempt { message: attempt.message, number: attempt.number, outcome, scope };
        self.invariants.record_attempt_end(now, ended);
        let attempts = &mut self.messages[attempt.message.0].attempts;
        let Some(record) = attempts.get_mut(attempt.number) else { return };
        record.reported = true;
        let endpoint = record.endpoint;
        if shows_failure(outcome) && self.endpoints[endpoint.0].is_down() {
            self.invariants.record_failure(forwarder, endpoint);
        }
    }
}

/// Returns the first tick at or after `now`, or `now` if `tick` is zero.
fn next_tick(now: Duration, tick: Duration) -> Duration {
    if tick.is_zero() {
        return now;
    }
    let ticks = now.as_nanos().div_ceil(tick.as_nanos());
    tick * u32::try_from(ticks).unwrap_or(u32::MAX)
}

/// Returns whether an outcome indicates to the forwarder a failure of the endpoint.
fn shows_failure(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Error
        | AttemptOutcome::Rejected { .. }
        | AttemptOutcome::TimedOut
        | AttemptOutcome::NoConnection
        | AttemptOutcome::ConnectionReset => true,
        AttemptOutcome::Completed
        | AttemptOutcome::Cancelled
        | AttemptOutcome::NotSent
        | AttemptOutcome::Malformed => false,
    }
}
