//! Client programs: arrivals of messages, choice of the forwarder, and repeated submissions.

use std::time::Duration;

use rand::RngExt;

use super::event::Event;
use super::records::ClientSubmission;
use super::state::World;
use crate::account::NewSubmission;
use crate::distribution::duration_from_seconds;
use crate::fault::Fault;
use crate::ids::{DestinationIndex, ForwarderIndex, SubmissionIndex};

/// Minimum delay between two events that must not happen at the same time.
const MIN_DELAY: Duration = Duration::from_micros(1);
/// Minimum delay from the kill of a forwarder to the next submission of its messages.
const MIN_FAILOVER_DELAY: Duration = Duration::from_millis(1);
/// Maximum factor by which a grouped arrival has more messages than another arrival.
const MAX_GROUP_SIZE: f64 = 1e4;
/// Maximum number of messages in one arrival, before multiplication by the group size.
const MAX_ARRIVAL_MESSAGES: f64 = 1e5;
/// Prevents the logarithm of zero.
const MIN_LOG_ARGUMENT: f64 = 1e-12;
/// Prevents division by a rate or size of zero.
const MIN_DIVISOR: f64 = 1e-9;
/// Multiplier of a Fibonacci hash: 2^64 divided by the golden ratio.
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of low bits of a hashed key that are discarded, as they vary least.
const KEY_HASH_SHIFT: u32 = 33;
/// Number of bits of an ordering key below the destination index.
const DESTINATION_KEY_SHIFT: u32 = 24;

/// How messages of a program are grouped into arrivals.
struct ArrivalShape {
    /// Probability that an arrival is grouped: its messages are more, and all for one destination.
    group_probability: f64,
    /// Mean number of messages in an arrival.
    mean_messages: f64,
}

/// A fault that moves a share of the traffic to some forwarders.
struct TrafficShift {
    forwarders: Vec<ForwarderIndex>,
    /// Share of the submissions without ordering key that is moved, from 0 to 1.
    share: f64,
}

/// Returns the index that a random number `drawn` from 0 to 1 selects by weight; `sums` are cumulative
/// weights.
fn weighted_index(sums: &[f64], drawn: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= drawn * total).min(sums.len().saturating_sub(1))
}

