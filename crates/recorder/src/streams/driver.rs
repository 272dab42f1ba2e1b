//! Plays the steps of a stream: time passes, events come in a drawn order, and the delivery policy runs its due work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, FinishedAttempt, LoadReport, MessageId,
    PeerId, RequestId,
};

use super::command_log::{CommandLog, HostCommand};
use super::endpoint_set::{draw_retry_after, EndpointSet, PlannedOutcome};
use super::rule_model::{RuleModel, Violation};
use super::setup::{millis, rounded_up, DrawnStream, StreamSetup};
use super::transferred_list::{ListEnd, ListScope, ListTransfer};
use crate::recorded_policy::{RecordedPolicy, Submission};
use crate::recording::RecordingWriter;

/// How early a timer may fire, as timers of a host round down.
const TIMER_EARLY: Duration = Duration::from_micros(600);
/// A jump of the clock, after which a machine that stood still has missed its timers.
const CLOCK_JUMP: Duration = Duration::from_secs(3_600);
/// How soon after its cancellation an attempt ends at most, in milliseconds.
const MAX_CANCELLATION_MS: u64 = 5;

/// An attempt that has no outcome yet.
struct AttemptInFlight {
    id: MessageId,
    number: AttemptNumber,
    endpoint: EndpointId,
    request: RequestId,
    /// When it ends.
    due: Duration,
    /// How it ends then.
    outcome: AttemptOutcome,
}

/// Plays one stream: the host of the policy, and the clients, destinations and discovery around it.
pub struct StreamDriver {
    pub(super) random: Pcg32,
    pub(super) setup: StreamSetup,
    pub(super) now: Duration,
    pub(super) policy: RecordedPolicy,
    pub(super) model: RuleModel,
    commands: CommandLog,
    pub(super) endpoints: EndpointSet,
    /// The endpoint list that is being passed in pieces.
    pub(super) transfer: Option<ListTransfer>,
    /// When discovery is expected to answer a poll for the list.
    pub(super) list_due: Option<Duration>,
    /// Messages without a final answer, with the number of attempts made for each.
    pending: BTreeMap<MessageId, u32>,
    /// In the order in which they were sent.
    in_flight: Vec<AttemptInFlight>,
    /// When the policy's timers fire.
    timers: BTreeSet<Duration>,
    /// Messages submitted so far.
    pub(super) submitted: u64,
}

