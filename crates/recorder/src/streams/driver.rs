//! Plays the steps of a stream: time goes on, events come in a drawn order, and the delivery policy takes its turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, EndpointUpdate, FinishedAttempt, LoadReport,
    MessageId, PeerId, RequestId,
};

use super::command_log::{CommandLog, HostCommand};
use super::endpoint_set::{wait, EndpointSet, ListEntry};
use super::rule_model::{Model, Violation};
use super::setup::{millis, rounded, StreamSetup};
use crate::recorded_policy::{RecordedPolicy, Submission};
use crate::recording::RecordingWriter;

/// A wake comes late by no more than a host's timer is, and may come this early, as timers round down.
const TIMER_EARLY: Duration = Duration::from_micros(600);
const HOUR: Duration = Duration::from_secs(3_600);
/// Most lines of a list that are given in one step, where it is given in pieces.
const MAX_ENTRIES_PER_STEP: usize = 40;

/// An attempt that has no outcome yet.
struct AttemptInFlight {
    id: MessageId,
    number: AttemptNumber,
    endpoint: EndpointId,
    request: RequestId,
    due: Duration,
    outcome: AttemptOutcome,
}

/// A list that is being given in pieces.
struct ListTransfer {
    lines: VecDeque<(EndpointId, ListEntry)>,
    /// The connection is lost before its end.
    breaks: bool,
}

/// Plays one stream: the host of the policy, and the clients, destinations and discovery around it.
pub struct StreamDriver {
    pub(super) random: Pcg32,
    pub(super) setup: StreamSetup,
    pub(super) now: Duration,
    policy: RecordedPolicy,
    model: Model,
    commands: CommandLog,
    pub(super) endpoints: EndpointSet,
    transfer: Option<ListTransfer>,
    /// When discovery is expected to answer a call for the list.
    list_due: Option<Duration>,
    /// Messages without a final answer, with the attempts made for each.
    open: BTreeMap<MessageId, u32>,
    /// In the order in which they were sent.
    in_flight: Vec<AttemptInFlight>,
    timers: BTreeSet<Duration>,
    pub(super) submitted: u64,
}

impl StreamDriver {
    pub fn open(seed: u64, writer: RecordingWriter) -> StreamDriver {
        let mut random = Pcg32::seed_from_u64(seed);
        let (setup, settings) = StreamSetup::draw(&mut random);
        let endpoints = EndpointSet::draw(&setup, &mut random);
        let mut commands = CommandLog::default();
        let now = if random.random_bool(0.3) { Duration::ZERO } else { millis(&mut random, 1, 100_000) };
        let policy = RecordedPolicy::new(now, settings, writer, &mut commands);
        let model = Model::new(setup.rules(), now);
        let mut driver = StreamDriver {
            random,
            setup,
            now,
            policy,
            model,
            commands,
            endpoints,
            transfer: None,
            list_due: None,
            open: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: BTreeSet::new(),
            submitted: 0,
        };
        driver.execute_commands();
        driver
    }

    pub fn play(mut self, most_steps: usize) -> Vec<Violation> {
        let steps = self.setup.steps;
        // The list may come after the first messages.
        let list_at = if self.one_in(4) { self.below(12) } else { 0 };
        let leaves_at = if self.one_in(6) { steps * 3 / 4 } else { usize::MAX };
        for step in 0..steps.min(most_steps) {
            if step == list_at {
                self.begin_list(true, false);
            }
            if step == 1 && self.one_in(2) {
                self.restore_some();
            }
            if step == leaves_at {
                let by = self.now + millis(&mut self.random, 0, 20_000);
                self.policy.begin_shutdown(by);
                self.model.begin_shutdown(by);
            }
            self.step();
        }
        self.model.violations
    }

    // # Chance.

    pub(super) fn one_in(&mut self, cases: u32) -> bool {
        self.random.random_ratio(1, cases)
    }

