//! Client programs: arrivals of messages, and the forwarder that a client reaches.

use std::time::Duration;

use rand::RngExt;

use super::event::Event;
use super::records::ClientSubmission;
use super::state::World;
use crate::account::NewSubmission;
use crate::distribution::duration_from_seconds;
use crate::fault::Fault;
use crate::ids::{DestinationIndex, ForwarderIndex, SubmissionIndex};

/// Least delay between two events that must not happen at the same time.
const MIN_DELAY: Duration = Duration::from_micros(1);
/// Least delay from the kill of a forwarder to the next submission of its messages.
const MIN_FAILOVER_DELAY: Duration = Duration::from_millis(1);
/// Messages in one clump at most.
const MAX_CLUMP: f64 = 1e4;
/// Messages in one arrival at most, clumps aside.
const MAX_ARRIVAL: f64 = 1e5;
/// Guards logarithms and divisions against zero.
const TINY: f64 = 1e-12;
/// Guards divisions by rates and sizes against zero.
const MIN_DIVISOR: f64 = 1e-9;
/// Multiplier that spreads ordering keys over forwarders: 2^64 divided by the golden ratio.
const KEY_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of a spread key that are dropped, as the low ones vary least.
const KEY_SHIFT: u32 = 33;
/// Ordering keys of one destination; those of the next one lie above.
const DESTINATION_KEY_SHIFT: u32 = 24;

/// How messages come together.
struct ArrivalShape {
    /// Probability that an arrival is a clump for one destination.
    clump_probability: f64,
    /// Messages of an arrival, in the mean.
    mean_messages: f64,
}

/// Forwarders that get a share of all traffic by a fault.
struct TrafficShift {
    forwarders: Vec<ForwarderIndex>,
    /// Share of the traffic, from 0 to 1.
    share: f64,
}

/// The index of the part that a draw from 0 to 1 selects, by the running sums of all parts.
fn part_at(sums: &[f64], drawn: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= drawn * total).min(sums.len().saturating_sub(1))
}