impl StreamDriver {
    /// Draws the stream of a seed, and opens the policy, whose lines go to `writer`.
    pub fn open(seed: u64, writer: RecordingWriter) -> StreamDriver {
        let mut random = Pcg32::seed_from_u64(seed);
        let DrawnStream { setup, settings } = DrawnStream::draw(&mut random);
        let endpoints = EndpointSet::draw(&setup, &mut random);
        let mut commands = CommandLog::default();
        let now = if random.random_bool(0.3) { Duration::ZERO } else { millis(&mut random, 1, 100_000) };
        let policy = RecordedPolicy::new(now, settings, writer, &mut commands);
        let model = RuleModel::new(setup.rules(), now);
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
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: BTreeSet::new(),
            submitted: 0,
        };
        driver.execute_commands();
        driver
    }

    /// Plays the stream, or this many steps of it where it has more; gives the rules that the policy broke.
    pub fn play(mut self, max_steps: usize) -> Vec<Violation> {
        let steps = self.setup.size.steps;
        // The list may come after the first messages.
        let list_at = if self.one_in(4) { self.below(12) } else { 0 };
        let shutdown_at = self.one_in(6).then_some(steps * 3 / 4);
        for step in 0..steps.min(max_steps) {
            if step == list_at {
                self.begin_list(ListScope::Complete, ListEnd::Finished);
            }
            if step == 1 && self.one_in(2) {
                self.restore_some();
            }
            if shutdown_at == Some(step) {
                self.begin_shutdown();
            }
            self.step();
        }
        self.model.violations
    }

    /// The host will stop soon.
    fn begin_shutdown(&mut self) {
        let deadline = self.now + millis(&mut self.random, 0, 20_000);
        self.policy.begin_shutdown(deadline);
        self.model.begin_shutdown(deadline);
    }

    // # Random draws.

    /// True in one of this many cases.
    pub(super) fn one_in(&mut self, cases: u32) -> bool {
        self.random.random_ratio(1, cases)
    }

    /// A number from 0 up to this one, which is not drawn itself unless it is 0.
    pub(super) fn below(&mut self, end: usize) -> usize {
        self.random.random_range(0..end.max(1))
    }

    // # Steps.

    /// One step: time passes, events come, and the policy runs its due work.
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

    /// Moves the clock on: to the end of the step, or to the first timer before that.
    fn pass_time(&mut self) {
        let drawn = match self.random.random_range(0..1_000_u32) {
            0..=149 => Duration::ZERO,
            150..=919 => self.setup.longest_interval.mul_f64(self.random.random_range(0.0..1.0)),
            920..=996 => millis(&mut self.random, 1_000, 8_000),
            _ => CLOCK_JUMP,
        };
        let end = self.now + rounded_up(drawn, self.setup.time_step);
        // A machine that stood still misses its timers; any other wakes up at the first of them.
        let first_timer = self.timers.first().copied().filter(|_| drawn < CLOCK_JUMP);
        let early = if self.one_in(4) { TIMER_EARLY } else { Duration::ZERO };
        let wakes_up_at = first_timer.map(|at| at.saturating_sub(early).max(self.now));
        self.now = wakes_up_at.map_or(end, |at| at.min(end));
        self.model.set_time(self.now);
    }

    /// Fires the timers that are due, some a little early.
    fn fire_timers(&mut self) {
        while let Some(at) = self.timers.first().copied().filter(|at| *at <= self.now + TIMER_EARLY) {
            self.timers.remove(&at);
            self.policy.timer_fired(self.now);
        }
    }

    // # Outcomes.

    /// Ends the attempts that are due, in the order of their times.
    fn finish_due_attempts(&mut self) {
        let (mut due, in_flight): (Vec<AttemptInFlight>, Vec<AttemptInFlight>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|attempt| attempt.due <= self.now);
        self.in_flight = in_flight;
        due.sort_by_key(|attempt| attempt.due);
        for ended in due {
            self.finish_attempt(ended);
        }
    }

    /// Reports the outcome of an attempt, as a host does.
    fn finish_attempt(&mut self, ended: AttemptInFlight) {
        let answered = matches!(
            ended.outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        if answered && (self.setup.responses_carry_load_reports || self.one_in(20)) {
            self.report_load(ended.endpoint);
        }
        let finished = ended.outcome == AttemptOutcome::Completed || !self.pending.contains_key(&ended.id);
        if finished {
            self.pending.remove(&ended.id);
        }
        if self.one_in(10) {
            self.policy.record_attempt_endpoint(&ended.id, ended.number);
        }
        let AttemptInFlight { id, number, outcome, .. } = &ended;
        let report =
            FinishedAttempt { message: id, number: *number, outcome: *outcome, message_finished: finished };
        self.model.attempt_finished(&report);
        self.policy.attempt_finished(self.now, &report, &mut self.commands);
        self.execute_commands();
        if self.one_in(200) {
            // Reported twice, as a host might in a race.
            let again = FinishedAttempt { message_finished: true, ..report };
            self.policy.attempt_finished(self.now, &again, &mut self.commands);
            self.execute_commands();
        }
    }

    /// A response carries a load report.
    fn report_load(&mut self, endpoint: EndpointId) {
        let left = self.random.random_range(0.0..1.1);
        let limit = if self.one_in(5) { 0.0 } else { self.random.random_range(0.5..80.0) };
        if let Some(report) = LoadReport::new(Some(left), Some(limit)) {
            self.policy.load_reported(endpoint, report);
        }
    }

    /// A response that rejected nothing carries a Retry-After all the same.
    fn report_retry_after(&mut self) {
        if !self.one_in(25) {
            return;
        }
        let Some(endpoint) = self.endpoints.any(&mut self.random) else { return };
        let retry_after = draw_retry_after(&mut self.random, self.setup.time_step);
        self.model.retry_after_received(endpoint, retry_after);
        self.policy.retry_after_received(self.now, endpoint, retry_after);
        self.policy.record_endpoints_sharing_circuit(endpoint);
    }

    // # Messages.

    /// Submits no messages, a few, or a burst.
    fn submit_some(&mut self) {
        let burst = self.setup.size.burst as usize;
        let count = match self.below(100) {
            0..=39 => 0,
            40..=94 => self.below(burst + 1),
            _ => self.below(burst * 12),
        };
        // A burst is for one destination.
        let of_burst = self.any_destination();
        for _ in 0..count {
            let destination = if count > burst { of_burst } else { self.any_destination() };
            let message = self.draw_message(destination);
            self.submit(&message);
        }
    }

    /// Submits one message.
    fn submit(&mut self, message: &Submission) {
        if self.one_in(20) {
            self.policy.record_knows_destination(message.destination);
        }
        self.pending.insert(message.id.clone(), 0);
        self.model.submit(message);
        self.policy.submit(self.now, message, &mut self.commands);
        self.execute_commands();
    }

    /// Messages that the write-ahead log holds from before this start.
    fn restore_some(&mut self) {
        let count = self.below(12);
        for _ in 0..count {
            let destination = self.any_destination();
            let message = self.draw_message(destination);
            self.submit(&message);
            if !self.pending.contains_key(&message.id) {
                continue;
            }
            let previous = self.previous_attempts();
            self.pending.insert(message.id.clone(), previous.len() as u32);
            self.model.restore(&message.id, &previous);
            self.policy.restore(self.now, &message.id, &previous, &mut self.commands);
            self.execute_commands();
        }
    }

    /// Withdraws a message in some steps.
    fn withdraw_some(&mut self) {
        if self.pending.is_empty() || !self.one_in(12) {
            return;
        }
        let at = self.below(self.pending.len());
        let Some(id) = self.pending.keys().nth(at).cloned() else { return };
        self.pending.remove(&id);
        self.model.withdraw(&id);
        self.policy.withdraw(&id, &mut self.commands);
        self.execute_commands();
    }

    /// Calls that a host may make at any time.
    fn query_policy(&mut self) {
        match self.below(60) {
            0 => {
                let healthy = self.one_in(2);
                if let Some(endpoint) = self.endpoints.any(&mut self.random) {
                    self.policy.health_checked(self.now, endpoint, healthy);
                }
            }
            1 => self.policy.gossip_received(self.now, PeerId(1), b"note"),
            _ => {}
        }
    }

    // # Commands of the policy.

    /// Executes the commands that the policy has given since the last time.
    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands.0) {
            match command {
                HostCommand::StartAttempt { message, endpoint, timeouts } => {
                    self.start_attempt(message, endpoint, timeouts)
                }
                HostCommand::Cancel { message, attempt } => self.cancel(&message, attempt),
                HostCommand::Reject { message } => {
                    self.model.rejected(&message);
                    self.pending.remove(&message);
                }
                HostCommand::Fail { message } => {
                    self.model.failed(&message);
                    self.pending.remove(&message);
                }
                HostCommand::SetTimer { after } => drop(self.timers.insert(self.now + after)),
                HostCommand::Subscribe => {
                    let due = self.now + millis(&mut self.random, 1, 2_000);
                    self.list_due = Some(due);
                }
            }
        }
    }

    /// Plans how an attempt ends, and reports it then.
    fn start_attempt(&mut self, id: MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.model.attempt_started(&id, endpoint, timeouts);
        let Some(attempts) = self.pending.get_mut(&id) else { return };
        let number = AttemptNumber(*attempts);
        *attempts += 1;
        let PlannedOutcome { mut outcome, after } =
            self.endpoints.plan_outcome(endpoint, timeouts.response_within, &self.setup, &mut self.random);
        let mut due = self.now + after;
        // Attempts of one request mostly end together.
        let companion = self.in_flight.iter().rposition(|attempt| attempt.request == timeouts.request);
        if let Some(position) = companion {
            if !self.one_in(6) {
                (due, outcome) = (self.in_flight[position].due, self.in_flight[position].outcome);
            }
        }
        let request = timeouts.request;
        self.in_flight.push(AttemptInFlight { id, number, endpoint, request, due, outcome });
    }

    /// The attempt ends shortly after, unless its response is already on its way.
    fn cancel(&mut self, id: &MessageId, number: AttemptNumber) {
        self.model.cancelled(id, number);
        let response_on_its_way = self.one_in(10);
        let due = self.now + millis(&mut self.random, 0, MAX_CANCELLATION_MS);
        let is_cancelled = |attempt: &&mut AttemptInFlight| attempt.id == *id && attempt.number == number;
        let Some(attempt) = self.in_flight.iter_mut().find(is_cancelled) else { return };
        attempt.due = due;
        if !response_on_its_way {
            attempt.outcome = AttemptOutcome::Cancelled;
        }
    }
}
