//! A study of what forwarders lose by sharing nothing about destinations that are down: fleets of several sizes
//! in which each forwarder sends to each destination as rarely as in production, under the delivery policy and under
//! circuit breakers that are fed by the whole fleet.

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

/// What is studied. Its checks name the options of the command line.
#[derive(Clone, Debug)]
pub struct SharingStudyPlan {
    /// Sizes of the fleet.
    pub forwarders: Vec<u32>,
    /// Mean seconds between two messages of a forwarder for the same destination.
    pub message_interval_s: f64,
    /// Share of the destinations that is down at any time.
    pub down_share: f64,
    /// Seconds that an outage lasts.
    pub outage_s: f64,
    /// Forwarders times destinations that are played at most.
    pub max_cells: u64,
    /// Destinations of the real fleet, to which rates are scaled up.
    pub real_destinations: u64,
    /// Number of days; their seeds are 1 to this number.
    pub seeds: u64,
}

/// Destinations that are played at most for small fleets.
const MAX_DESTINATIONS: u64 = 1_000;
/// Destinations below which the measurements are mostly noise.
const MIN_DESTINATIONS: u64 = 30;
/// Separates the random stream of the outages from those of the simulation with the same seed.
const OUTAGE_STREAM: u64 = 0x6f75_7461;
/// The least credit asked for that a share is taken of: nothing is divided by zero.
const MIN_CREDIT: f64 = 1e-9;

/// What decides, and what it knows of other forwarders' attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// The delivery policy, which shares nothing.
    DeliveryPolicy,
    /// A plain circuit breaker fed by what its own forwarder saw.
    OwnCircuit,
    /// The same circuit breaker fed by all forwarders, after this delay.
    SharedCircuit(Duration),
    /// Sees which destinations are down.
    TrueState,
}

const COMPARED: [Knowledge; 5] = [
    Knowledge::DeliveryPolicy,
    Knowledge::OwnCircuit,
    Knowledge::SharedCircuit(Duration::from_secs(1)),
    Knowledge::SharedCircuit(Duration::ZERO),
    Knowledge::TrueState,
];

impl Knowledge {
    fn name(self) -> String {
        match self {
            Knowledge::DeliveryPolicy => "module, shares nothing".to_owned(),
            Knowledge::OwnCircuit => "circuit, shares nothing".to_owned(),
            Knowledge::SharedCircuit(delay) if delay.is_zero() => "circuit, shared at once".to_owned(),
            Knowledge::SharedCircuit(delay) => format!("circuit, shared after {} s", delay.as_secs_f64()),
            Knowledge::TrueState => "sees the true state".to_owned(),
        }
    }
}

/// One run of the simulation.
struct Run<'a> {
    scenario: &'a Scenario,
    seed: u64,
    knowledge: Knowledge,
}

/// What is kept of a run.
struct Day {
    credit: f64,
    violations: usize,
    messages: u64,
    /// What went to destinations that were down.
    sent_to_down: OutageTraffic,
}

impl Run<'_> {
    fn play(&self) -> Day {
        let run = match self.knowledge {
            Knowledge::DeliveryPolicy => {
                run_observed(self.scenario, self.seed, "module", &|now, settings, host| {
                    BuiltInPolicy::DeliveryPolicy.create(now, settings, host)
                })
            }
            Knowledge::TrueState => {
                run_observed(self.scenario, self.seed, "ideal", &|now, settings, host| {
                    BuiltInPolicy::UpperBound.create(now, settings, host)
                })
            }
            Knowledge::OwnCircuit => run_observed(self.scenario, self.seed, "alone", &|_, settings, _| {
                let exchange = CircuitExchange::new(Duration::ZERO);
                open_sharing_policy(&Arc::new(Mutex::new(exchange)), settings)
            }),
            Knowledge::SharedCircuit(delay) => {
                let exchange = Arc::new(Mutex::new(CircuitExchange::new(delay)));
                run_observed(self.scenario, self.seed, "shared", &|_, settings, _| {
                    open_sharing_policy(&exchange, settings)
                })
            }
        };
        Day {
            credit: run.report.credit,
            violations: run.report.rules_broken,
            messages: run.report.submissions,
            sent_to_down: run.observed.outage_traffic,
        }
    }
}

