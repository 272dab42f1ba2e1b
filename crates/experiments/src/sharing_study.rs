//! A study of the cost of not sharing circuit state between forwarders. Fleets of several sizes, in which
//! each forwarder rarely sends to any one destination, run under the delivery policy and under circuit
//! breakers that use the results of the whole fleet.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfy_table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_simulation::distribution::Span;
use reeddock_simulation::fault::{EndpointSelector, Fault};
use reeddock_simulation::observed::OutageTraffic;
use reeddock_simulation::policies::sharing::{open_sharing_policy, CircuitExchange};
use reeddock_simulation::scenario::{ScheduledFault, ValueOverride};
use reeddock_simulation::{run_observed, BuiltInPolicy, Scenario};
use serde::Serialize;

use crate::error::{ExperimentError, FileAction};
use crate::output::OutputFormat;
use crate::results::Statistics;
use crate::runner::ExperimentRunner;
use crate::text_report::plain_table;

/// Parameters of the study. Errors about their values name the options of the command line.
#[derive(Clone, Debug)]
pub struct SharingStudyPlan {
    /// Numbers of forwarders, one for each fleet.
    pub fleet_sizes: Vec<u32>,
    /// Mean time between two messages of a forwarder to the same destination, in seconds.
    pub message_interval_s: f64,
    /// Mean share of the destinations that is down at any time.
    pub down_share: f64,
    /// Duration of each outage, in seconds.
    pub outage_s: f64,
    /// Maximum product of the number of forwarders and the number of simulated destinations.
    pub max_forwarder_destination_pairs: u64,
    /// Number of destinations in production, to which rates are scaled up.
    pub production_destinations: u64,
    /// Number of runs of each fleet and policy; their seeds are 1 to this number.
    pub seeds: u64,
}

/// Maximum number of simulated destinations; limits the size of runs of small fleets.
const MAX_DESTINATIONS: u64 = 1_000;
/// Minimum number of simulated destinations, so that random variation does not dominate the measurements.
const MIN_DESTINATIONS: u64 = 30;
/// Separates the random stream of the outages from the streams of the simulation with the same seed.
const OUTAGE_STREAM: u64 = 0x6f75_7461;
/// Minimum divisor for a share of the requested credit; prevents division by zero.
const MIN_CREDIT: f64 = 1e-9;

/// A policy of the study, with its source of knowledge about destinations.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ComparedPolicy {
    /// The delivery policy, which does not share circuit state between forwarders.
    DeliveryPolicy,
    /// A simple circuit breaker that uses the results of one forwarder.
    LocalCircuitBreaker,
    /// A simple circuit breaker that uses the results of all forwarders, after this delay.
    SharedCircuitBreaker(Duration),
    /// The upper bound, which knows which destinations are down.
    UpperBound,
}

const COMPARED_POLICIES: [ComparedPolicy; 5] = [
    ComparedPolicy::DeliveryPolicy,
    ComparedPolicy::LocalCircuitBreaker,
    ComparedPolicy::SharedCircuitBreaker(Duration::from_secs(1)),
    ComparedPolicy::SharedCircuitBreaker(Duration::ZERO),
    ComparedPolicy::UpperBound,
];

impl ComparedPolicy {
    fn name(self) -> String {
        match self {
            ComparedPolicy::DeliveryPolicy => "module, shares nothing".to_owned(),
            ComparedPolicy::LocalCircuitBreaker => "circuit, shares nothing".to_owned(),
            ComparedPolicy::SharedCircuitBreaker(delay) if delay.is_zero() => {
                "circuit, shared at once".to_owned()
            }
            ComparedPolicy::SharedCircuitBreaker(delay) => {
                format!("circuit, shared after {} s", delay.as_secs_f64())
            }
            ComparedPolicy::UpperBound => "sees the true state".to_owned(),
        }
    }
}

/// One run of the simulation.
struct Run<'a> {
    scenario: &'a Scenario,
    seed: u64,
    policy: ComparedPolicy,
}

/// Results of a run.
struct RunResult {
    credit: f64,
    violations: usize,
    messages: u64,
    /// Traffic to destinations that were down.
    outage_traffic: OutageTraffic,
}

