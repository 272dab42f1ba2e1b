//! Results of experiments, and their form as JSON: for machines, and kept in a folder for plots.
//!
//! The keys of the JSON form are fixed by `docs/experiments.md`; where a field has another name, `rename`
//! stands beside it.

use std::fs;
use std::path::{Path, PathBuf};

use reeddock_simulation::report::rounded;
use reeddock_simulation::Report;
use serde::{Deserialize, Serialize};

use crate::error::{ExperimentError, FileAction};

/// Mean, deviation and range of one measurement over several days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Arithmetic mean.
    pub mean: f64,
    /// Standard deviation of the sample; 0 for one day.
    pub deviation: f64,
    /// The least value.
    #[serde(rename = "least")]
    pub minimum: f64,
    /// The greatest value.
    #[serde(rename = "most")]
    pub maximum: f64,
}

impl Statistics {
    /// The statistics of these values; all are 0 where there are none.
    pub(crate) fn of(values: &[f64]) -> Statistics {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        Statistics {
            mean: rounded(mean),
            deviation: rounded((squares / (count - 1.0).max(1.0)).sqrt()),
            minimum: rounded(values.iter().copied().fold(f64::INFINITY, f64::min)),
            maximum: rounded(values.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
        }
    }

    /// The statistics of one measurement of each item.
    pub(crate) fn over<Item>(items: &[Item], measurement: impl Fn(&Item) -> f64) -> Statistics {
        Statistics::of(&items.iter().map(measurement).collect::<Vec<f64>>())
    }
}

/// One policy over several days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySummary {
    /// The policy's name on the command line.
    pub policy: String,
    /// Number of days.
    pub days: usize,
    /// What the days gave.
    #[serde(rename = "figures")]
    pub metrics: PolicyMetrics,
    /// Credit less that of the first policy on the same day.
    #[serde(rename = "against_first")]
    pub credit_difference: Statistics,
    /// Invariants broken, over all days.
    #[serde(rename = "rules_broken")]
    pub violations: usize,
    /// Days on which an invariant was broken.
    #[serde(rename = "days_with_broken_rules")]
    pub days_with_violations: usize,
    /// Times that a returning endpoint was overloaded and failed again, over all days.
    #[serde(rename = "falls")]
    pub overload_failures: u64,
}

/// Means over the days, and the statistics of credit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyMetrics {
    /// Share of the credit asked for that was earned.
    pub credit: Statistics,
    /// The same in the worst ten seconds.
    #[serde(rename = "worst_span")]
    pub worst_window_credit: f64,
    /// The same for the worst message class.
    #[serde(rename = "worst_category")]
    pub worst_class_credit: f64,
    /// Median latency of completed messages, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// Delivery attempts for each message, which counts once however often its program submits it.
    #[serde(rename = "dispatches_per_try")]
    pub attempts_per_message: f64,
    /// Attempts that endpoints rejected, for each message.
    #[serde(rename = "refusals_per_try")]
    pub rejections_per_message: f64,
    /// Share of the endpoints' work that completed no message.
    pub work_wasted: f64,
    /// Mean share of all requests that may be in flight that were, while messages arrive.
    #[serde(rename = "slots_used")]
    pub in_flight_used: f64,
}

impl PolicySummary {
    /// Summarizes the days of one policy, beside the same days of the first one.
    pub(crate) fn of(policy: &str, days: &[Report], days_of_first: &[Report]) -> PolicySummary {
        let same_days = days.iter().zip(days_of_first);
        let differences: Vec<f64> = same_days.map(|(own, first)| own.credit - first.credit).collect();
        PolicySummary {
            policy: policy.to_owned(),
            days: days.len(),
            metrics: PolicyMetrics::of(days),
            credit_difference: Statistics::of(&differences),
            violations: days.iter().map(|day| day.rules_broken).sum(),
            days_with_violations: days.iter().filter(|day| day.rules_broken > 0).count(),
            overload_failures: days.iter().map(|day| day.overloads).sum(),
        }
    }
}

