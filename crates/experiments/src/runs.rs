//! Runs side by side. Each run is one thread's; results are gathered in the order in which they were asked
//! for, whoever was done first.

use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use rayon::{ThreadPool, ThreadPoolBuilder};
use reeddock_simulation::{run, BuiltInPolicy, Report, Scenario};

use crate::results::{Result, Row, SweepRow};
use crate::{ExperimentError, Policies, Setting};

pub struct Lab {
    pool: ThreadPool,
}

pub struct Comparison {
    pub policies: Policies,
    pub seeds: u64,
}

pub struct Sweep {
    pub settings: Vec<Setting>,
    pub policies: Policies,
    pub seeds: u64,
}

/// Most runs of one sweep.
const MOST_RUNS: u64 = 100_000;

pub(crate) fn progress(length: u64, what: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(length).with_message(what);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// A scenario as it stands, the points that settings span, and the scenario at each point.
pub(crate) type Points = (Scenario, Vec<Vec<(String, String)>>, Vec<Scenario>);

/// Reads a scenario and puts each combination of the settings' values in.
pub(crate) fn points(file: &Path, settings: &[Setting]) -> std::result::Result<Points, ExperimentError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| ExperimentError::line(format!("{}: cannot be read: {e}", file.display())))?;
    let name = file.display().to_string();
    let plain = Scenario::parse(&name, &text, &[])?;
    let mut points: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for setting in settings {
        let with = |point: &Vec<(String, String)>| -> Vec<Vec<(String, String)>> {
            let further = setting.values.iter().map(|v| (setting.key.clone(), v.clone()));
            further.map(|f| point.iter().cloned().chain([f]).collect()).collect()
        };
        points = points.iter().flat_map(with).collect();
    }
    let read =
        |point: &Vec<(String, String)>| Scenario::parse(&name, &text, point).map_err(ExperimentError::from);
    let scenarios = points.iter().map(read).collect::<std::result::Result<Vec<_>, _>>()?;
    Ok((plain, points, scenarios))
}

impl Lab {
    /// With so many threads; with all cores where none are named.
    pub fn with_threads(threads: Option<usize>) -> std::result::Result<Lab, ExperimentError> {
        if threads == Some(0) {
            return Err(ExperimentError::line("--threads is 0: expected 1 or more"));
        }
        let pool = ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build();
        Ok(Lab { pool: pool.map_err(ExperimentError::line)? })
    }

    /// Plays all of these, in this order, on all threads.
    pub(crate) fn play(&self, runs: &[(&Scenario, u64, BuiltInPolicy)], what: &'static str) -> Vec<Report> {
        let bar = progress(runs.len() as u64, what);
        let one = |(scenario, seed, policy): &(&Scenario, u64, BuiltInPolicy)| {
            let report = run(scenario, *seed, *policy);
            bar.inc(1);
            report
        };
        let reports = self.pool.install(|| runs.par_iter().map(one).collect());
        bar.finish_and_clear();
        reports
    }

    /// Does the same with each of these, in this order, on all threads.
    pub(crate) fn gather<Run: Sync, Day: Send>(
        &self,
        runs: &[Run],
        what: &'static str,
        one: impl Fn(&Run) -> Day + Sync,
    ) -> std::result::Result<Vec<Day>, ExperimentError> {
        if runs.is_empty() || runs.len() as u64 > MOST_RUNS {
            let many = runs.len();
            return Err(ExperimentError::line(format!(
                "{many} runs: expected 1 seed or more, and {MOST_RUNS} runs at most"
            )));
        }
        let bar = progress(runs.len() as u64, what);
        let counted = |run: &Run| {
            let day = one(run);
            bar.inc(1);
            day
        };
        let days = self.pool.install(|| runs.par_iter().map(counted).collect());
        bar.finish_and_clear();
        Ok(days)
    }

    pub(crate) fn pool(&self) -> &ThreadPool {
        &self.pool
    }

    pub fn run(
        &self,
        file: &Path,
        seed: u64,
        policies: &Policies,
    ) -> std::result::Result<Result, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let runs: Vec<_> = policies.0.iter().map(|p| (&scenario, seed, *p)).collect();
        Ok(Result::Runs { reports: self.play(&runs, "runs") })
    }

    pub fn compare(&self, file: &Path, what: &Comparison) -> std::result::Result<Result, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let (rows, first_days) = self.rows(&[&scenario], what, "comparison")?;
        Ok(Result::Comparison { scenario: scenario.name, rows, first_days })
    }

    pub fn sweep(&self, file: &Path, what: &Sweep) -> std::result::Result<Result, ExperimentError> {
        let (plain, points, scenarios) = points(file, &what.settings)?;
        let comparison = Comparison { policies: what.policies.clone(), seeds: what.seeds };
        let (rows, _) = self.rows(&scenarios.iter().collect::<Vec<_>>(), &comparison, "sweep")?;
        let each = what.policies.0.len();
        let values = |n: usize| points[n / each].iter().map(|p| p.1.clone()).collect();
        let rows = rows.into_iter().enumerate().map(|(n, row)| SweepRow { values: values(n), row }).collect();
        let keys = what.settings.iter().map(|s| s.key.clone()).collect();
        Ok(Result::Sweep { scenario: plain.name, keys, rows })
    }

    /// A row for each scenario and policy, and the first day's reports of the first scenario.
    fn rows(
        &self,
        scenarios: &[&Scenario],
        what: &Comparison,
        name: &'static str,
    ) -> std::result::Result<(Vec<Row>, Vec<Report>), ExperimentError> {
        let policies = &what.policies.0;
        let all = scenarios.len() as u64 * policies.len() as u64 * what.seeds;
        if what.seeds == 0 || all > MOST_RUNS {
            return Err(ExperimentError::line(format!(
                "{all} runs: expected 1 seed or more, and {MOST_RUNS} runs at most"
            )));
        }
        let mut runs = Vec::new();
        for scenario in scenarios {
            for policy in policies {
                runs.extend((1..=what.seeds).map(|seed| (*scenario, seed, *policy)));
            }
        }
        let reports = self.play(&runs, name);
        let days = what.seeds as usize;
        let mut rows = Vec::new();
        for of_scenario in reports.chunks(days * policies.len()) {
            let first = &of_scenario[..days];
            for (policy, of_policy) in policies.iter().zip(of_scenario.chunks(days)) {
                rows.push(Row::of(policy.name(), of_policy, first));
            }
        }
        let first_days = reports.chunks(days).take(policies.len()).map(|c| c[0].clone()).collect();
        Ok((rows, first_days))
    }
}