impl Run<'_> {
    fn execute(&self) -> RunResult {
        let observed_run = match self.policy {
            ComparedPolicy::DeliveryPolicy => {
                run_observed(self.scenario, self.seed, "module", &|now, settings, host| {
                    BuiltInPolicy::DeliveryPolicy.create(now, settings, host)
                })
            }
            ComparedPolicy::UpperBound => {
                run_observed(self.scenario, self.seed, "ideal", &|now, settings, host| {
                    BuiltInPolicy::UpperBound.create(now, settings, host)
                })
            }
            ComparedPolicy::LocalCircuitBreaker => {
                run_observed(self.scenario, self.seed, "alone", &|_, settings, _| {
                    let exchange = CircuitExchange::new(Duration::ZERO);
                    open_sharing_policy(&Arc::new(Mutex::new(exchange)), settings)
                })
            }
            ComparedPolicy::SharedCircuitBreaker(delay) => {
                let exchange = Arc::new(Mutex::new(CircuitExchange::new(delay)));
                run_observed(self.scenario, self.seed, "shared", &|_, settings, _| {
                    open_sharing_policy(&exchange, settings)
                })
            }
        };
        RunResult {
            credit: observed_run.report.credit,
            violations: observed_run.report.rules_broken,
            messages: observed_run.report.submissions,
            outage_traffic: observed_run.observed.outage_traffic,
        }
    }
}

/// Results of one fleet size and policy over all runs. Rates are scaled up to the number of destinations in
/// production.
#[derive(Clone, Debug, Serialize)]
pub struct SharingRow {
    /// Number of forwarders in the fleet.
    pub forwarders: u32,
    /// Number of simulated destinations.
    pub destinations: u64,
    /// Name of the policy, with the state that its forwarders share.
    pub policy: String,
    /// Number of runs, each with a different seed.
    pub seeds: u64,
    /// Attempts per second of the fleet to destinations that were down.
    #[serde(rename = "trials_per_s")]
    pub attempts_per_s: Statistics,
    /// New connections per second that the fleet requested to destinations that were down.
    pub connections_per_s: Statistics,
    /// Attempts to destinations that were down, per message to such a destination.
    #[serde(rename = "trials_per_envelope")]
    pub attempts_per_message: Statistics,
    /// Share of the messages whose first attempt went to a destination that was down.
    #[serde(rename = "first_lost")]
    pub first_attempt_lost_share: Statistics,
    /// Share of the messages whose first attempt went to a destination that some forwarder knew to be down.
    #[serde(rename = "first_lost_to_known")]
    pub first_attempt_lost_to_known_outage_share: Statistics,
    /// Share of the requested credit that was earned.
    pub credit: Statistics,
    /// Share of the requested credit that was earned for messages to destinations that were down.
    #[serde(rename = "credit_down")]
    pub down_destination_credit: Statistics,
    /// Measured share of the destinations that was down.
    #[serde(rename = "down")]
    pub down_share: Statistics,
    /// Number of violations of invariants in all runs.
    #[serde(rename = "rules_broken")]
    pub violations: usize,
}

/// Results of the sharing study.
#[derive(Clone, Debug, Serialize)]
pub struct SharingTable {
    /// Name of the scenario.
    pub scenario: String,
    /// One row for each fleet size and policy.
    pub rows: Vec<SharingRow>,
}

/// The scenarios of one fleet size.
struct FleetScenarios {
    forwarders: u32,
    /// One scenario for each seed from 1 up, because outages differ by seed.
    scenarios: Vec<Scenario>,
}

/// Checks that the value of an option is in its range.
fn check_range(option: &'static str, value: f64, range: RangeInclusive<f64>) -> Result<(), ExperimentError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (low, high) = range.into_inner();
    Err(ExperimentError::OptionRange { option, value, low, high })
}

impl SharingStudyPlan {
    fn check(&self) -> Result<(), ExperimentError> {
        for fleet_size in &self.fleet_sizes {
            check_range("--forwarders", f64::from(*fleet_size), 1.0..=10_000.0)?;
        }
        check_range("--meet-every", self.message_interval_s, 1.0..=1e6)?;
        check_range("--down", self.down_share, 0.001..=0.5)?;
        check_range("--outage", self.outage_s, 1.0..=3600.0)?;
        check_range("--cells", self.max_forwarder_destination_pairs as f64, 1e3..=1e7)?;
        check_range("--full", self.production_destinations as f64, 100.0..=1e7)?;
        check_range("--seeds", self.seeds as f64, 1.0..=1e4)
    }

