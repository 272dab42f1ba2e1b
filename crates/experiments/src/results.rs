//! Results of experiments, and their JSON form, which is printed for scripts and saved in a folder for plots.
//!
//! Credit is the priority weight that a delivered message earns, in full until its latency objective and in
//! part until its deadline. Shares of credit are from 0 to 1.
//!
//! The keys of the JSON form must not change; a field with another name in the code has a serde `rename`.

use std::fs;
use std::path::{Path, PathBuf};

use reeddock_simulation::report::rounded;
use reeddock_simulation::Report;
use serde::{Deserialize, Serialize};

use crate::error::{ExperimentError, FileAction};

/// Mean, deviation and range of one measurement over several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Arithmetic mean.
    pub mean: f64,
    /// Sample standard deviation; 0 for a single value.
    pub deviation: f64,
    /// Minimum.
    #[serde(rename = "least")]
    pub minimum: f64,
    /// Maximum.
    #[serde(rename = "most")]
    pub maximum: f64,
}

impl Statistics {
    /// Returns the statistics of these values; all are 0 if there are no values.
    pub(crate) fn of(values: &[f64]) -> Statistics {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let sum_of_squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        Statistics {
            mean: rounded(mean),
            deviation: rounded((sum_of_squares / (count - 1.0).max(1.0)).sqrt()),
            minimum: rounded(values.iter().copied().fold(f64::INFINITY, f64::min)),
            maximum: rounded(values.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
        }
    }

    /// Returns the statistics of one measurement of each item.
    pub(crate) fn over<Item>(items: &[Item], measurement: impl Fn(&Item) -> f64) -> Statistics {
        Statistics::of(&items.iter().map(measurement).collect::<Vec<f64>>())
    }
}

/// Results of one policy over several runs with different seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySummary {
    /// Name of the policy on the command line.
    pub policy: String,
    /// Number of runs.
    #[serde(rename = "days")]
    pub run_count: usize,
    /// Measurements over the runs.
    #[serde(rename = "figures")]
    pub metrics: PolicyMetrics,
    /// Credit minus the credit of the first policy with the same seed.
    #[serde(rename = "against_first")]
    pub credit_difference: Statistics,
    /// Number of violations of invariants in all runs.
    #[serde(rename = "rules_broken")]
    pub violations: usize,
    /// Number of runs in which an invariant was broken.
    #[serde(rename = "days_with_broken_rules")]
    pub runs_with_violations: usize,
    /// Number of times in all runs that a recovering endpoint was overloaded and failed again.
    #[serde(rename = "falls")]
    pub overload_failures: u64,
}

/// Means over several runs, and the statistics of credit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyMetrics {
    /// Share of the requested credit that was earned.
    pub credit: Statistics,
    /// Share of the requested credit that was earned in the worst ten seconds.
    #[serde(rename = "worst_span")]
    pub worst_window_credit: f64,
    /// Share of the requested credit that was earned for the worst message class.
    #[serde(rename = "worst_category")]
    pub worst_class_credit: f64,
    /// Median latency of completed messages, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of completed messages, in milliseconds.
    pub p99_ms: f64,
    /// Delivery attempts per message; a message that its program submits again counts once.
    #[serde(rename = "dispatches_per_try")]
    pub attempts_per_message: f64,
    /// Attempts rejected by endpoints, per message.
    #[serde(rename = "refusals_per_try")]
    pub rejections_per_message: f64,
    /// Share of the endpoints' work that completed no message.
    pub work_wasted: f64,
    /// Mean number of requests in flight while messages arrive, as a share of the maximum.
    #[serde(rename = "slots_used")]
    pub in_flight_used: f64,
}

impl PolicySummary {
    /// Summarizes the runs of one policy, compared with the runs of the first policy with the same seeds.
    pub(crate) fn of(policy: &str, runs: &[Report], first_policy_runs: &[Report]) -> PolicySummary {
        let run_pairs = runs.iter().zip(first_policy_runs);
        let differences: Vec<f64> = run_pairs.map(|(own, first)| own.credit - first.credit).collect();
        PolicySummary {
            policy: policy.to_owned(),
            run_count: runs.len(),
            metrics: PolicyMetrics::of(runs),
            credit_difference: Statistics::of(&differences),
            violations: runs.iter().map(|run| run.rules_broken).sum(),
            runs_with_violations: runs.iter().filter(|run| run.rules_broken > 0).count(),
            overload_failures: runs.iter().map(|run| run.overloads).sum(),
        }
    }
}

impl PolicyMetrics {
    fn of(runs: &[Report]) -> PolicyMetrics {
        let mean = |measurement: fn(&Report) -> f64| Statistics::over(runs, measurement).mean;
        PolicyMetrics {
            credit: Statistics::over(runs, |run| run.credit),
            worst_window_credit: mean(|run| run.credit_worst_span),
            worst_class_credit: mean(|run| run.credit_worst_class),
            p50_ms: mean(|run| run.latency_ms.p50 as f64),
            p99_ms: mean(|run| run.latency_ms.p99 as f64),
            attempts_per_message: mean(|run| run.attempts_per_submission),
            rejections_per_message: mean(|run| run.rejections_per_submission),
            work_wasted: mean(|run| run.work_wasted),
            in_flight_used: mean(|run| run.in_flight_used),
        }
    }
}