    pub(super) fn below(&mut self, end: usize) -> usize {
        self.random.random_range(0..end.max(1))
    }

    // # Steps.

    fn step(&mut self) {
        self.pass_time();
        self.fire_timers();
        self.finish_due_attempts();
        self.report_retry_after();
        self.continue_list();
        self.submit_some();
        self.withdraw_some();
        if self.one_in(8) {
            self.endpoints.change_behaviors(&mut self.random);
        }
        self.query_policy();
        self.policy.run_due_work(self.now, &mut self.commands);
        self.execute_commands();
        self.model.work_done(&self.timers);
    }

    fn pass_time(&mut self) {
        let drawn = match self.random.random_range(0..1_000_u32) {
            0..=149 => Duration::ZERO,
            150..=919 => self.setup.longest_step.mul_f64(self.random.random_range(0.0..1.0)),
            920..=996 => millis(&mut self.random, 1_000, 8_000),
            _ => HOUR,
        };
        let to = self.now + rounded(drawn, self.setup.time_step);
        // A machine that stood still misses its timers; any other wakes at the first of them.
        let first = self.timers.first().copied().filter(|_| drawn < HOUR);
        let early = if self.one_in(4) { TIMER_EARLY } else { Duration::ZERO };
        let wakes = first.map(|at| at.saturating_sub(early).max(self.now));
        self.now = wakes.map_or(to, |at| at.min(to));
        self.model.time(self.now);
    }

    fn fire_timers(&mut self) {
        while let Some(at) = self.timers.first().copied().filter(|at| *at <= self.now + TIMER_EARLY) {
            self.timers.remove(&at);
            self.policy.timer_fired(self.now);
        }
    }

    // # Outcomes.

    fn finish_due_attempts(&mut self) {
        let (mut due, in_flight): (Vec<AttemptInFlight>, Vec<AttemptInFlight>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|o| o.due <= self.now);
        self.in_flight = in_flight;
        due.sort_by_key(|o| o.due);
        for ended in due {
            self.finish_attempt(ended);
        }
    }