    /// Returns the number of destinations to simulate with this number of forwarders.
    fn destination_count(&self, forwarders: u32) -> u64 {
        (self.max_forwarder_destination_pairs / u64::from(forwarders.max(1)))
            .clamp(MIN_DESTINATIONS, MAX_DESTINATIONS)
    }

    /// Returns the scenarios of one fleet size, with traffic in proportion and different outages for each
    /// seed.
    fn fleet_scenarios(
        &self,
        text: &str,
        file_name: &str,
        forwarders: u32,
    ) -> Result<FleetScenarios, ExperimentError> {
        let destinations = self.destination_count(forwarders);
        let messages_per_s = f64::from(forwarders) * destinations as f64 / self.message_interval_s;
        let replacements = [
            ValueOverride::new("fleet.forwarders", forwarders.to_string()),
            ValueOverride::new("kind.0.destinations", destinations.to_string()),
            ValueOverride::new("traffic.usual_per_s", format!("{messages_per_s:.6}")),
        ];
        let scenario = Scenario::parse(file_name, text, &replacements)?;
        let duration_s = scenario.duration.seconds();
        let seeded_scenario =
            |seed| Scenario { faults: self.outages(destinations, duration_s, seed), ..scenario.clone() };
        Ok(FleetScenarios { forwarders, scenarios: (1..=self.seeds).map(seeded_scenario).collect() })
    }

    /// Draws the outages of all destinations. The process is stationary: at the start of a run the share of
    /// destinations that is down has its long-term mean.
    fn outages(&self, destinations: u64, duration_s: f64, seed: u64) -> Vec<ScheduledFault> {
        let mut random = Pcg32::seed_from_u64(seed ^ OUTAGE_STREAM);
        (0..destinations)
            .flat_map(|destination| self.destination_outages(destination as u32, duration_s, &mut random))
            .collect()
    }

    fn destination_outages(
        &self,
        destination: u32,
        duration_s: f64,
        random: &mut Pcg32,
    ) -> Vec<ScheduledFault> {
        let mean_up_s = self.outage_s * (1.0 - self.down_share) / self.down_share;
        let mut outages = Vec::new();
        // The destination is down when the run starts, or up until its first outage.
        let mut start = -self.outage_s * random.random::<f64>();
        if random.random::<f64>() >= self.down_share {
            start = -mean_up_s * (1.0 - random.random::<f64>()).ln();
        }
        while start < duration_s {
            let visible_start = start.max(0.0);
            let endpoints =
                EndpointSelector { destinations: vec![destination], ..EndpointSelector::default() };
            outages.push(ScheduledFault {
                start: Span::clamped(visible_start),
                duration: Span::clamped(start + self.outage_s - visible_start),
                fault: Fault::ConnectionsRefused { endpoints },
            });
            start += self.outage_s - mean_up_s * (1.0 - random.random::<f64>()).ln();
        }
        outages
    }
}

impl ExperimentRunner {
    /// Runs fleets of each size under each policy with the same seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if an option or the number of runs is out of range, or the scenario can't be read.
    pub fn study_sharing(
        &self,
        file: &Path,
        plan: &SharingStudyPlan,
    ) -> Result<SharingTable, ExperimentError> {
        plan.check()?;
        let text = fs::read_to_string(file).map_err(ExperimentError::file(file, FileAction::Read))?;
        let file_name = file.display().to_string();
        let base_scenario = Scenario::parse(&file_name, &text, &[])?;
        let fleets = plan
            .fleet_sizes
            .iter()
            .map(|fleet_size| plan.fleet_scenarios(&text, &file_name, *fleet_size))
            .collect::<Result<Vec<_>, _>>()?;
        let mut runs = Vec::new();
        for fleet in &fleets {
            for policy in COMPARED_POLICIES {
                runs.extend((1..).zip(&fleet.scenarios).map(|(seed, scenario)| Run {
                    scenario,
                    seed,
                    policy,
                }));
            }
        }
        let results = self.map_runs(&runs, "sharing study", Run::execute)?;
        let mut rows = Vec::new();
        let mut results_of_rows = results.chunks(plan.seeds as usize);
        for fleet in &fleets {
            for (policy, runs) in COMPARED_POLICIES.iter().zip(results_of_rows.by_ref()) {
                rows.push(plan.row(fleet.forwarders, *policy, runs, base_scenario.duration.seconds()));
            }
        }
        Ok(SharingTable { scenario: base_scenario.name, rows })
    }
}

