//! The account of a run: credit by class, program, destination and second, latencies, and the work of endpoints.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::counts::{AttemptCounts, Credit, DestinationLoad, LatencyStep, MessageOutcomes, SecondCounts};
use super::quota::QuotaBucket;
use crate::ids::{DestinationIndex, SubmissionIndex};
use crate::scenario::{Scenario, OVER_QUOTA_WEIGHT};

/// Destinations whose seconds are kept: the ones with most traffic.
pub(crate) const WATCHED_DESTINATIONS: usize = 6;

/// Longest latency that the histogram distinguishes, in milliseconds: a day.
const MAX_LATENCY_MS: u64 = 86_400_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;

/// What a run has earned so far, and what it took.
pub(crate) struct Account {
    submissions: Vec<AccountedSubmission>,
    classes: Vec<Credit>,
    programs: Vec<Credit>,
    destinations: Vec<Credit>,
    pub(crate) seconds: Vec<SecondCounts>,
    /// Seconds of each watched destination.
    pub(crate) loads: Vec<Vec<DestinationLoad>>,
    pub(crate) ends: MessageOutcomes,
    pub(crate) attempts: AttemptCounts,
    /// Milliseconds from the first submission to the completion.
    latency: Histogram<u64>,
    /// Seconds of work that endpoints have done.
    pub(crate) work_done: f64,
    /// Seconds of it for requests that a forwarder still waited for.
    pub(crate) work_useful: f64,
    /// Seconds that requests were in flight, summed over all.
    pub(crate) in_flight_seconds: f64,
    pub(crate) new_connections: u64,
    /// Times that the effect of an idempotent message was applied again.
    pub(crate) repeats_applied: u64,
    /// Endpoints that were overloaded while cold.
    pub(crate) overloads: u64,
    /// Credit of messages that were submitted while their destination was down.
    credit_while_down: Credit,
    /// By program.
    quotas: Vec<QuotaBucket>,
}

/// A message that a client wants delivered, as the account needs to know it.
pub(crate) struct NewSubmission {
    /// Time of its first submission.
    pub(crate) submitted_at: Duration,
    /// Index of its class in the scenario.
    pub(crate) class: usize,
    /// Index of its program in the scenario.
    pub(crate) program: usize,
    pub(crate) destination: DestinationIndex,
}

/// The credit of one submission.
struct AccountedSubmission {
    class: usize,
    program: usize,
    destination: DestinationIndex,
    submitted_at: Duration,
    weight: f64,
    completed: bool,
    met_outage: bool,
}

impl Account {
    /// An empty account.
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
            work_done: 0.0,
            work_useful: 0.0,
            in_flight_seconds: 0.0,
            new_connections: 0,
            repeats_applied: 0,
            overloads: 0,
            credit_while_down: Credit::default(),
            quotas: vec![QuotaBucket::default(); scenario.programs.len()],
        }
    }

    /// The counts of the second of a time.
    pub(crate) fn second(&mut self, at: Duration) -> &mut SecondCounts {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }

    /// The load of a destination in the second of a time; absent where the destination is not watched.
    pub(crate) fn load(
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

    /// A client wants a message delivered; submissions are numbered in this order.
    pub(crate) fn submitted(&mut self, scenario: &Scenario, submission: NewSubmission) {
        let NewSubmission { submitted_at, class, program, destination } = submission;
        let mut weight = scenario.classes[class].priority_weight.get();
        if let Some(quota) = scenario.programs[program].quota_per_s {
            if !self.quotas[program].take(submitted_at, quota.get()) {
                weight *= OVER_QUOTA_WEIGHT;
            }
        }
        self.classes[class].ask(weight);
        self.programs[program].ask(weight);
        self.destinations[destination.0].ask(weight);
        self.second(submitted_at).credit.ask(weight);
        self.submissions.push(AccountedSubmission {
            class,
            program,
            destination,
            submitted_at,
            weight,
            completed: false,
            met_outage: false,
        });
    }

    /// A message was submitted while its destination was down.
    pub(crate) fn met_outage(&mut self, submission: SubmissionIndex) {
        let accounted = self.submissions.get_mut(submission.0).filter(|accounted| !accounted.met_outage);
        let Some(accounted) = accounted else { return };
        accounted.met_outage = true;
        self.credit_while_down.ask(accounted.weight);
    }

    /// Credit of the messages that were submitted while their destination was down.
    pub(crate) fn credit_while_down(&self) -> Credit {
        self.credit_while_down
    }

    /// A message completed; only the first completion of a submission counts.
    pub(crate) fn completed(&mut self, scenario: &Scenario, now: Duration, submission: SubmissionIndex) {
        let accounted = self.submissions.get_mut(submission.0).filter(|accounted| !accounted.completed);
        let Some(accounted) = accounted else { return };
        accounted.completed = true;
        let latency = now.saturating_sub(accounted.submitted_at);
        let class = &scenario.classes[accounted.class];
        let earned = accounted.weight * class.earned_part(latency);
        self.classes[accounted.class].earn(earned);
        self.programs[accounted.program].earn(earned);
        self.destinations[accounted.destination.0].earn(earned);
        if accounted.met_outage {
            self.credit_while_down.earn(earned);
        }
        let submitted_at = accounted.submitted_at;
        self.second(submitted_at).credit.earn(earned);
        self.second(now).completed += 1;
        self.latency.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
        if latency <= class.latency_objective.0 {
            self.ends.completed_in_time += 1;
        } else {
            self.ends.completed_late += 1;
        }
    }

    /// Number of submissions.
    pub(crate) fn submission_count(&self) -> usize {
        self.submissions.len()
    }

    /// Credit of a class, by its index in the scenario.
    pub(crate) fn class(&self, index: usize) -> Credit {
        self.classes[index]
    }

    /// Credit of a program, by its index in the scenario.
    pub(crate) fn program(&self, index: usize) -> Credit {
        self.programs[index]
    }

    /// Credit of a destination, by its rank.
    pub(crate) fn destination(&self, index: usize) -> Credit {
        self.destinations[index]
    }

    /// Credit of all messages.
    pub(crate) fn total(&self) -> Credit {
        let mut total = Credit::default();
        for credit in &self.classes {
            total.add(*credit);
        }
        total
    }

    /// Least share of credit in any window of this many seconds.
    pub(crate) fn worst_share_over(&self, seconds: usize) -> f64 {
        let last_asked = self.seconds.iter().rposition(|second| second.credit.asked > 0.0);
        let asked = last_asked.map_or(0, |index| index + 1);
        let share = |window: &[SecondCounts]| {
            let mut sum = Credit::default();
            for second in window {
                sum.add(second.credit);
            }
            sum.share()
        };
        let windows = self.seconds[..asked].windows(seconds.clamp(1, asked.max(1)));
        windows.map(share).fold(1.0, f64::min)
    }

    /// Latencies in milliseconds, from the first submission to the completion.
    pub(crate) fn latency(&self) -> &Histogram<u64> {
        &self.latency
    }

    /// The latencies as a histogram, without its empty steps.
    pub(crate) fn latency_steps(&self) -> Vec<LatencyStep> {
        let recorded = self.latency.iter_recorded();
        recorded
            .map(|value| LatencyStep { up_to_ms: value.value_iterated_to(), count: value.count_at_value() })
            .collect()
    }
}

/// An empty histogram of latencies in milliseconds.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS).unwrap_or_else(|_| {
        Histogram::new(LATENCY_DIGITS).expect("two digits are within what the histogram keeps")
    })
}
