//! Runs of the simulation on all cores. One thread plays a run from its beginning to its end; results are
//! collected in the order in which the runs were listed, whichever finished first.

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

/// Carries out experiments on a pool of threads of its own.
pub struct ExperimentRunner {
    pool: ThreadPool,
}

/// Several policies on the same days of one scenario.
pub struct ComparisonPlan {
    /// Policies to compare, each with the first.
    pub policies: PolicyList,
    /// Number of days; their seeds are 1 to this number.
    pub seeds: u64,
}

/// A comparison for each combination of overridden scenario values.
pub struct SweepPlan {
    /// The keys to override; the last one varies fastest.
    pub overrides: Vec<ScenarioOverride>,
    /// Policies to run at each combination.
    pub policies: PolicyList,
    /// Number of days for each combination; their seeds are 1 to this number.
    pub seeds: u64,
}

/// A scenario at one combination of overridden values.
pub(crate) struct ScenarioVariant {
    /// One value for each overridden key, in their order.
    pub(crate) values: Vec<String>,
    pub(crate) scenario: Scenario,
}

/// A scenario as its file has it, and at each combination of overridden values.
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

/// What a comparison of policies on several scenarios gave.
struct ComparedPolicies {
    /// One for each scenario and policy, in that order.
    summaries: Vec<PolicySummary>,
    /// The first day of the first scenario under each policy.
    first_days: Vec<Report>,
}

impl ScenarioVariants {
    /// Reads a scenario and puts in each combination of the overrides' values.
    pub(crate) fn read(
        file: &Path,
        overrides: &[ScenarioOverride],
    ) -> Result<ScenarioVariants, ExperimentError> {
        let text = fs::read_to_string(file).map_err(ExperimentError::file(file, FileAction::Read))?;
        let file_name = file.display().to_string();
        let unchanged = Scenario::parse(&file_name, &text, &[])?;
        let mut variants = Vec::new();
        for values in combinations(overrides) {
            let keys = overrides.iter().map(|one| &one.key);
            let replacements: Vec<ValueOverride> =
                keys.zip(&values).map(|(key, value)| ValueOverride::new(key, value)).collect();
            let scenario = Scenario::parse(&file_name, &text, &replacements)?;
            variants.push(ScenarioVariant { values, scenario });
        }
        Ok(ScenarioVariants { name: unchanged.name, variants })
    }
}

/// Each combination of the overrides' values; the last override varies fastest.
fn combinations(overrides: &[ScenarioOverride]) -> Vec<Vec<String>> {
    let mut combinations: Vec<Vec<String>> = vec![Vec::new()];
    for one in overrides {
        let mut longer = Vec::new();
        for combination in &combinations {
            let with = |value| [combination.as_slice(), std::slice::from_ref(value)].concat();
            longer.extend(one.values.iter().map(with));
        }
        combinations = longer;
    }
    combinations
}

/// A progress bar on standard error.
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
    /// A runner with this number of threads, or one thread for each core.
    ///
    /// # Errors
    ///
    /// No threads, or threads that the operating system does not give.
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

    /// Applies a function to each item on all threads, with a progress bar. The outputs are in the order of the
    /// items; collected as a `Result`, no further item is begun after an error.
    pub(crate) fn map<Item: Sync, Output: Send, Outputs: FromParallelIterator<Output> + Send>(
        &self,
        items: &[Item],
        message: &'static str,
        function: impl Fn(&Item) -> Output + Sync,
    ) -> Outputs {
        let bar = progress_bar(items.len() as u64, message);
        let counted = |item: &Item| {
            let output = function(item);
            bar.inc(1);
            output
        };
        let outputs = self.pool.install(|| items.par_iter().map(counted).collect());
        bar.finish_and_clear();
        outputs
    }

    /// The same as [`ExperimentRunner::map`] for runs, of which there are at least one and at most
    /// [`MAX_RUNS`].
    pub(crate) fn map_runs<Item: Sync, Output: Send>(
        &self,
        runs: &[Item],
        message: &'static str,
        play: impl Fn(&Item) -> Output + Sync,
    ) -> Result<Vec<Output>, ExperimentError> {
        check_run_count(runs.len() as u64)?;
        Ok(self.map(runs, message, play))
    }

    /// Plays one day of a scenario under each policy.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read.
    pub fn run(
        &self,
        file: &Path,
        seed: u64,
        policies: &PolicyList,
    ) -> Result<ExperimentResult, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let play = |policy: &BuiltInPolicy| run(&scenario, seed, *policy);
        Ok(ExperimentResult::Runs { reports: self.map(policies.as_slice(), "runs", play) })
    }

    /// Plays the same days of a scenario under each policy.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read, or no runs or too many.
    pub fn compare(&self, file: &Path, plan: &ComparisonPlan) -> Result<ExperimentResult, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let compared = self.compare_policies(&[&scenario], plan, "comparison")?;
        Ok(ExperimentResult::Comparison {
            scenario: scenario.name,
            rows: compared.summaries,
            first_days: compared.first_days,
        })
    }

    /// Plays the same days at each combination of overridden scenario values, under each policy.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read or does not have an overridden key, or no runs or too many.
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
        let keys = plan.overrides.iter().map(|one| one.key.clone()).collect();
        Ok(ExperimentResult::Sweep { scenario: name, keys, rows })
    }

    /// Plays the same days of each scenario under each policy.
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
        let reports: Vec<Report> = self.map(&runs, message, |one| run(one.scenario, one.seed, one.policy));
        let days = plan.seeds as usize;
        let mut summaries = Vec::new();
        for of_scenario in reports.chunks(days * policies.len()) {
            let of_first_policy = &of_scenario[..days];
            for (policy, of_policy) in policies.iter().zip(of_scenario.chunks(days)) {
                summaries.push(PolicySummary::of(policy.name(), of_policy, of_first_policy));
            }
        }
        let first_days = reports.chunks(days).take(policies.len()).map(|days| days[0].clone()).collect();
        Ok(ComparedPolicies { summaries, first_days })
    }
}