impl World<'_> {
    // # Arrivals.

    /// How many times its usual traffic a program sends now.
    fn traffic_factor(&self, program: usize) -> f64 {
        let name = &self.scenario.programs[program].name;
        let factors = self.active_faults.keys().map(|index| match self.fault(*index) {
            Fault::TrafficBurst { factor } => factor.get(),
            Fault::ProgramSurge { program, factor } if program == name => factor.get(),
            _ => 1.0,
        });
        factors.product()
    }

    /// How the messages of a program come together, by the scenario's settings.
    fn arrival_shape(&self, program: usize) -> ArrivalShape {
        let traffic = &self.scenario.traffic;
        let (clumped, clump_size) = (traffic.grouped_share.get(), traffic.group_size.mean().max(1.0));
        let clump_probability = clumped / (clump_size * (1.0 - clumped) + clumped).max(MIN_DIVISOR);
        let arrival_size = self.scenario.programs[program].arrival_size.mean().max(1.0);
        let mean_messages = arrival_size * (clump_probability * clump_size + 1.0 - clump_probability);
        ArrivalShape { clump_probability, mean_messages }
    }

    /// Draws the time of a program's next arrival.
    pub(super) fn next_arrival(&mut self, program: usize) -> Duration {
        let traffic = &self.scenario.traffic;
        let all_parts: f64 = self.scenario.programs.iter().map(|program| program.traffic_weight.get()).sum();
        let part = self.scenario.programs[program].traffic_weight.get() / all_parts;
        let messages_per_s =
            traffic.baseline_per_s.get() * traffic.load.get() * part * self.traffic_factor(program);
        let arrivals_per_s = messages_per_s / self.arrival_shape(program).mean_messages;
        let drawn: f64 = self.random.arrivals.random();
        let gap = -(1.0 - drawn).max(TINY).ln() / arrivals_per_s.max(MIN_DIVISOR);
        self.now() + duration_from_seconds(gap).max(MIN_DELAY)
    }

    /// Messages of a program arrive, and the next arrival is scheduled.
    pub(super) fn messages_arrive(&mut self, program: usize) {
        if self.now() >= self.scenario.duration.0 {
            self.programs_done += 1;
            return;
        }
        let shape = self.arrival_shape(program);
        let scenario = self.scenario;
        let random = &mut self.random.arrivals;
        let is_clump = random.random::<f64>() < shape.clump_probability;
        let clump_size = scenario.traffic.group_size.draw(random).round().clamp(1.0, MAX_CLUMP) as usize;
        let arrival_size = scenario.programs[program].arrival_size.draw(random);
        let arrival_size = arrival_size.round().clamp(1.0, MAX_ARRIVAL) as usize;
        let messages = arrival_size * if is_clump { clump_size } else { 1 };
        let mut clump_destination = None;
        for _ in 0..messages {
            // Drawn in any case, so that clumps do not shift what is drawn later.
            let drawn = DestinationIndex(part_at(&self.destination_sums, self.random.arrivals.random()));
            let destination = *clump_destination.get_or_insert(drawn);
            self.message_arrives(program, destination);
            if !is_clump {
                clump_destination = None;
            }
        }
        let next = self.next_arrival(program);
        self.schedule.schedule(next, Event::Arrival { program });
    }

    /// Draws a message for a destination, and submits it.
    fn message_arrives(&mut self, program: usize, destination: DestinationIndex) {
        let now = self.now();
        let random = &mut self.random.arrivals;
        let class_index = part_at(&self.class_sums, random.random());
        let class = &self.scenario.classes[class_index];
        let key = random.random::<u64>();
        let work = class.work_ms.draw(random) / 1e3;
        // Keys are of one destination: an order across destinations means nothing.
        let key_of = |keys: u32| ((destination.0 as u64) << DESTINATION_KEY_SHIFT) | (key % u64::from(keys));
        let submission = SubmissionIndex(self.submissions.len());
        let accounted = NewSubmission { submitted_at: now, class: class_index, program, destination };
        self.account.submitted(self.scenario, accounted);
        self.submissions.push(ClientSubmission {
            class: class_index,
            program,
            ordering_key: class.ordered_keys.map(key_of),
            destination,
            submitted_at: now,
            work,
            resubmissions_left: self.scenario.programs[program].max_resubmissions,
            applied: 0,
            finished: false,
        });
        self.open_submissions += 1;
        self.submit(submission);
    }

    // # Submissions.

    /// A client submits a message to the forwarder that it reaches.
    fn submit(&mut self, submission: SubmissionIndex) {
        let ordering_key = self.submissions[submission.0].ordering_key;
        let capacity = self.scenario.fleet.max_pending_messages as usize;
        let reached = self.choose_forwarder(ordering_key);
        let has_room = |forwarder: &ForwarderIndex| self.forwarders[forwarder.0].open_messages < capacity;
        match reached.filter(has_room) {
            Some(forwarder) => self.accept(submission, forwarder),
            None => {
                self.account.ends.not_accepted += 1;
                self.submission_rejected(submission, None);
            }
        }
    }

    /// The running forwarder that a client reaches: messages of one key come to one while it runs.
    fn choose_forwarder(&mut self, ordering_key: Option<u64>) -> Option<ForwarderIndex> {
        let count = self.forwarders.len();
        let shift_draw: f64 = self.random.clients.random();
        let spread_draw: f64 = self.random.clients.random();
        let first = match (ordering_key, self.traffic_shift()) {
            (Some(key), _) => (key.wrapping_mul(KEY_SPREAD) >> KEY_SHIFT) as usize % count,
            (None, Some(shift)) if shift_draw < shift.share && !shift.forwarders.is_empty() => {
                let position = (spread_draw * shift.forwarders.len() as f64) as usize;
                shift.forwarders[position.min(shift.forwarders.len() - 1)].0
            }
            (None, _) => self.forwarder_at(spread_draw),
        };
        let is_running = |index: &usize| self.forwarders[*index].is_running();
        (0..count).map(|step| (first + step) % count).find(is_running).map(ForwarderIndex)
    }

    /// The traffic shift in force; the last such fault of the scenario wins.
    fn traffic_shift(&self) -> Option<TrafficShift> {
        self.active_faults.keys().rev().find_map(|index| match self.fault(*index) {
            Fault::TrafficShift { forwarders, share } => {
                let forwarders = self.layout.select_forwarders(forwarders);
                Some(TrafficShift { forwarders, share: share.get() })
            }
            _ => None,
        })
    }

    /// The forwarder that a draw from 0 to 1 selects, by the forwarders' parts of the traffic.
    fn forwarder_at(&self, drawn: f64) -> usize {
        let plans = &self.layout.forwarders;
        let mut left = drawn * plans.iter().map(|plan| plan.traffic_part).sum::<f64>();
        let position = plans.iter().position(|plan| {
            left -= plan.traffic_part;
            left < 0.0
        });
        position.unwrap_or(plans.len() - 1)
    }

    /// A client learns that its message was rejected, or not accepted at all.
    pub(super) fn submission_rejected(&mut self, submission: SubmissionIndex, retry_after: Option<Duration>) {
        let program = &self.scenario.programs[self.submissions[submission.0].program];
        let delay = program.resubmission_delay_s.draw_seconds(&mut self.random.clients);
        let honors = program.retry_after_honored_share.occurs(&mut self.random.clients);
        let retry_after = retry_after.filter(|_| honors).unwrap_or_default();
        let record = &mut self.submissions[submission.0];
        if record.resubmissions_left == 0 || record.finished {
            return self.finish_submission(submission);
        }
        record.resubmissions_left -= 1;
        let at = self.now() + delay.max(retry_after).max(MIN_DELAY);
        self.schedule.schedule(at, Event::Resubmission(submission));
    }

    /// Its forwarder was killed: the client submits the message to another one, which counts as no resubmission.
    pub(super) fn submission_orphaned(&mut self, submission: SubmissionIndex) {
        let program = &self.scenario.programs[self.submissions[submission.0].program];
        let delay = program.resubmission_delay_s.draw_seconds(&mut self.random.clients);
        let at = self.now() + delay.max(MIN_FAILOVER_DELAY);
        self.schedule.schedule(at, Event::Resubmission(submission));
    }

    /// A client submits a message again, unless its deadline has passed.
    pub(super) fn resubmit(&mut self, submission: SubmissionIndex) {
        let record = &self.submissions[submission.0];
        let deadline = record.submitted_at + self.scenario.classes[record.class].deadline.0;
        if record.finished || self.now() >= deadline {
            return self.finish_submission(submission);
        }
        self.submit(submission);
    }

    /// Nothing more happens to a submission.
    pub(super) fn finish_submission(&mut self, submission: SubmissionIndex) {
        let record = &mut self.submissions[submission.0];
        if !record.finished {
            record.finished = true;
            self.open_submissions -= 1;
        }
    }
}
