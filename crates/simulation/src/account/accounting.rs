//! Accounting during a run: credit, latencies, and the work of endpoints.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::counts::{AttemptCounts, Credit, DestinationLoad, LatencyBucket, MessageOutcomes, SecondCounts};
use super::quota::QuotaBucket;
use crate::ids::{DestinationIndex, SubmissionIndex};
use crate::scenario::{Scenario, OVER_QUOTA_WEIGHT};

/// Number of destinations whose load is recorded for each second; they are those with the most traffic.
pub(crate) const WATCHED_DESTINATIONS: usize = 6;

/// Maximum latency in the histogram, in milliseconds: one day. Longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 86_400_000;
/// Number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;

/// The counters of a run.
pub(crate) struct Account {
    submissions: Vec<AccountedSubmission>,
    classes: Vec<Credit>,
    programs: Vec<Credit>,
    destinations: Vec<Credit>,
    pub(crate) seconds: Vec<SecondCounts>,
    /// Loads of the watched destinations, by rank of traffic and by second.
    pub(crate) loads: Vec<Vec<DestinationLoad>>,
    pub(crate) ends: MessageOutcomes,
    pub(crate) attempts: AttemptCounts,
    /// Latencies from the first submission to the completion, in milliseconds.
    latency: Histogram<u64>,
    /// Work done by endpoints, in seconds.
    pub(crate) work_done_seconds: f64,
    /// Work for requests that a forwarder still awaited when they were served, in seconds.
    pub(crate) useful_work_seconds: f64,
    /// Total time of all requests in flight, in seconds.
    pub(crate) in_flight_seconds: f64,
    pub(crate) new_connections: u64,
    /// Number of repeated effects of messages that are idempotent or have an idempotency key.
    pub(crate) repeats_applied: u64,
    /// Number of times that an endpoint was overloaded during its slow start.
    pub(crate) overloads: u64,
    /// Credit of messages that were accepted while their destination was down.
    credit_during_outage: Credit,
    /// Remaining quotas, by program index.
    quotas: Vec<QuotaBucket>,
}

/// The first submission of a message.
pub(crate) struct NewSubmission {
    /// Time since the start of the run.
    pub(crate) submitted_at: Duration,
    /// Index of the message class in the scenario.
    pub(crate) class: usize,
    /// Index of the client program in the scenario.
    pub(crate) program: usize,
    pub(crate) destination: DestinationIndex,
}

struct AccountedSubmission {
    class: usize,
    program: usize,
    destination: DestinationIndex,
    submitted_at: Duration,
    weight: f64,
    completed: bool,
    submitted_during_outage: bool,
}

impl Account {
    /// Creates an account without submissions.
    pub(crate) fn new(scenario: &Scenario, destinations: usize) -> Account {
        Account {
            submissions: Vec::new(),
            classes: vec![Credit::default(); scenario.classes.len()],
            programs: vec![Credit::default(); scenario.programs.len()],
            destinations: vec![Credit::default(); destinations],
            seconds: Vec::new(),
            loads: vec![Vec::new(); destinations.min(WATCHED_DESTINATIONS)],
            ends: MessageOutcomes::default(),
            attempts: AttemptCounts::default(),
            latency: latency_histogram(),
            work_done_seconds: 0.0,
            useful_work_seconds: 0.0,
            in_flight_seconds: 0.0,
            new_connections: 0,
            repeats_applied: 0,
            overloads: 0,
            credit_during_outage: Credit::default(),
            quotas: vec![QuotaBucket::default(); scenario.programs.len()],
        }
    }

    /// Returns the counters of the second that contains `at`.
    pub(crate) fn counts_at(&mut self, at: Duration) -> &mut SecondCounts {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }

    /// Returns the load of a destination in the second that contains `at`, or `None` if the destination is
    /// not watched.
    pub(crate) fn load_at(
        &mut self,
        destination: DestinationIndex,
        at: Duration,
    ) -> Option<&mut DestinationLoad> {
        let loads = self.loads.get_mut(destination.0)?;
        let index = at.as_secs() as usize;
        if loads.len() <= index {
            loads.resize(index + 1, DestinationLoad::default());
        }
        loads.get_mut(index)
    }

