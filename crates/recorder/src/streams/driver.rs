//! Runs the steps of a stream. Each step advances the clock, passes random events to the delivery policy and
//! runs the policy's due work.

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
use super::setup::{draw_millis, round_up, DrawnStream, StreamSetup};
use super::transferred_list::{ListEnd, ListScope, ListTransfer};
use crate::recorded_policy::{RecordedPolicy, Submission};
use crate::recording::RecordingWriter;

/// Maximum time by which a timer fires early, because a host's timers round down.
const MAX_TIMER_EARLINESS: Duration = Duration::from_micros(600);
/// Clock jump of a machine that was suspended and has missed its timers.
const CLOCK_JUMP: Duration = Duration::from_secs(3_600);
/// Maximum time between the cancellation of an attempt and its outcome.
const MAX_CANCELLATION_DELAY_MS: u64 = 5;

/// An attempt without an outcome.
struct AttemptInFlight {
    id: MessageId,
    number: AttemptNumber,
    endpoint: EndpointId,
    request: RequestId,
    /// Time at which the attempt finishes.
    finishes_at: Duration,
    /// Outcome that the driver then reports.
    outcome: AttemptOutcome,
}

/// Runs one stream, and simulates the host of the policy, clients, destinations and discovery.
pub struct StreamDriver {
    pub(super) random: Pcg32,
    pub(super) setup: StreamSetup,
    pub(super) now: Duration,
    pub(super) policy: RecordedPolicy,
    pub(super) model: RuleModel,
    commands: CommandLog,
    pub(super) endpoints: EndpointSet,
    /// Endpoint list that is being passed in pieces, if any.
    pub(super) transfer: Option<ListTransfer>,
    /// Time at which discovery passes the complete list after a watch command; `None` if no command is
    /// waiting.
    pub(super) list_due_at: Option<Duration>,
    /// Messages without a final answer, with the number of attempts made for each.
    pending: BTreeMap<MessageId, u32>,
    /// Attempts in the order in which they were started.
    in_flight: Vec<AttemptInFlight>,
    /// Times at which the policy's timers fire.
    timers: BTreeSet<Duration>,
    /// Number of messages submitted so far.
    pub(super) submitted: u64,
}

