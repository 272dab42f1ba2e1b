//! A study of recovering destinations: what a whole fleet sends to destinations that are cold after an outage, against
//! the load that overloads them.

use std::path::Path;
use std::process::ExitCode;

use comfy_table::Table;
use reeddock_simulation::observed::RecoveryLoad;
use reeddock_simulation::report::rounded;
use reeddock_simulation::{run_observed, BuiltInPolicy};
use serde::Serialize;

use crate::arguments::ScenarioOverride;
use crate::error::ExperimentError;
use crate::output::OutputFormat;
use crate::results::Statistics;
use crate::runner::{ComparisonPlan, ExperimentRunner, Run, ScenarioVariants};
use crate::text_report::plain_table;

/// Recoveries of destinations of one size, under one policy and combination of scenario values, over all days.
///
/// A destination is overloaded where the requests in a window exceed N + 2 * sqrt(N) + 2; N is what the settings allow
/// in that window.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRow {
    /// One value for each overridden key.
    pub values: Vec<String>,
    /// The policy's name on the command line.
    pub policy: String,
    /// Requests a second that the destination gets on a usual day from all forwarders.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: f64,
    /// Number of days, each with a seed of its own.
    pub seeds: u64,
    /// Recoveries from an outage that was not itself an overload.
    #[serde(rename = "returns")]
    pub recoveries: usize,
    /// Requests in the worst window against N + 2 * sqrt(N) + 2, over the recoveries.
    #[serde(rename = "ratio")]
    pub load_ratio: Statistics,
    /// The median of that ratio.
    #[serde(rename = "ratio_median")]
    pub load_ratio_median: f64,
    /// N in the worst windows.
    pub allowed: Statistics,
    /// Requests in the worst windows.
    #[serde(rename = "sum")]
    pub requests: Statistics,
    /// Share of these requests from forwarders that knew of the outage.
    #[serde(rename = "known")]
    pub informed_share: Statistics,
    /// Days on which an endpoint was overloaded and failed again.
    #[serde(rename = "seeds_over")]
    pub seeds_with_overload: usize,
    /// Days on which the invariant was broken: over two thirds of the requests of an overload came from
    /// forwarders that knew of the outage.
    #[serde(rename = "seeds_broken")]
    pub seeds_with_violation: usize,
}

/// The recoveries of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryTable {
    /// The scenario's name.
    pub scenario: String,
    /// The overridden keys.
    pub keys: Vec<String>,
    /// One row for each combination of values, policy and size of destination.
    pub rows: Vec<RecoveryRow>,
}

/// Plays a run, and gives the recoveries of which the outage was not itself an overload.
fn play(run: &Run) -> Vec<RecoveryLoad> {
    let observed = run_observed(run.scenario, run.seed, run.policy.name(), &|now, settings, host| {
        run.policy.create(now, settings, host)
    });
    observed.observed.recovery_loads.into_iter().filter(|ramp| !ramp.after_overload).collect()
}

/// What the rows of one policy and combination of scenario values are made from.
struct RowGroup<'a> {
    values: &'a [String],
    policy: BuiltInPolicy,
    /// The recoveries of each day.
    days: &'a [Vec<RecoveryLoad>],
}

impl ExperimentRunner {
    /// Measures recoveries at each combination of overridden scenario values, under each policy.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read or does not have an overridden key, or no runs or too many.
    pub fn study_recovery(
        &self,
        file: &Path,
        overrides: &[ScenarioOverride],
        plan: &ComparisonPlan,
    ) -> Result<RecoveryTable, ExperimentError> {
        let ScenarioVariants { name, variants } = ScenarioVariants::read(file, overrides)?;
        let policies = plan.policies.as_slice();
        let mut runs = Vec::new();
        for variant in &variants {
            for policy in policies {
                let run = |seed| Run { scenario: &variant.scenario, seed, policy: *policy };
                runs.extend((1..=plan.seeds).map(run));
            }
        }
        let days = self.map_runs(&runs, "ramps", play)?;
        let mut rows = Vec::new();
        let mut days_of_groups = days.chunks(plan.seeds as usize);
        for variant in &variants {
            for (policy, days) in policies.iter().zip(days_of_groups.by_ref()) {
                rows.extend(RowGroup { values: &variant.values, policy: *policy, days }.rows());
            }
        }
        let keys = overrides.iter().map(|one| one.key.clone()).collect();
        Ok(RecoveryTable { scenario: name, keys, rows })
    }
}