/// Results of one policy with one combination of overridden scenario values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepRow {
    /// One value for each overridden key, in their order.
    pub values: Vec<String>,
    /// Results of the runs with these values.
    #[serde(rename = "row")]
    pub summary: PolicySummary,
}

/// A scenario that a search found, shrunk and saved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoundScenario {
    /// Path of the scenario file.
    pub file: PathBuf,
    /// The broken invariant, or the gap between the upper bound's credit and the delivery policy's.
    #[serde(rename = "what")]
    pub description: String,
    /// Credit of the delivery policy.
    pub credit: f64,
    /// Credit of the baseline that attempts each message once.
    #[serde(rename = "one_try")]
    pub one_attempt_credit: f64,
    /// Credit of the upper bound.
    #[serde(rename = "ceiling")]
    pub upper_bound_credit: f64,
    /// Number of messages; a message that its program submits again counts once.
    #[serde(rename = "first_tries")]
    pub messages: u64,
}

/// The result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ExperimentResult {
    /// One run under each of one or more policies.
    Runs {
        /// One report for each policy.
        reports: Vec<Report>,
    },
    /// Several policies with the same seeds.
    Comparison {
        /// Name of the scenario.
        scenario: String,
        /// One summary for each policy.
        rows: Vec<PolicySummary>,
        /// The run with the first seed under each policy, for plots.
        #[serde(rename = "first_days")]
        first_runs: Vec<Report>,
    },
    /// Several policies with each combination of overridden scenario values.
    Sweep {
        /// Name of the scenario.
        scenario: String,
        /// The overridden keys.
        keys: Vec<String>,
        /// One row for each combination and policy.
        rows: Vec<SweepRow>,
    },
    /// A search of random scenarios.
    Search {
        /// Number of scenarios that were run.
        scenarios: usize,
        /// Number of scenarios in which the delivery policy broke an invariant.
        #[serde(rename = "with_broken_rules")]
        with_violations: usize,
        /// Number of scenarios in which the delivery policy earned clearly less credit than the baseline
        /// that attempts each message once.
        #[serde(rename = "under_one_try")]
        under_one_attempt: usize,
        /// The scenarios that were saved.
        found: Vec<FoundScenario>,
    },
    /// A scenario saved by a search, run again.
    Replay {
        /// Whether the scenario still shows what it was saved for.
        #[serde(rename = "seen")]
        reproduced: bool,
        /// The violation or credit gap that the scenario was saved for.
        #[serde(rename = "was")]
        description: String,
        /// Report of the run under the delivery policy.
        report: Box<Report>,
    },
}

impl ExperimentResult {
    /// Returns the name of the file that the result is saved in.
    fn file_name(&self) -> String {
        match self {
            ExperimentResult::Runs { reports } => {
                let name = |run: &Report| format!("{}-{}-{}", file_stem(&run.scenario), run.policy, run.seed);
                format!("run-{}.json", reports.first().map(name).unwrap_or_default())
            }
            ExperimentResult::Comparison { scenario, .. } => format!("compare-{}.json", file_stem(scenario)),
            ExperimentResult::Sweep { scenario, keys, .. } => {
                format!("sweep-{}-{}.json", file_stem(scenario), file_stem(&keys.join("-")))
            }
            ExperimentResult::Search { .. } => "search.json".to_owned(),
            ExperimentResult::Replay { .. } => "replay.json".to_owned(),
        }
    }

    /// Saves the result in a folder for [`crate::write_html_report`]; does nothing without a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or file can't be written.
    pub fn save(&self, folder: Option<&Path>) -> Result<(), ExperimentError> {
        let Some(folder) = folder else { return Ok(()) };
        fs::create_dir_all(folder).map_err(ExperimentError::file(folder, FileAction::Access))?;
        fs::write(folder.join(self.file_name()), self.to_json()?)
            .map_err(ExperimentError::file(folder, FileAction::Access))
    }

    /// Returns the result as JSON on one line.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
    pub fn to_json(&self) -> Result<String, ExperimentError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Returns false if an invariant was broken, or a replayed scenario no longer shows what it was saved
    /// for.
    pub(crate) fn is_success(&self) -> bool {
        match self {
            ExperimentResult::Runs { reports } => reports.iter().all(|report| report.rules_broken == 0),
            // Policies after the first are baselines, whose violations do not make the comparison fail.
            ExperimentResult::Comparison { rows, .. } => rows.iter().take(1).all(|row| row.violations == 0),
            ExperimentResult::Sweep { rows, .. } => rows.iter().all(|row| row.summary.violations == 0),
            ExperimentResult::Search { with_violations, .. } => *with_violations == 0,
            ExperimentResult::Replay { reproduced, .. } => *reproduced,
        }
    }
}

/// Replaces all characters but ASCII letters, digits and `-` with `_`, so that the text can be part of a file
/// name on every operating system.
fn file_stem(name: &str) -> String {
    name.replace(|character: char| !character.is_ascii_alphanumeric() && character != '-', "_")
}