impl StreamDriver {
    /// Draws the stream of a seed, and creates the policy, which `writer` records.
    pub fn new(seed: u64, writer: RecordingWriter) -> StreamDriver {
        let mut random = Pcg32::seed_from_u64(seed);
        let DrawnStream { setup, settings } = DrawnStream::draw(&mut random);
        let endpoints = EndpointSet::draw(&setup, &mut random);
        let mut commands = CommandLog::default();
        let now = if random.random_bool(0.3) { Duration::ZERO } else { draw_millis(&mut random, 1, 100_000) };
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
            list_due_at: None,
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: BTreeSet::new(),
            submitted: 0,
        };
        driver.execute_commands();
        driver
    }

    /// Runs the stream for at most `max_steps` steps, and returns the rules that the policy broke.
    pub fn run(mut self, max_steps: usize) -> Vec<Violation> {
        let steps = self.setup.size.steps;
        // Some streams submit messages before the first endpoint list.
        let first_list_at = if self.one_in(4) { self.draw_below(12) } else { 0 };
        let shutdown_at = self.one_in(6).then_some(steps * 3 / 4);
        for step in 0..steps.min(max_steps) {
            if step == first_list_at {
                self.begin_list(ListScope::Complete, ListEnd::Finished);
            }
            if step == 1 && self.one_in(2) {
                self.restore_messages();
            }
            if shutdown_at == Some(step) {
                self.begin_shutdown();
            }
            self.run_step();
        }
        self.model.violations
    }

    /// Tells policy and model the time at which the host stops.
    fn begin_shutdown(&mut self) {
        let deadline = self.now + draw_millis(&mut self.random, 0, 20_000);
        self.policy.begin_shutdown(deadline);
        self.model.begin_shutdown(deadline);
    }

    // Random draws

    /// Returns true with a probability of one in `cases`.
    pub(super) fn one_in(&mut self, cases: u32) -> bool {
        self.random.random_ratio(1, cases)
    }

    /// Draws a number from 0 to `end`, excluding `end` unless it is 0.
    pub(super) fn draw_below(&mut self, end: usize) -> usize {
        self.random.random_range(0..end.max(1))
    }

    // Steps

    fn run_step(&mut self) {
        self.advance_clock();
        self.fire_timers();
        self.finish_due_attempts();
        self.report_retry_after();
        self.continue_endpoint_list();
        self.submit_messages();
        self.withdraw_message();
        if self.one_in(8) {
            self.endpoints.change_behaviors(&mut self.random);
        }
        self.report_health_or_gossip();
        self.policy.run_due_work(self.now, &mut self.commands);
        self.execute_commands();
        self.model.due_work_finished(&self.timers);
    }

    /// Advances the clock to the end of the step, or to the first timer if that fires earlier.
    fn advance_clock(&mut self) {
        let drawn = match self.random.random_range(0..1_000_u32) {
            0..=149 => Duration::ZERO,
            150..=919 => self.setup.max_step_interval.mul_f64(self.random.random_range(0.0..1.0)),
            920..=996 => draw_millis(&mut self.random, 1_000, 8_000),
            _ => CLOCK_JUMP,
        };
        let end = self.now + round_up(drawn, self.setup.time_granularity);
        // A clock jump passes over timers; otherwise the step ends at the first timer.
        let first_timer = self.timers.first().copied().filter(|_| drawn < CLOCK_JUMP);
        let earliness = if self.one_in(4) { MAX_TIMER_EARLINESS } else { Duration::ZERO };
        let wake_up_at = first_timer.map(|at| at.saturating_sub(earliness).max(self.now));
        self.now = wake_up_at.map_or(end, |at| at.min(end));
        self.model.set_time(self.now);
    }

    /// Fires the timers that are due within [`MAX_TIMER_EARLINESS`].
    fn fire_timers(&mut self) {
        while let Some(at) = self.timers.first().copied().filter(|at| *at <= self.now + MAX_TIMER_EARLINESS) {
            self.timers.remove(&at);
            self.policy.timer_fired(self.now);
        }
    }

    // Outcomes

    /// Finishes the attempts that are due, in the order of their times.
    fn finish_due_attempts(&mut self) {
        let (mut due, in_flight): (Vec<AttemptInFlight>, Vec<AttemptInFlight>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|attempt| attempt.finishes_at <= self.now);
        self.in_flight = in_flight;
        due.sort_by_key(|attempt| attempt.finishes_at);
        for attempt in due {
            self.finish_attempt(attempt);
        }
    }

    /// Reports the outcome of an attempt to policy and model, with the calls that a host adds to some
    /// outcomes.
    fn finish_attempt(&mut self, attempt: AttemptInFlight) {
        let has_response = matches!(
            attempt.outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        if has_response && (self.setup.responses_carry_load_reports || self.one_in(20)) {
            self.report_load(attempt.endpoint);
        }
        let message_finished =
            attempt.outcome == AttemptOutcome::Completed || !self.pending.contains_key(&attempt.id);
        if message_finished {
            self.pending.remove(&attempt.id);
        }
        if self.one_in(10) {
            self.policy.record_attempt_endpoint(&attempt.id, attempt.number);
        }
        let AttemptInFlight { id, number, outcome, .. } = &attempt;
        let report = FinishedAttempt { message: id, number: *number, outcome: *outcome, message_finished };
        self.model.attempt_finished(&report);
        self.policy.attempt_finished(self.now, &report, &mut self.commands);
        self.execute_commands();
        if self.one_in(200) {
            // A race in the host can report an outcome twice.
            let duplicate = FinishedAttempt { message_finished: true, ..report };
            self.policy.attempt_finished(self.now, &duplicate, &mut self.commands);
            self.execute_commands();
        }
    }

    /// Draws a random load report of an endpoint, and passes the report to the policy.
    fn report_load(&mut self, endpoint: EndpointId) {
        let remaining_share = self.random.random_range(0.0..1.1);
        let limit_per_second = if self.one_in(5) { 0.0 } else { self.random.random_range(0.5..80.0) };
        if let Some(report) = LoadReport::new(Some(remaining_share), Some(limit_per_second)) {
            self.policy.load_reported(endpoint, report);
        }
    }

    /// Reports, in some steps, a Retry-After of a response that rejected no message.
    fn report_retry_after(&mut self) {
        if !self.one_in(25) {
            return;
        }
        let Some(endpoint) = self.endpoints.draw_endpoint(&mut self.random) else { return };
        let retry_after = draw_retry_after(&mut self.random, self.setup.time_granularity);
        self.model.retry_after_received(endpoint, retry_after);
        self.policy.retry_after_received(self.now, endpoint, retry_after);
        self.policy.record_endpoints_sharing_circuit(endpoint);
    }

    // Messages

    /// Submits no messages, up to the usual maximum, or a burst.
    fn submit_messages(&mut self) {
        let usual_max = self.setup.size.max_messages_per_step as usize;
        let count = match self.draw_below(100) {
            0..=39 => 0,
            40..=94 => self.draw_below(usual_max + 1),
            _ => self.draw_below(usual_max * 12),
        };
        // All messages of a burst have the same destination.
        let burst_destination = self.draw_destination();
        for _ in 0..count {
            let destination = if count > usual_max { burst_destination } else { self.draw_destination() };
            let message = self.draw_message(destination);
            self.submit(&message);
        }
    }

    fn submit(&mut self, message: &Submission) {
        if self.one_in(20) {
            self.policy.record_knows_destination(message.destination);
        }
        self.pending.insert(message.id.clone(), 0);
        self.model.submit(message);
        self.policy.submit(self.now, message, &mut self.commands);
        self.execute_commands();
    }

    /// Submits messages, and restores attempts that they had before a restart.
    fn restore_messages(&mut self) {
        let count = self.draw_below(12);
        for _ in 0..count {
            let destination = self.draw_destination();
            let message = self.draw_message(destination);
            self.submit(&message);
            if !self.pending.contains_key(&message.id) {
                continue;
            }
            let previous = self.draw_previous_attempts();
            self.pending.insert(message.id.clone(), previous.len() as u32);
            self.model.restore(&message.id, &previous);
            self.policy.restore(self.now, &message.id, &previous, &mut self.commands);
            self.execute_commands();
        }
    }

    /// Withdraws a pending message in some steps.
    fn withdraw_message(&mut self) {
        if self.pending.is_empty() || !self.one_in(12) {
            return;
        }
        let index = self.draw_below(self.pending.len());
        let Some(id) = self.pending.keys().nth(index).cloned() else { return };
        self.pending.remove(&id);
        self.model.withdraw(&id);
        self.policy.withdraw(&id, &mut self.commands);
        self.execute_commands();
    }

    /// Reports a health check or passes gossip in some steps.
    fn report_health_or_gossip(&mut self) {
        match self.draw_below(60) {
            0 => {
                let healthy = self.one_in(2);
                if let Some(endpoint) = self.endpoints.draw_endpoint(&mut self.random) {
                    self.policy.health_checked(self.now, endpoint, healthy);
                }
            }
            1 => self.policy.gossip_received(self.now, PeerId(1), b"note"),
            _ => {}
        }
    }

    // Commands of the policy

    /// Executes the commands that the policy has given since the last call.
    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands.0) {
            match command {
                HostCommand::StartAttempt { message, endpoint, timeouts } => {
                    self.start_attempt(message, endpoint, timeouts)
                }
                HostCommand::CancelAttempt { message, attempt } => self.cancel_attempt(&message, attempt),
                HostCommand::RejectMessage { message } => {
                    self.model.message_rejected(&message);
                    self.pending.remove(&message);
                }
                HostCommand::FailMessage { message } => {
                    self.model.message_failed(&message);
                    self.pending.remove(&message);
                }
                HostCommand::SetTimer { after } => drop(self.timers.insert(self.now + after)),
                HostCommand::WatchEndpointList => {
                    let due_at = self.now + draw_millis(&mut self.random, 1, 2_000);
                    self.list_due_at = Some(due_at);
                }
            }
        }
    }

    /// Puts an attempt in flight, and plans its outcome.
    fn start_attempt(&mut self, id: MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.model.attempt_started(&id, endpoint, timeouts);
        let Some(attempts) = self.pending.get_mut(&id) else { return };
        let number = AttemptNumber(*attempts);
        *attempts += 1;
        let PlannedOutcome { mut outcome, after } =
            self.endpoints.plan_outcome(endpoint, timeouts.response_within, &self.setup, &mut self.random);
        let mut finishes_at = self.now + after;
        // Attempts of one request usually finish together.
        let same_request = self.in_flight.iter().rposition(|attempt| attempt.request == timeouts.request);
        if let Some(position) = same_request {
            if !self.one_in(6) {
                (finishes_at, outcome) =
                    (self.in_flight[position].finishes_at, self.in_flight[position].outcome);
            }
        }
        let request = timeouts.request;
        self.in_flight.push(AttemptInFlight { id, number, endpoint, request, finishes_at, outcome });
    }

    /// Finishes an attempt shortly after its cancellation; some keep their outcome, as their response is in
    /// transit.
    fn cancel_attempt(&mut self, id: &MessageId, number: AttemptNumber) {
        self.model.attempt_cancelled(id, number);
        let response_in_transit = self.one_in(10);
        let finishes_at = self.now + draw_millis(&mut self.random, 0, MAX_CANCELLATION_DELAY_MS);
        let is_cancelled = |attempt: &&mut AttemptInFlight| attempt.id == *id && attempt.number == number;
        let Some(attempt) = self.in_flight.iter_mut().find(is_cancelled) else { return };
        attempt.finishes_at = finishes_at;
        if !response_in_transit {
            attempt.outcome = AttemptOutcome::Cancelled;
        }
    }
}
