//! Runs of the simulation on all cores. Each run is executed by one thread; results are in the order of the
//! runs, whichever finishes first.

use std::fs;
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use rayon::{ThreadPool, ThreadPoolBuilder};
use reeddock_simulation::scenario::ValueOverride;
use reeddock_simulation::{run, BuiltInPolicy, Report, Scenario};

use crate::arguments::{PolicyList, ScenarioOverride};
use crate::error::{ExperimentError, FileAction};
use crate::limits::MAX_RUNS;
use crate::results::{ExperimentResult, PolicySummary, SweepRow};

/// Executes experiments on a separate thread pool.
pub struct ExperimentRunner {
    pool: ThreadPool,
}

/// A comparison of several policies on one scenario with the same seeds.
pub struct ComparisonPlan {
    /// Policies to compare; each is compared with the first.
    pub policies: PolicyList,
    /// Number of runs of each policy; their seeds are 1 to this number.
    pub seeds: u64,
}

/// A comparison for each combination of overridden scenario values.
pub struct SweepPlan {
    /// Keys to override and their values; the last key varies fastest.
    pub overrides: Vec<ScenarioOverride>,
    /// Policies to run with each combination of values.
    pub policies: PolicyList,
    /// Number of runs of each policy and combination; their seeds are 1 to this number.
    pub seeds: u64,
}

/// A scenario with one combination of overridden values.
pub(crate) struct ScenarioVariant {
    /// One value for each overridden key, in their order.
    pub(crate) values: Vec<String>,
    pub(crate) scenario: Scenario,
}

/// The name of a scenario, and its variants with each combination of overridden values.
pub(crate) struct ScenarioVariants {
    pub(crate) name: String,
    pub(crate) variants: Vec<ScenarioVariant>,
}

/// One run of the simulation under a built-in policy.
pub(crate) struct Run<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) seed: u64,
    pub(crate) policy: BuiltInPolicy,
}

/// Results of comparing policies on several scenarios.
struct ComparedPolicies {
    /// One summary for each scenario and policy, ordered by scenario, then by policy.
    summaries: Vec<PolicySummary>,
    /// The run of the first scenario with the first seed, under each policy.
    first_runs: Vec<Report>,
}

impl ScenarioVariants {
    /// Reads a scenario and applies each combination of the overrides' values.
    pub(crate) fn read(
        file: &Path,
        overrides: &[ScenarioOverride],
    ) -> Result<ScenarioVariants, ExperimentError> {
        let text = fs::read_to_string(file).map_err(ExperimentError::file(file, FileAction::Read))?;
        let file_name = file.display().to_string();
        let base_scenario = Scenario::parse(&file_name, &text, &[])?;
        let mut variants = Vec::new();
        for values in combinations(overrides) {
            let keys = overrides.iter().map(|key_override| &key_override.key);
            let replacements: Vec<ValueOverride> =
                keys.zip(&values).map(|(key, value)| ValueOverride::new(key, value)).collect();
            let scenario = Scenario::parse(&file_name, &text, &replacements)?;
            variants.push(ScenarioVariant { values, scenario });
        }
        Ok(ScenarioVariants { name: base_scenario.name, variants })
    }
}

/// Returns each combination of the overrides' values; the last override varies fastest.
fn combinations(overrides: &[ScenarioOverride]) -> Vec<Vec<String>> {
    let mut combinations: Vec<Vec<String>> = vec![Vec::new()];
    for key_override in overrides {
        let mut extended = Vec::new();
        for combination in &combinations {
            let append = |value| [combination.as_slice(), std::slice::from_ref(value)].concat();
            extended.extend(key_override.values.iter().map(append));
        }
        combinations = extended;
    }
    combinations
}