impl World<'_> {
    // # Arrivals

    /// Returns the factor by which active faults multiply a program's traffic.
    fn traffic_factor(&self, program: usize) -> f64 {
        let name = &self.scenario.programs[program].name;
        let factors = self.active_faults.keys().map(|index| match self.fault(*index) {
            Fault::TrafficBurst { rate_factor } => rate_factor.get(),
            Fault::ProgramSurge { program, rate_factor } if program == name => rate_factor.get(),
            _ => 1.0,
        });
        factors.product()
    }

    /// Returns the grouping of a program's messages by the scenario's settings.
    fn arrival_shape(&self, program: usize) -> ArrivalShape {
        let traffic = &self.scenario.traffic;
        let (grouped_share, group_size) = (traffic.grouped_share.get(), traffic.group_size.mean().max(1.0));
        let group_probability =
            grouped_share / (group_size * (1.0 - grouped_share) + grouped_share).max(MIN_DIVISOR);
        let arrival_size = self.scenario.programs[program].arrival_size.mean().max(1.0);
        let mean_messages = arrival_size * (group_probability * group_size + 1.0 - group_probability);
        ArrivalShape { group_probability, mean_messages }
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
        let interval_s = -(1.0 - drawn).max(MIN_LOG_ARGUMENT).ln() / arrivals_per_s.max(MIN_DIVISOR);
        self.now() + duration_from_seconds(interval_s).max(MIN_DELAY)
    }

    /// Submits the messages of an arrival, and schedules the next arrival of the program.
    pub(super) fn handle_arrival(&mut self, program: usize) {
        if self.now() >= self.scenario.duration.0 {
            self.finished_programs += 1;
            return;
        }
        let shape = self.arrival_shape(program);
        let scenario = self.scenario;
        let random = &mut self.random.arrivals;
        let is_grouped = random.random::<f64>() < shape.group_probability;
        let group_size = scenario.traffic.group_size.draw(random).round().clamp(1.0, MAX_GROUP_SIZE) as usize;
        let arrival_size = scenario.programs[program].arrival_size.draw(random);
        let arrival_size = arrival_size.round().clamp(1.0, MAX_ARRIVAL_MESSAGES) as usize;
        let messages = arrival_size * if is_grouped { group_size } else { 1 };
        let mut group_destination = None;
        for _ in 0..messages {
            // The destination is drawn for each message of a group too, so that later draws don't depend on
            // grouping.
            let drawn = DestinationIndex(weighted_index(
                &self.cumulative_destination_weights,
                self.random.arrivals.random(),
            ));
            let destination = *group_destination.get_or_insert(drawn);
            self.submit_new_message(program, destination);
            if !is_grouped {
                group_destination = None;
            }
        }
        let next = self.next_arrival(program);
        self.schedule.schedule(next, Event::Arrival { program });
    }

    /// Draws a message for a destination and submits it.
    fn submit_new_message(&mut self, program: usize, destination: DestinationIndex) {
        let now = self.now();
        let random = &mut self.random.arrivals;
        let class_index = weighted_index(&self.cumulative_class_weights, random.random());
        let class = &self.scenario.classes[class_index];
        let key = random.random::<u64>();
        let work = class.work_ms.draw(random) / 1e3;
        // Ordering keys contain the destination because messages are ordered only within a destination.
        let key_of = |keys: u32| ((destination.0 as u64) << DESTINATION_KEY_SHIFT) | (key % u64::from(keys));
        let submission = SubmissionIndex(self.submissions.len());
        let accounted = NewSubmission { submitted_at: now, class: class_index, program, destination };
        self.account.record_submission(self.scenario, accounted);
        self.submissions.push(ClientSubmission {
            class: class_index,
            program,
            ordering_key: class.ordered_keys.map(key_of),
            destination,
            submitted_at: now,
            work_seconds: work,
            resubmissions_left: self.scenario.programs[program].max_resubmissions,
            times_applied: 0,
            finished: false,
        });
        self.unfinished_submissions += 1;
        self.submit(submission);
    }

    // # Submissions

    /// Submits a message to a running forwarder, which accepts it if it has capacity.
    fn submit(&mut self, submission: SubmissionIndex) {
        let ordering_key = self.submissions[submission.0].ordering_key;
        let capacity = self.scenario.fleet.max_pending_messages as usize;
        let reached = self.choose_forwarder(ordering_key);
        let has_room = |forwarder: &ForwarderIndex| self.forwarders[forwarder.0].pending_count < capacity;
        match reached.filter(has_room) {
            Some(forwarder) => self.accept(submission, forwarder),
            None => {
                self.account.ends.not_accepted += 1;
                self.handle_submission_rejection(submission, None);
            }
        }
    }

    /// Selects a running forwarder for a submission; returns `None` if all are down. An ordering key selects
    /// the same forwarder while that forwarder runs.
    fn choose_forwarder(&mut self, ordering_key: Option<u64>) -> Option<ForwarderIndex> {
        let count = self.forwarders.len();
        let shift_draw: f64 = self.random.clients.random();
        let spread_draw: f64 = self.random.clients.random();
        let first = match (ordering_key, self.traffic_shift()) {
            (Some(key), _) => (key.wrapping_mul(KEY_HASH_MULTIPLIER) >> KEY_HASH_SHIFT) as usize % count,
            (None, Some(shift)) if shift_draw < shift.share && !shift.forwarders.is_empty() => {
                let position = (spread_draw * shift.forwarders.len() as f64) as usize;
                shift.forwarders[position.min(shift.forwarders.len() - 1)].0
            }
            (None, _) => self.forwarder_at(spread_draw),
        };
        let is_running = |index: &usize| self.forwarders[*index].is_running();
        (0..count).map(|step| (first + step) % count).find(is_running).map(ForwarderIndex)
    }

    /// Returns the active traffic shift. The last one in the scenario takes precedence.
    fn traffic_shift(&self) -> Option<TrafficShift> {
        self.active_faults.keys().rev().find_map(|index| match self.fault(*index) {
            Fault::TrafficShift { forwarders, share } => {
                let forwarders = self.layout.select_forwarders(forwarders);
                Some(TrafficShift { forwarders, share: share.get() })
            }
            _ => None,
        })
    }

    /// Returns the index of the forwarder that a random number `drawn` from 0 to 1 selects, weighted by
    /// traffic.
    fn forwarder_at(&self, drawn: f64) -> usize {
        let plans = &self.layout.forwarders;
        let mut left = drawn * plans.iter().map(|plan| plan.traffic_part).sum::<f64>();
        let position = plans.iter().position(|plan| {
            left -= plan.traffic_part;
            left < 0.0
        });
        position.unwrap_or(plans.len() - 1)
    }

    /// Schedules the resubmission of a message that was rejected or not accepted. Ends the submission if it
    /// has no resubmissions left.
    pub(super) fn handle_submission_rejection(
        &mut self,
        submission: SubmissionIndex,
        retry_after: Option<Duration>,
    ) {
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

    /// Schedules another submission after the kill of a forwarder, which is not counted as a resubmission.
    pub(super) fn schedule_failover(&mut self, submission: SubmissionIndex) {
        let program = &self.scenario.programs[self.submissions[submission.0].program];
        let delay = program.resubmission_delay_s.draw_seconds(&mut self.random.clients);
        let at = self.now() + delay.max(MIN_FAILOVER_DELAY);
        self.schedule.schedule(at, Event::Resubmission(submission));
    }

    /// Submits a message again unless its deadline has passed.
    pub(super) fn resubmit(&mut self, submission: SubmissionIndex) {
        let record = &self.submissions[submission.0];
        let deadline = record.submitted_at + self.scenario.classes[record.class].deadline.0;
        if record.finished || self.now() >= deadline {
            return self.finish_submission(submission);
        }
        self.submit(submission);
    }

    /// Ends a submission, after which no event changes its result.
    pub(super) fn finish_submission(&mut self, submission: SubmissionIndex) {
        let record = &mut self.submissions[submission.0];
        if !record.finished {
            record.finished = true;
            self.unfinished_submissions -= 1;
        }
    }
}