/// One fleet size and what decides, over all days. Rates are scaled up to the destinations of the real fleet.
#[derive(Clone, Debug, Serialize)]
pub struct SharingRow {
    /// Size of the fleet.
    pub forwarders: u32,
    /// Destinations that were played.
    pub destinations: u64,
    /// What decides, and what it knows.
    pub policy: String,
    /// Number of days, each with a seed of its own.
    pub seeds: u64,
    /// Attempts a second, over the fleet, at destinations that were down.
    #[serde(rename = "trials_per_s")]
    pub attempts_per_s: Statistics,
    /// New connections a second, over the fleet, that were requested there.
    pub connections_per_s: Statistics,
    /// Attempts there for each message to a destination that was down.
    #[serde(rename = "trials_per_envelope")]
    pub attempts_per_message: Statistics,
    /// Share of the messages of which the first attempt went to a destination that was down.
    pub first_lost: Statistics,
    /// Share of the messages of which the first attempt went to one that some forwarder knew to be down.
    pub first_lost_to_known: Statistics,
    /// Share of the credit asked for that was earned.
    pub credit: Statistics,
    /// The same of messages to a destination that was down.
    pub credit_down: Statistics,
    /// Share of the destinations that was down, as measured.
    pub down: Statistics,
    /// Invariants broken, over all days.
    #[serde(rename = "rules_broken")]
    pub violations: usize,
}

/// Fleets of several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct SharingTable {
    /// The scenario's name.
    pub scenario: String,
    /// One row for each fleet size and what decides.
    pub rows: Vec<SharingRow>,
}

/// The days of one fleet size.
struct FleetScenarios {
    forwarders: u32,
    /// One scenario for each seed from 1 up: outages differ by day.
    days: Vec<Scenario>,
}

/// Checks that the value of an option lies in its range.
fn check_range(option: &'static str, value: f64, range: RangeInclusive<f64>) -> Result<(), ExperimentError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (low, high) = range.into_inner();
    Err(ExperimentError::OptionRange { option, value, low, high })
}

impl SharingStudyPlan {
    fn check(&self) -> Result<(), ExperimentError> {
        for forwarders in &self.forwarders {
            check_range("--forwarders", f64::from(*forwarders), 1.0..=10_000.0)?;
        }
        check_range("--meet-every", self.message_interval_s, 1.0..=1e6)?;
        check_range("--down", self.down_share, 0.001..=0.5)?;
        check_range("--outage", self.outage_s, 1.0..=3600.0)?;
        check_range("--cells", self.max_cells as f64, 1e3..=1e7)?;
        check_range("--full", self.real_destinations as f64, 100.0..=1e7)?;
        check_range("--seeds", self.seeds as f64, 1.0..=1e4)
    }

    /// Destinations that are played with a fleet of this size.
    fn destinations(&self, forwarders: u32) -> u64 {
        (self.max_cells / u64::from(forwarders.max(1))).clamp(MIN_DESTINATIONS, MAX_DESTINATIONS)
    }

    /// The scenarios of one fleet size: sizes and traffic in proportion, outages drawn for each day.
    fn fleet(&self, text: &str, file_name: &str, forwarders: u32) -> Result<FleetScenarios, ExperimentError> {
        let destinations = self.destinations(forwarders);
        let per_s = f64::from(forwarders) * destinations as f64 / self.message_interval_s;
        let replacements = [
            ValueOverride::new("fleet.forwarders", forwarders.to_string()),
            ValueOverride::new("kind.0.destinations", destinations.to_string()),
            ValueOverride::new("traffic.usual_per_s", format!("{per_s:.6}")),
        ];
        let scenario = Scenario::parse(file_name, text, &replacements)?;
        let duration = scenario.duration.seconds();
        let day = |seed| Scenario { faults: self.outages(destinations, duration, seed), ..scenario.clone() };
        Ok(FleetScenarios { forwarders, days: (1..=self.seeds).map(day).collect() })
    }

    /// The outages of all destinations in this many seconds, as if up and down had alternated for long before.
    fn outages(&self, destinations: u64, duration: f64, seed: u64) -> Vec<ScheduledFault> {
        let mut random = Pcg32::seed_from_u64(seed ^ OUTAGE_STREAM);
        (0..destinations)
            .flat_map(|destination| self.outages_of(destination as u32, duration, &mut random))
            .collect()
    }

    fn outages_of(&self, destination: u32, duration: f64, random: &mut Pcg32) -> Vec<ScheduledFault> {
        let mean_up_s = self.outage_s * (1.0 - self.down_share) / self.down_share;
        let mut outages = Vec::new();
        // The destination is down when the day begins, or comes to its first outage after a time of being up.
        let mut begin = -self.outage_s * random.random::<f64>();
        if random.random::<f64>() >= self.down_share {
            begin = -mean_up_s * (1.0 - random.random::<f64>()).ln();
        }
        while begin < duration {
            let visible_begin = begin.max(0.0);
            let endpoints =
                EndpointSelector { destinations: vec![destination], ..EndpointSelector::default() };
            outages.push(ScheduledFault {
                start: Span::clamped(visible_begin),
                duration: Span::clamped(begin + self.outage_s - visible_begin),
                fault: Fault::ConnectionsRefused { endpoints },
            });
            begin += self.outage_s - mean_up_s * (1.0 - random.random::<f64>()).ln();
        }
        outages
    }
}