    /// Records a new submission. Submission indices follow the order of these calls.
    pub(crate) fn record_submission(&mut self, scenario: &Scenario, submission: NewSubmission) {
        let NewSubmission { submitted_at, class, program, destination } = submission;
        let mut weight = scenario.classes[class].priority_weight.get();
        if let Some(quota) = scenario.programs[program].quota_per_s {
            if !self.quotas[program].take(submitted_at, quota.get()) {
                weight *= OVER_QUOTA_WEIGHT;
            }
        }
        self.classes[class].add_possible(weight);
        self.programs[program].add_possible(weight);
        self.destinations[destination.0].add_possible(weight);
        self.counts_at(submitted_at).credit.add_possible(weight);
        self.submissions.push(AccountedSubmission {
            class,
            program,
            destination,
            submitted_at,
            weight,
            completed: false,
            submitted_during_outage: false,
        });
    }

    /// Records that a message was accepted while its destination was down.
    pub(crate) fn record_submission_during_outage(&mut self, submission: SubmissionIndex) {
        let accounted =
            self.submissions.get_mut(submission.0).filter(|accounted| !accounted.submitted_during_outage);
        let Some(accounted) = accounted else { return };
        accounted.submitted_during_outage = true;
        self.credit_during_outage.add_possible(accounted.weight);
    }

    /// Returns the credit of messages that were accepted while their destination was down.
    pub(crate) fn credit_during_outage(&self) -> Credit {
        self.credit_during_outage
    }

    /// Records a completed message. Only the first completion of a submission counts.
    pub(crate) fn record_completion(
        &mut self,
        scenario: &Scenario,
        now: Duration,
        submission: SubmissionIndex,
    ) {
        let accounted = self.submissions.get_mut(submission.0).filter(|accounted| !accounted.completed);
        let Some(accounted) = accounted else { return };
        accounted.completed = true;
        let latency = now.saturating_sub(accounted.submitted_at);
        let class = &scenario.classes[accounted.class];
        let earned = accounted.weight * class.earned_part(latency);
        self.classes[accounted.class].add_earned(earned);
        self.programs[accounted.program].add_earned(earned);
        self.destinations[accounted.destination.0].add_earned(earned);
        if accounted.submitted_during_outage {
            self.credit_during_outage.add_earned(earned);
        }
        let submitted_at = accounted.submitted_at;
        self.counts_at(submitted_at).credit.add_earned(earned);
        self.counts_at(now).completed += 1;
        self.latency.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
        if latency <= class.latency_objective.0 {
            self.ends.completed_in_time += 1;
        } else {
            self.ends.completed_late += 1;
        }
    }

    pub(crate) fn submission_count(&self) -> usize {
        self.submissions.len()
    }

    /// Returns the credit of the message class with this index in the scenario.
    pub(crate) fn class(&self, index: usize) -> Credit {
        self.classes[index]
    }

    /// Returns the credit of the client program with this index in the scenario.
    pub(crate) fn program(&self, index: usize) -> Credit {
        self.programs[index]
    }

    /// Returns the credit of the destination with this rank.
    pub(crate) fn destination(&self, index: usize) -> Credit {
        self.destinations[index]
    }

    /// Returns the credit of all messages.
    pub(crate) fn total(&self) -> Credit {
        let mut total = Credit::default();
        for credit in &self.classes {
            total.add(*credit);
        }
        total
    }

    /// Returns the minimum share of the possible credit that was earned in any window of `seconds` seconds.
    pub(crate) fn min_share_over_window(&self, seconds: usize) -> f64 {
        let last_submission = self.seconds.iter().rposition(|second| second.credit.possible > 0.0);
        let submission_seconds = last_submission.map_or(0, |index| index + 1);
        let share = |window: &[SecondCounts]| {
            let mut sum = Credit::default();
            for second in window {
                sum.add(second.credit);
            }
            sum.share()
        };
        let windows = self.seconds[..submission_seconds].windows(seconds.clamp(1, submission_seconds.max(1)));
        windows.map(share).fold(1.0, f64::min)
    }

    /// Returns the latencies from the first submission to the completion, in milliseconds.
    pub(crate) fn latency(&self) -> &Histogram<u64> {
        &self.latency
    }

    /// Returns the non-empty buckets of the latency histogram.
    pub(crate) fn latency_buckets(&self) -> Vec<LatencyBucket> {
        let recorded = self.latency.iter_recorded();
        recorded
            .map(|value| LatencyBucket { up_to_ms: value.value_iterated_to(), count: value.count_at_value() })
            .collect()
    }
}

/// Creates an empty histogram of latencies in milliseconds.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS).unwrap_or_else(|_| {
        Histogram::new(LATENCY_DIGITS).expect("two significant digits are a valid histogram precision")
    })
}
