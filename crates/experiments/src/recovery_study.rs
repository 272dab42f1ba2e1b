//! A study of recovering destinations: the requests of a whole fleet to destinations in slow start after an
//! outage, compared with the load that overloads them.

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

/// Recoveries of destinations of one size, under one policy and combination of scenario values, over all
/// runs.
///
/// A destination is overloaded if the requests in a window exceed N + 2 * sqrt(N) + 2, with N the number of
/// requests that the settings allow in that window.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRow {
    /// One value for each overridden key, in their order.
    pub values: Vec<String>,
    /// Name of the policy on the command line.
    pub policy: String,
    /// Baseline rate of requests from all forwarders to the destination, per second.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: f64,
    /// Number of runs, each with a different seed.
    pub seeds: u64,
    /// Number of recoveries from outages that were not overloads themselves.
    #[serde(rename = "returns")]
    pub recoveries: usize,
    /// Requests in the worst window of each recovery, divided by N + 2 * sqrt(N) + 2.
    #[serde(rename = "ratio")]
    pub load_ratio: Statistics,
    /// Median of `load_ratio`.
    #[serde(rename = "ratio_median")]
    pub load_ratio_median: f64,
    /// Requests that the settings allow in the worst window of each recovery (N).
    #[serde(rename = "allowed")]
    pub allowed_requests: Statistics,
    /// Requests in the worst window of each recovery.
    #[serde(rename = "sum")]
    pub requests: Statistics,
    /// Share of the requests in the worst window that came from forwarders that knew of the outage.
    #[serde(rename = "known")]
    pub informed_share: Statistics,
    /// Number of runs in which an endpoint was overloaded and failed again.
    #[serde(rename = "seeds_over")]
    pub seeds_with_overload: usize,
    /// Number of runs that broke the invariant: forwarders that knew of the outage sent over two thirds of
    /// the requests of an overload.
    #[serde(rename = "seeds_broken")]
    pub seeds_with_violation: usize,
}

/// The recoveries of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryTable {
    /// Name of the scenario.
    pub scenario: String,
    /// The overridden keys.
    pub keys: Vec<String>,
    /// One row for each combination of values, policy and size of destination.
    pub rows: Vec<RecoveryRow>,
}

/// Executes a run and returns its recoveries from outages that were not overloads themselves.
fn recovery_loads(run: &Run) -> Vec<RecoveryLoad> {
    let observed = run_observed(run.scenario, run.seed, run.policy.name(), &|now, settings, host| {
        run.policy.create(now, settings, host)
    });
    observed.observed.recovery_loads.into_iter().filter(|recovery| !recovery.after_overload).collect()
}

/// The recoveries from which the rows of one policy and combination of scenario values are computed.
struct RowGroup<'a> {
    values: &'a [String],
    policy: BuiltInPolicy,
    /// The recoveries of each run.
    runs: &'a [Vec<RecoveryLoad>],
}

impl ExperimentRunner {
    /// Measures recoveries for each combination of overridden scenario values, under each policy.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario can't be read or lacks an overridden key, or the number of runs is
    /// out of range.
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
        let results = self.map_runs(&runs, "recovery study", recovery_loads)?;
        let mut rows = Vec::new();
        let mut results_of_groups = results.chunks(plan.seeds as usize);
        for variant in &variants {
            for (policy, runs) in policies.iter().zip(results_of_groups.by_ref()) {
                rows.extend(RowGroup { values: &variant.values, policy: *policy, runs }.rows());
            }
        }
        let keys = overrides.iter().map(|key_override| key_override.key.clone()).collect();
        Ok(RecoveryTable { scenario: name, keys, rows })
    }
}

impl RowGroup<'_> {
    /// Returns a row for each size of destination, in descending order of traffic.
    fn rows(&self) -> Vec<RecoveryRow> {
        let mut sizes: Vec<f64> =
            self.runs.iter().flatten().map(|recovery| rounded(recovery.baseline_per_s)).collect();
        sizes.sort_by(|left, right| right.total_cmp(left));
        sizes.dedup();
        sizes.into_iter().map(|size| self.row(size)).collect()
    }

    fn row(&self, baseline_per_s: f64) -> RecoveryRow {
        let of_this_size = |recovery: &&RecoveryLoad| rounded(recovery.baseline_per_s) == baseline_per_s;
        let recoveries: Vec<&RecoveryLoad> = self.runs.iter().flatten().filter(of_this_size).collect();
        let runs_with = |condition: fn(&RecoveryLoad) -> bool| {
            let has_match = |run: &&Vec<RecoveryLoad>| run.iter().filter(of_this_size).any(condition);
            self.runs.iter().filter(has_match).count()
        };
        RecoveryRow {
            values: self.values.to_vec(),
            policy: self.policy.name().to_owned(),
            baseline_per_s,
            seeds: self.runs.len() as u64,
            recoveries: recoveries.len(),
            load_ratio: Statistics::over(&recoveries, |recovery| recovery.ratio()),
            load_ratio_median: median(recoveries.iter().map(|recovery| recovery.ratio()).collect()),
            allowed_requests: Statistics::over(&recoveries, |recovery| recovery.allowed_work),
            requests: Statistics::over(&recoveries, |recovery| recovery.received_work),
            informed_share: Statistics::over(&recoveries, |recovery| informed_share(recovery)),
            seeds_with_overload: runs_with(|recovery| recovery.overloaded),
            seeds_with_violation: runs_with(|recovery| {
                recovery.overloaded && 3.0 * recovery.informed_work > 2.0 * recovery.received_work
            }),
        }
    }
}

/// Returns the median, the upper of two middle values; 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().map_or(0.0, rounded)
}

fn informed_share(recovery: &RecoveryLoad) -> f64 {
    if recovery.received_work > 0.0 {
        recovery.informed_work / recovery.received_work
    } else {
        0.0
    }
}

const HEADER: [&str; 12] = [
    "policy",
    "baseline/s",
    "recoveries",
    "N",
    "requests",
    "load ratio",
    "+-",
    "median",
    "maximum",
    "informed",
    "overload",
    "invariant broken",
];

impl RecoveryRow {
    fn cells(&self) -> [String; HEADER.len()] {
        [
            self.policy.clone(),
            format!("{:.2}", self.baseline_per_s),
            self.recoveries.to_string(),
            format!("{:.1}", self.allowed_requests.mean),
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
    /// Prints the table to standard output. The exit code is 0, even if destinations were overloaded.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
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