    fn finish_attempt(&mut self, ended: AttemptInFlight) {
        let answered = matches!(
            ended.outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        if answered && (self.setup.responses_carry_load_reports || self.one_in(20)) {
            self.report(ended.endpoint);
        }
        let finished = ended.outcome == AttemptOutcome::Completed || !self.open.contains_key(&ended.id);
        if finished {
            self.open.remove(&ended.id);
        }
        if self.one_in(10) {
            self.policy.record_attempt_endpoint(&ended.id, ended.number);
        }
        self.model.attempt_finished(&ended.id, ended.number, ended.outcome, finished);
        let AttemptInFlight { id, number, outcome, .. } = &ended;
        let report =
            FinishedAttempt { message: id, number: *number, outcome: *outcome, message_finished: finished };
        self.policy.attempt_finished(self.now, &report, &mut self.commands);
        self.execute_commands();
        if self.one_in(200) {
            // Reported twice, as a host might in a race.
            let again = FinishedAttempt { message_finished: true, ..report };
            self.policy.attempt_finished(self.now, &again, &mut self.commands);
            self.execute_commands();
        }
    }

    fn report(&mut self, endpoint: EndpointId) {
        let left = self.random.random_range(0.0..1.1);
        let limit = if self.one_in(5) { 0.0 } else { self.random.random_range(0.5..80.0) };
        if let Some(report) = LoadReport::new(Some(left), Some(limit)) {
            self.policy.load_reported(endpoint, report);
        }
    }

    /// An answer that refused nothing asks for a wait all the same.
    fn report_retry_after(&mut self) {
        if !self.one_in(25) {
            return;
        }
        let Some(endpoint) = self.endpoints.any(&mut self.random) else { return };
        let wait = wait(&mut self.random, self.setup.time_step);
        self.model.retry_after_received(endpoint, wait);
        self.policy.retry_after_received(self.now, endpoint, wait);
        self.policy.record_endpoints_sharing_circuit(endpoint);
    }

    // # The list.

    fn continue_list(&mut self) {
        if self.transfer.is_some() {
            self.transfer_some();
            return;
        }
        if self.list_due.take_if(|at| *at <= self.now).is_some() {
            if self.one_in(3) {
                self.policy.discovery_failed(self.now);
            } else {
                self.begin_list(true, false);
            }
            return;
        }
        match self.below(100) {
            0..=4 => self.begin_list(false, false),
            5 => self.begin_list(true, false),
            6 => {
                self.endpoints.drop_most(&mut self.random);
                self.begin_list(true, false);
                // What was lost is made up for, partly, by the next list.
                let added = self.below(self.setup.endpoints as usize + 1);
                for _ in 0..added {
                    self.endpoints.add(&self.setup, &mut self.random);
                }
            }
            7..=8 => {
                let whole = self.one_in(2);
                self.begin_list(whole, true);
            }
            9 => self.policy.discovery_failed(self.now),
            _ => {}
        }
    }

    fn begin_list(&mut self, whole: bool, breaks: bool) {
        if self.transfer.take().is_some() {
            self.break_list();
        }
        let mut lines: VecDeque<(EndpointId, ListEntry)> = if whole {
            self.endpoints.lines.iter().map(|(id, line)| (*id, line.clone())).collect()
        } else {
            let count = 1 + self.below(4);
            let changed: Vec<EndpointId> =
                (0..count).map(|_| self.endpoints.change(&self.setup, &mut self.random)).collect();
            changed.into_iter().map(|id| (id, self.endpoints.lines[&id].clone())).collect()
        };
        if breaks {
            let known = self.below(lines.len());
            lines.truncate(known);
        }
        self.model.begin_endpoint_list(whole);
        self.policy.begin_endpoint_list(whole);
        self.transfer = Some(ListTransfer { lines, breaks });
        if !self.one_in(4) {
            self.transfer_rest();
        }
    }

    /// One piece of the list that is being given, and its end if that was the last one.
    fn transfer_some(&mut self) {
        let count = self.below(MAX_ENTRIES_PER_STEP);
        self.transfer_entries(count);
        if self.transfer.as_ref().is_some_and(|t| t.lines.is_empty()) {
            self.end_list();
        }
    }

    fn transfer_rest(&mut self) {
        self.transfer_entries(usize::MAX);
        self.end_list();
    }

    fn transfer_entries(&mut self, most: usize) {
        let Some(transfer) = &mut self.transfer else { return };
        let count = transfer.lines.len().min(most);
        for (endpoint, line) in transfer.lines.drain(..count) {
            let listing = EndpointUpdate {
                endpoint,
                destination: line.destination,
                state: line.state,
                weight: line.weight,
                zone: line.zone,
                kind: &line.kind,
            };
            self.model.endpoint_updated(&listing);
            self.policy.update_endpoint(listing);
        }
    }

    fn end_list(&mut self) {
        match self.transfer.take() {
            Some(known) if known.breaks => self.break_list(),
            Some(_) => {
                self.model.finish_endpoint_list();
                self.policy.finish_endpoint_list();
            }
            None => {}
        }
    }

    fn break_list(&mut self) {
        self.model.abort_endpoint_list();
        self.policy.abort_endpoint_list();
    }

    // # Messages.

    fn submit_some(&mut self) {
        let burst = self.setup.burst as usize;
        let count = match self.below(100) {
            0..=39 => 0,
            40..=94 => self.below(burst + 1),
            _ => self.below(burst * 12),
        };
        // A burst is for one destination.
        let together = self.any_destination();
        for _ in 0..count {
            let destination = if count > burst { together } else { self.any_destination() };
            let message = self.draw_message(destination);
            self.submit(&message);
        }
    }

    fn submit(&mut self, message: &Submission) {
        if self.one_in(20) {
            self.policy.record_knows_destination(message.destination);
        }
        self.open.insert(message.id.clone(), 0);
        self.model.submit(message);
        self.policy.submit(self.now, message, &mut self.commands);
        self.execute_commands();
    }

    /// What a ledger kept from before this start.
    fn restore_some(&mut self) {
        let count = self.below(12);
        for _ in 0..count {
            let destination = self.any_destination();
            let message = self.draw_message(destination);
            self.submit(&message);
            if !self.open.contains_key(&message.id) {
                continue;
            }
            let previous = self.previous_attempts();
            self.open.insert(message.id.clone(), previous.len() as u32);
            self.model.restore(&message.id, &previous);
            self.policy.restore(self.now, &message.id, &previous, &mut self.commands);
            self.execute_commands();
        }
    }

    fn withdraw_some(&mut self) {
        if self.open.is_empty() || !self.one_in(12) {
            return;
        }
        let at = self.below(self.open.len());
        let Some(id) = self.open.keys().nth(at).cloned() else { return };
        self.open.remove(&id);
        self.model.withdraw(&id);
        self.policy.withdraw(&id, &mut self.commands);
        self.execute_commands();
    }

    /// What a host may tell or ask at any time.
    fn query_policy(&mut self) {
        match self.below(60) {
            0 => {
                let well = self.one_in(2);
                if let Some(endpoint) = self.endpoints.any(&mut self.random) {
                    self.policy.health_checked(self.now, endpoint, well);
                }
            }
            1 => self.policy.gossip_received(self.now, PeerId(1), b"note"),
            _ => {}
        }
    }

    // # What the delivery policy asked for.

    fn execute_commands(&mut self) {
        for asked in std::mem::take(&mut self.commands.0) {
            match asked {
                HostCommand::StartAttempt(id, endpoint, timeouts) => {
                    self.start_attempt(id, endpoint, timeouts)
                }
                HostCommand::Cancel(id, number) => self.cancel(&id, number),
                HostCommand::Reject(id) => {
                    self.model.rejected(&id);
                    self.open.remove(&id);
                }
                HostCommand::Fail(id) => {
                    self.model.failed(&id);
                    self.open.remove(&id);
                }
                HostCommand::SetTimer(after) => drop(self.timers.insert(self.now + after)),
                HostCommand::Subscribe => {
                    let due = self.now + millis(&mut self.random, 1, 2_000);
                    self.list_due = Some(due);
                }
            }
        }
    }

    fn start_attempt(&mut self, id: MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.model.attempt_started(&id, endpoint, timeouts);
        let Some(attempts) = self.open.get_mut(&id) else { return };
        let number = AttemptNumber(*attempts);
        *attempts += 1;
        let (outcome, after) =
            self.endpoints.answer(endpoint, timeouts.response_within, &self.setup, &mut self.random);
        let mut due = self.now + after;
        let mut ends_as = outcome;
        // What travels together mostly ends together.
        let companion = self.in_flight.iter().rfind(|o| o.request == timeouts.request);
        if let Some((companion_due, companion_outcome)) = companion.map(|c| (c.due, c.outcome)) {
            if !self.one_in(6) {
                (due, ends_as) = (companion_due, companion_outcome);
            }
        }
        self.in_flight.push(AttemptInFlight {
            id,
            number,
            endpoint,
            request: timeouts.request,
            due,
            outcome: ends_as,
        });
    }

    /// Ends shortly after, unless its answer is on its way.
    fn cancel(&mut self, id: &MessageId, number: AttemptNumber) {
        self.model.cancelled(id, number);
        let late = self.one_in(10);
        let due = self.now + millis(&mut self.random, 0, 5);
        let Some(in_flight) = self.in_flight.iter_mut().find(|o| o.id == *id && o.number == number) else {
            return;
        };
        in_flight.due = due;
        if !late {
            in_flight.outcome = AttemptOutcome::Cancelled;
        }
    }
}