/// Returns a progress bar that is drawn on standard error.
pub(crate) fn progress_bar(length: u64, message: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(length).with_message(message);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn check_run_count(count: u64) -> Result<(), ExperimentError> {
    if count == 0 || count > MAX_RUNS {
        return Err(ExperimentError::RunCount(count));
    }
    Ok(())
}

impl ExperimentRunner {
    /// Creates a runner with this number of threads; `None` means one thread for each core.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is 0 or the threads can't be started.
    pub fn with_threads(threads: Option<usize>) -> Result<ExperimentRunner, ExperimentError> {
        if threads == Some(0) {
            return Err(ExperimentError::NoThreads);
        }
        let pool = ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build()?;
        Ok(ExperimentRunner { pool })
    }

    pub(crate) fn pool(&self) -> &ThreadPool {
        &self.pool
    }

    /// Applies a function to each item on all threads and shows a progress bar. Outputs are in the order of
    /// the items. If they are collected into a `Result`, no further item is started after an error.
    pub(crate) fn map<Item: Sync, Output: Send, Outputs: FromParallelIterator<Output> + Send>(
        &self,
        items: &[Item],
        message: &'static str,
        function: impl Fn(&Item) -> Output + Sync,
    ) -> Outputs {
        let bar = progress_bar(items.len() as u64, message);
        let apply_and_count = |item: &Item| {
            let output = function(item);
            bar.inc(1);
            output
        };
        let outputs = self.pool.install(|| items.par_iter().map(apply_and_count).collect());
        bar.finish_and_clear();
        outputs
    }

    /// Calls [`ExperimentRunner::map`] for runs; returns an error if there are none or more than
    /// [`MAX_RUNS`].
    pub(crate) fn map_runs<Item: Sync, Output: Send>(
        &self,
        runs: &[Item],
        message: &'static str,
        execute: impl Fn(&Item) -> Output + Sync,
    ) -> Result<Vec<Output>, ExperimentError> {
        check_run_count(runs.len() as u64)?;
        Ok(self.map(runs, message, execute))
    }

    /// Runs a scenario once under each policy.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario can't be read.
    pub fn run(
        &self,
        file: &Path,
        seed: u64,
        policies: &PolicyList,
    ) -> Result<ExperimentResult, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let execute = |policy: &BuiltInPolicy| run(&scenario, seed, *policy);
        Ok(ExperimentResult::Runs { reports: self.map(policies.as_slice(), "runs", execute) })
    }

    /// Runs a scenario under each policy with the same seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario can't be read or the number of runs is out of range.
    pub fn compare(&self, file: &Path, plan: &ComparisonPlan) -> Result<ExperimentResult, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let compared = self.compare_policies(&[&scenario], plan, "comparison")?;
        Ok(ExperimentResult::Comparison {
            scenario: scenario.name,
            rows: compared.summaries,
            first_runs: compared.first_runs,
        })
    }

    /// Runs a scenario with each combination of overridden values under each policy, with the same seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario can't be read or lacks an overridden key, or the number of runs is
    /// out of range.
    pub fn sweep(&self, file: &Path, plan: &SweepPlan) -> Result<ExperimentResult, ExperimentError> {
        let ScenarioVariants { name, variants } = ScenarioVariants::read(file, &plan.overrides)?;
        let scenarios: Vec<&Scenario> = variants.iter().map(|variant| &variant.scenario).collect();
        let comparison = ComparisonPlan { policies: plan.policies.clone(), seeds: plan.seeds };
        let compared = self.compare_policies(&scenarios, &comparison, "sweep")?;
        let mut rows = Vec::new();
        for (variant, summaries) in
            variants.iter().zip(compared.summaries.chunks(plan.policies.as_slice().len()))
        {
            let row = |summary: &PolicySummary| SweepRow {
                values: variant.values.clone(),
                summary: summary.clone(),
            };
            rows.extend(summaries.iter().map(row));
        }
        let keys = plan.overrides.iter().map(|key_override| key_override.key.clone()).collect();
        Ok(ExperimentResult::Sweep { scenario: name, keys, rows })
    }

    /// Runs each scenario under each policy with the same seeds.
    fn compare_policies(
        &self,
        scenarios: &[&Scenario],
        plan: &ComparisonPlan,
        message: &'static str,
    ) -> Result<ComparedPolicies, ExperimentError> {
        let policies = plan.policies.as_slice();
        check_run_count(scenarios.len() as u64 * policies.len() as u64 * plan.seeds)?;
        let mut runs = Vec::new();
        for scenario in scenarios {
            for policy in policies {
                runs.extend((1..=plan.seeds).map(|seed| Run { scenario, seed, policy: *policy }));
            }
        }
        let reports: Vec<Report> =
            self.map(&runs, message, |planned| run(planned.scenario, planned.seed, planned.policy));
        let run_count = plan.seeds as usize;
        let mut summaries = Vec::new();
        for scenario_reports in reports.chunks(run_count * policies.len()) {
            let first_policy_reports = &scenario_reports[..run_count];
            for (policy, policy_reports) in policies.iter().zip(scenario_reports.chunks(run_count)) {
                summaries.push(PolicySummary::of(policy.name(), policy_reports, first_policy_reports));
            }
        }
        let first_runs = reports.chunks(run_count).take(policies.len()).map(|runs| runs[0].clone()).collect();
        Ok(ComparedPolicies { summaries, first_runs })
    }
}