impl ExperimentRunner {
    /// Plays fleets of each size, with each thing that decides, on the same days.
    ///
    /// # Errors
    ///
    /// An option out of its range, a scenario that can't be read, or no runs or too many.
    pub fn study_sharing(
        &self,
        file: &Path,
        plan: &SharingStudyPlan,
    ) -> Result<SharingTable, ExperimentError> {
        plan.check()?;
        let text = fs::read_to_string(file).map_err(ExperimentError::file(file, FileAction::Read))?;
        let file_name = file.display().to_string();
        let unchanged = Scenario::parse(&file_name, &text, &[])?;
        let fleets = plan
            .forwarders
            .iter()
            .map(|forwarders| plan.fleet(&text, &file_name, *forwarders))
            .collect::<Result<Vec<_>, _>>()?;
        let mut runs = Vec::new();
        for fleet in &fleets {
            for knowledge in COMPARED {
                runs.extend((1..).zip(&fleet.days).map(|(seed, scenario)| Run { scenario, seed, knowledge }));
            }
        }
        let days = self.map_runs(&runs, "sharing", Run::play)?;
        let mut rows = Vec::new();
        let mut days_of_rows = days.chunks(plan.seeds as usize);
        for fleet in &fleets {
            for (knowledge, days) in COMPARED.iter().zip(days_of_rows.by_ref()) {
                rows.push(plan.row(fleet.forwarders, *knowledge, days, unchanged.duration.seconds()));
            }
        }
        Ok(SharingTable { scenario: unchanged.name, rows })
    }
}

impl SharingStudyPlan {
    /// The row of these days, each of which lasts this many seconds.
    fn row(&self, forwarders: u32, knowledge: Knowledge, days: &[Day], duration: f64) -> SharingRow {
        let destinations = self.destinations(forwarders);
        let scale = self.real_destinations as f64 / destinations as f64;
        let statistics = |measurement: &dyn Fn(&Day) -> f64| Statistics::over(days, measurement);
        let per_s = |count: u64| count as f64 / duration * scale;
        let share = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        SharingRow {
            forwarders,
            destinations,
            policy: knowledge.name(),
            seeds: days.len() as u64,
            attempts_per_s: statistics(&|day| per_s(day.sent_to_down.attempts)),
            connections_per_s: statistics(&|day| per_s(day.sent_to_down.connections)),
            attempts_per_message: statistics(&|day| {
                share(day.sent_to_down.attempts, day.sent_to_down.submitted)
            }),
            first_lost: statistics(&|day| share(day.sent_to_down.first_attempts_lost, day.messages)),
            first_lost_to_known: statistics(&|day| {
                share(day.sent_to_down.first_attempts_lost_to_known_outage, day.messages)
            }),
            credit: statistics(&|day| day.credit),
            credit_down: statistics(&|day| {
                day.sent_to_down.credit_earned / day.sent_to_down.credit_asked.max(MIN_CREDIT)
            }),
            down: statistics(&|day| day.sent_to_down.endpoint_seconds / (destinations as f64 * duration)),
            violations: days.iter().map(|day| day.violations).sum(),
        }
    }
}

const HEADER: [&str; 15] = [
    "forwarders",
    "destinations",
    "decides",
    "trials/s",
    "+-",
    "connections/s",
    "trials/envelope",
    "first lost %",
    "of it known %",
    "credit",
    "+-",
    "credit of met",
    "+-",
    "down %",
    "broken",
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
            format!("{:.3}", 100.0 * self.first_lost.mean),
            format!("{:.3}", 100.0 * self.first_lost_to_known.mean),
            format!("{:.4}", self.credit.mean),
            format!("{:.4}", self.credit.deviation),
            format!("{:.3}", self.credit_down.mean),
            format!("{:.3}", self.credit_down.deviation),
            format!("{:.2}", 100.0 * self.down.mean),
            self.violations.to_string(),
        ]
    }
}

impl SharingTable {
    /// Prints the table to standard output; the exit code is 0.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || {
            let unit = "rates scaled up to the full number of destinations";
            format!("{}, emulated; {unit}\n{}\n", self.scenario, self.table())
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
