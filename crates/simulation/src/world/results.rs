//! The report and the observations at the end of a run.

use super::state::World;
use crate::account::{Account, Credit, SecondCounts, WATCHED_DESTINATIONS};
use crate::ids::EndpointIndex;
use crate::observed::Observed;
use crate::report::{rounded, GroupCredit, Latency, Report, WatchedDestination, WORST_SPAN_SECONDS};

/// Maximum number of destinations in a report.
const NAMED_DESTINATIONS: usize = 2 * WATCHED_DESTINATIONS;
/// Prevents division by zero work.
const MIN_WORK_SECONDS: f64 = 1e-9;

fn credit_part(name: String, credit: Credit) -> GroupCredit {
    GroupCredit { name, credit_possible: rounded(credit.possible), earned_share: rounded(credit.share()) }
}

fn rounded_second(second: &SecondCounts) -> SecondCounts {
    let credit = Credit { possible: rounded(second.credit.possible), earned: rounded(second.credit.earned) };
    SecondCounts { credit, ..*second }
}

fn latency_quantiles(account: &Account) -> Latency {
    let latency = account.latency();
    Latency {
        p50: latency.value_at_quantile(0.5),
        p90: latency.value_at_quantile(0.9),
        p99: latency.value_at_quantile(0.99),
        max: latency.max(),
    }
}

impl World<'_> {
    /// Returns observations of the true state, which no forwarder can make.
    pub(super) fn observed(&self) -> Observed {
        let mut recovery_loads = Vec::new();
        let mut down = self.outage_traffic;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let destination = endpoint.plan.destination;
            let baseline_per_s = self.layout.destinations[destination.0].baseline_per_s;
            let recoveries = endpoint.recoveries.iter();
            recovery_loads
                .extend(recoveries.map(|r| r.worst_load(EndpointIndex(index), destination, baseline_per_s)));
            let since = endpoint.down_since.unwrap_or(self.scenario.duration.0);
            down.endpoint_seconds += self.scenario.duration.0.saturating_sub(since).as_secs_f64();
        }
        let credit = self.account.credit_during_outage();
        down.credit_possible = rounded(credit.possible);
        down.credit_earned = rounded(credit.earned);
        down.endpoint_seconds = rounded(down.endpoint_seconds);
        Observed { recovery_loads, outage_traffic: down }
    }

    /// Builds the report of the run.
    pub(super) fn report(self) -> Report {
        let (classes, programs) = (self.class_parts(), self.program_parts());
        let (destinations, watched) = (self.worst_destinations(), self.watched_destinations());
        let violations = self.invariants.into_violations();
        let (account, scenario) = (&self.account, self.scenario);
        let submissions = account.submission_count();
        let per_submission = |count: u64| rounded(count as f64 / submissions.max(1) as f64);
        let max_in_flight = scenario.fleet.max_in_flight as f64 * scenario.fleet.forwarders as f64;
        Report {
            scenario: scenario.name.clone(),
            policy: self.policy_name.to_owned(),
            seed: self.seed,
            credit: rounded(account.total().share()),
            credit_worst_span: rounded(account.min_share_over_window(WORST_SPAN_SECONDS)),
            credit_worst_class: classes.iter().map(|class| class.earned_share).fold(1.0, f64::min),
            submissions: submissions as u64,
            messages: self.messages.len() as u64,
            classes,
            programs,
            destinations,
            ends: account.ends,
            attempts: account.attempts,
            latency_ms: latency_quantiles(account),
            attempts_per_submission: per_submission(account.attempts.all),
            rejections_per_submission: per_submission(account.attempts.rejected),
            work_wasted: rounded(
                1.0 - account.useful_work_seconds / account.work_done_seconds.max(MIN_WORK_SECONDS),
            ),
            in_flight_used: rounded(
                account.in_flight_seconds / (max_in_flight * scenario.duration.seconds()),
            ),
            new_connections_per_submission: per_submission(account.new_connections),
            repeats_applied: account.repeats_applied,
            overloads: account.overloads,
            rules_broken: violations.count,
            violations: violations.first,
            seconds: account.seconds.iter().map(rounded_second).collect(),
            watched_destinations: watched,
            latency_buckets: account.latency_buckets(),
            unfinished_submissions: self.unfinished_submissions,
            simulated_s: rounded(self.schedule.now().as_secs_f64()),
            events: self.schedule.scheduled(),
            policy_runs: self.policy_runs,
        }
    }

    fn class_parts(&self) -> Vec<GroupCredit> {
        let classes = self.scenario.classes.iter().enumerate();
        classes.map(|(index, class)| credit_part(class.name.clone(), self.account.class(index))).collect()
    }

    fn program_parts(&self) -> Vec<GroupCredit> {
        let programs = self.scenario.programs.iter().enumerate();
        programs
            .map(|(index, program)| credit_part(program.name.clone(), self.account.program(index)))
            .collect()
    }

    /// Returns the credit of the destinations that lost most of it, largest loss first.
    fn worst_destinations(&self) -> Vec<GroupCredit> {
        let lost = |rank: &usize| {
            let credit = self.account.destination(*rank);
            credit.possible - credit.earned
        };
        let mut ranks: Vec<usize> = (0..self.layout.destinations.len()).collect();
        ranks.sort_by(|a, b| lost(b).total_cmp(&lost(a)).then(a.cmp(b)));
        let named = ranks.into_iter().take(NAMED_DESTINATIONS);
        named
            .map(|rank| {
                credit_part(format!("{rank} ({})", self.kind_name(rank)), self.account.destination(rank))
            })
            .collect()
    }

    fn watched_destinations(&self) -> Vec<WatchedDestination> {
        let loads = self.account.loads.iter().enumerate();
        loads
            .map(|(rank, seconds)| WatchedDestination {
                destination: rank,
                kind: self.kind_name(rank).to_owned(),
                limit: self.layout.destinations[rank].limit.per_s().map(rounded),
                seconds: seconds.clone(),
            })
            .collect()
    }

    fn kind_name(&self, rank: usize) -> &str {
        &self.scenario.kinds[self.layout.destinations[rank].kind].name
    }
}