impl RowGroup<'_> {
    /// A row for each size of destination, the busiest first.
    fn rows(&self) -> Vec<RecoveryRow> {
        let mut sizes: Vec<f64> =
            self.days.iter().flatten().map(|ramp| rounded(ramp.baseline_per_s)).collect();
        sizes.sort_by(|left, right| right.total_cmp(left));
        sizes.dedup();
        sizes.into_iter().map(|size| self.row(size)).collect()
    }

    fn row(&self, baseline_per_s: f64) -> RecoveryRow {
        let of_this_size = |ramp: &&RecoveryLoad| rounded(ramp.baseline_per_s) == baseline_per_s;
        let ramps: Vec<&RecoveryLoad> = self.days.iter().flatten().filter(of_this_size).collect();
        let days_with = |condition: fn(&RecoveryLoad) -> bool| {
            let shows = |day: &&Vec<RecoveryLoad>| day.iter().filter(of_this_size).any(condition);
            self.days.iter().filter(shows).count()
        };
        RecoveryRow {
            values: self.values.to_vec(),
            policy: self.policy.name().to_owned(),
            baseline_per_s,
            seeds: self.days.len() as u64,
            recoveries: ramps.len(),
            load_ratio: Statistics::over(&ramps, |ramp| ramp.ratio()),
            load_ratio_median: median(ramps.iter().map(|ramp| ramp.ratio()).collect()),
            allowed: Statistics::over(&ramps, |ramp| ramp.allowed_work),
            requests: Statistics::over(&ramps, |ramp| ramp.received_work),
            informed_share: Statistics::over(&ramps, |ramp| informed_share(ramp)),
            seeds_with_overload: days_with(|ramp| ramp.overloaded),
            seeds_with_violation: days_with(|ramp| {
                ramp.overloaded && 3.0 * ramp.informed_work > 2.0 * ramp.received_work
            }),
        }
    }
}

/// The middle value, the upper one of two; 0 where there are none.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().map_or(0.0, rounded)
}

fn informed_share(ramp: &RecoveryLoad) -> f64 {
    if ramp.received_work > 0.0 {
        ramp.informed_work / ramp.received_work
    } else {
        0.0
    }
}

const HEADER: [&str; 12] = [
    "policy",
    "usual/s",
    "returns",
    "N",
    "sum",
    "ratio",
    "+-",
    "median",
    "worst",
    "known",
    "seeds over",
    "rule broken",
];

impl RecoveryRow {
    fn cells(&self) -> [String; HEADER.len()] {
        [
            self.policy.clone(),
            format!("{:.2}", self.baseline_per_s),
            self.recoveries.to_string(),
            format!("{:.1}", self.allowed.mean),
            format!("{:.1}", self.requests.mean),
            format!("{:.2}", self.load_ratio.mean),
            format!("{:.2}", self.load_ratio.deviation),
            format!("{:.2}", self.load_ratio_median),
            format!("{:.2}", self.load_ratio.maximum),
            format!("{:.2}", self.informed_share.mean),
            format!("{} of {}", self.seeds_with_overload, self.seeds),
            format!("{} of {}", self.seeds_with_violation, self.seeds),
        ]
    }
}

impl RecoveryTable {
    /// Prints the table to standard output. An overload is a finding and no fault of the study: the exit code is 0.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || format!("{}, emulated\n{}\n", self.scenario, self.table()))?;
        Ok(ExitCode::SUCCESS)
    }

    fn table(&self) -> Table {
        let mut table = plain_table();
        table.set_header(self.keys.iter().map(String::as_str).chain(HEADER));
        for row in &self.rows {
            table.add_row(row.values.iter().cloned().chain(row.cells()));
        }
        table
    }
}