impl PolicyMetrics {
    fn of(days: &[Report]) -> PolicyMetrics {
        let mean = |measurement: fn(&Report) -> f64| Statistics::over(days, measurement).mean;
        PolicyMetrics {
            credit: Statistics::over(days, |day| day.credit),
            worst_window_credit: mean(|day| day.credit_worst_span),
            worst_class_credit: mean(|day| day.credit_worst_class),
            p50_ms: mean(|day| day.latency_ms.p50 as f64),
            p99_ms: mean(|day| day.latency_ms.p99 as f64),
            attempts_per_message: mean(|day| day.attempts_per_submission),
            rejections_per_message: mean(|day| day.rejections_per_submission),
            work_wasted: mean(|day| day.work_wasted),
            in_flight_used: mean(|day| day.in_flight_used),
        }
    }
}

/// One policy at one combination of overridden scenario values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepRow {
    /// One value for each key, in their order.
    pub values: Vec<String>,
    /// What the days with these values gave.
    #[serde(rename = "row")]
    pub summary: PolicySummary,
}

/// A scenario that a search kept, as it was shrunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoundScenario {
    /// The scenario file.
    pub file: PathBuf,
    /// The broken invariant, or how far the delivery policy's credit lies under the upper bound.
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
    /// Messages, each counted once however often its program submits it.
    #[serde(rename = "first_tries")]
    pub messages: u64,
}

/// What an experiment gave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ExperimentResult {
    /// One day under one or more policies.
    Runs {
        /// One report for each policy.
        reports: Vec<Report>,
    },
    /// Several policies on the same days.
    Comparison {
        /// The scenario's name.
        scenario: String,
        /// One summary for each policy.
        rows: Vec<PolicySummary>,
        /// The first day under each policy, for plots.
        first_days: Vec<Report>,
    },
    /// Several policies at each combination of overridden scenario values.
    Sweep {
        /// The scenario's name.
        scenario: String,
        /// The overridden keys.
        keys: Vec<String>,
        /// One row for each combination and policy.
        rows: Vec<SweepRow>,
    },
    /// A search of random scenarios.
    Search {
        /// Scenarios played.
        scenarios: usize,
        /// Scenarios in which the delivery policy broke an invariant.
        #[serde(rename = "with_broken_rules")]
        with_violations: usize,
        /// Scenarios in which one attempt for each message earned clearly more than the delivery policy.
        #[serde(rename = "under_one_try")]
        under_one_attempt: usize,
        /// What was kept.
        found: Vec<FoundScenario>,
    },
    /// A scenario that a search had kept, played again.
    Replay {
        /// Whether it still shows what it was kept for.
        #[serde(rename = "seen")]
        reproduced: bool,
        /// What it was kept for.
        #[serde(rename = "was")]
        description: String,
        /// The delivery policy's report.
        report: Box<Report>,
    },
}

impl ExperimentResult {
    /// The name of the file that it is kept in.
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

    /// Keeps the result in a folder, if one is named, for [`crate::write_html_report`].
    ///
    /// # Errors
    ///
    /// A folder or file that can't be written.
    pub fn keep(&self, folder: Option<&Path>) -> Result<(), ExperimentError> {
        let Some(folder) = folder else { return Ok(()) };
        fs::create_dir_all(folder).map_err(ExperimentError::file(folder, FileAction::Access))?;
        fs::write(folder.join(self.file_name()), self.to_json()?)
            .map_err(ExperimentError::file(folder, FileAction::Access))
    }

    /// The result as JSON on one line.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
    pub fn to_json(&self) -> Result<String, ExperimentError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Whether no invariant was broken, and a replayed scenario shows what it was kept for.
    pub(crate) fn is_success(&self) -> bool {
        match self {
            ExperimentResult::Runs { reports } => reports.iter().all(|report| report.rules_broken == 0),
            // The baselines after the first policy are there to be measured, whatever they break.
            ExperimentResult::Comparison { rows, .. } => rows.iter().take(1).all(|row| row.violations == 0),
            ExperimentResult::Sweep { rows, .. } => rows.iter().all(|row| row.summary.violations == 0),
            ExperimentResult::Search { with_violations, .. } => *with_violations == 0,
            ExperimentResult::Replay { reproduced, .. } => *reproduced,
        }
    }
}

/// Characters that a file name may hold on any system; all others become `_`.
fn file_stem(name: &str) -> String {
    name.replace(|character: char| !character.is_ascii_alphanumeric() && character != '-', "_")
}