impl SharingStudyPlan {
    /// Returns the row of these runs, each of which has this duration.
    fn row(
        &self,
        forwarders: u32,
        policy: ComparedPolicy,
        runs: &[RunResult],
        duration_s: f64,
    ) -> SharingRow {
        let destinations = self.destination_count(forwarders);
        let scale = self.production_destinations as f64 / destinations as f64;
        let statistics = |measurement: &dyn Fn(&RunResult) -> f64| Statistics::over(runs, measurement);
        let per_s = |count: u64| count as f64 / duration_s * scale;
        let share = |count: u64, total: u64| count as f64 / total.max(1) as f64;
        SharingRow {
            forwarders,
            destinations,
            policy: policy.name(),
            seeds: runs.len() as u64,
            attempts_per_s: statistics(&|run| per_s(run.outage_traffic.attempts)),
            connections_per_s: statistics(&|run| per_s(run.outage_traffic.connections)),
            attempts_per_message: statistics(&|run| {
                share(run.outage_traffic.attempts, run.outage_traffic.submitted)
            }),
            first_attempt_lost_share: statistics(&|run| {
                share(run.outage_traffic.first_attempts_lost, run.messages)
            }),
            first_attempt_lost_to_known_outage_share: statistics(&|run| {
                share(run.outage_traffic.first_attempts_lost_to_known_outage, run.messages)
            }),
            credit: statistics(&|run| run.credit),
            down_destination_credit: statistics(&|run| {
                run.outage_traffic.credit_earned / run.outage_traffic.credit_possible.max(MIN_CREDIT)
            }),
            down_share: statistics(&|run| {
                run.outage_traffic.endpoint_seconds / (destinations as f64 * duration_s)
            }),
            violations: runs.iter().map(|run| run.violations).sum(),
        }
    }
}

const HEADER: [&str; 15] = [
    "forwarders",
    "destinations",
    "policy",
    "attempts/s",
    "+-",
    "connections/s",
    "attempts/message",
    "first lost %",
    "first lost to known %",
    "credit",
    "+-",
    "credit of down",
    "+-",
    "down %",
    "violations",
];

impl SharingRow {
    fn cells(&self) -> [String; HEADER.len()] {
        [
            self.forwarders.to_string(),
            self.destinations.to_string(),
            self.policy.clone(),
            format!("{:.0}", self.attempts_per_s.mean),
            format!("{:.0}", self.attempts_per_s.deviation),
            format!("{:.0}", self.connections_per_s.mean),
            format!("{:.2}", self.attempts_per_message.mean),
            format!("{:.3}", 100.0 * self.first_attempt_lost_share.mean),
            format!("{:.3}", 100.0 * self.first_attempt_lost_to_known_outage_share.mean),
            format!("{:.4}", self.credit.mean),
            format!("{:.4}", self.credit.deviation),
            format!("{:.3}", self.down_destination_credit.mean),
            format!("{:.3}", self.down_destination_credit.deviation),
            format!("{:.2}", 100.0 * self.down_share.mean),
            self.violations.to_string(),
        ]
    }
}

impl SharingTable {
    /// Prints the table to standard output. The exit code is 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || {
            let note = "rates scaled up to the number of destinations in production";
            format!("{}, emulated; {note}\n{}\n", self.scenario, self.table())
        })?;
        Ok(ExitCode::SUCCESS)
    }

    fn table(&self) -> Table {
        let mut table = plain_table();
        table.set_header(HEADER);
        for row in &self.rows {
            table.add_row(row.cells());
        }
        table
    }
}
