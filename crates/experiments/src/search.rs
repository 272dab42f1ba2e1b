//! A search for faults: random scenarios run until the time limit, each under the delivery policy, under the
//! baseline with one attempt per message and under the upper bound. Scenarios in which the delivery policy
//! breaks an invariant or has the largest credit gap to the upper bound are shrunk and saved as files for
//! `replay`.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rayon::BroadcastContext;
use reeddock_simulation::invariants::Rule;
use reeddock_simulation::scenario::SearchFinding;
use reeddock_simulation::{run, BuiltInPolicy, Report, Scenario};

use crate::error::{ExperimentError, FileAction};
use crate::random_scenario::random_scenario;
use crate::results::{ExperimentResult, FoundScenario};
use crate::runner::{progress_bar, ExperimentRunner};
use crate::shrink::{shrink, ShrinkGoal};

/// Share of the search's duration in which random scenarios run; the rest is for shrinking.
const RUN_TIME_SHARE: f64 = 0.8;
/// Maximum number of scenarios that are shrunk for each invariant, because further ones mostly show the same
/// fault.
const MAX_FINDINGS_PER_INVARIANT: usize = 3;
/// Minimum difference in credit at which the delivery policy counts as worse than the baseline with one
/// attempt per message; smaller differences can be random.
const ONE_ATTEMPT_MARGIN: f64 = 0.01;
/// Number of low bits of a scenario's seed that one search varies, so that searches with different seeds run
/// different scenarios.
const SEED_BLOCK_BITS: u32 = 20;

/// A search for faults.
pub struct SearchPlan {
    /// Planned duration of the search; shrinking may take longer.
    pub duration: Duration,
    /// Seed of the sequence of random scenarios. How many of them run depends on the speed of the machine.
    pub seed: u64,
    /// Folder for the saved scenario files.
    pub out: PathBuf,
    /// Maximum number of scenarios that are saved for their credit gap to the upper bound, without a
    /// violation.
    pub max_credit_gap_findings: usize,
}

/// Reports of a scenario under the three policies of a search.
struct PolicyReports {
    delivery_policy: Report,
    one_attempt: Report,
    upper_bound: Report,
}

/// A violation of an invariant by the delivery policy.
struct Violation {
    rule: Rule,
    description: String,
}

/// Results of one random scenario, which can be generated again from its seed.
struct Candidate {
    seed: u64,
    /// The first violation of each invariant.
    violations: Vec<Violation>,
    credit: f64,
    one_attempt_credit: f64,
    upper_bound_credit: f64,
}

/// A scenario to shrink and save.
struct ShrinkTask<'a> {
    candidate: &'a Candidate,
    goal: ShrinkGoal,
    /// The violation or credit gap of the scenario before shrinking.
    description: String,
}

impl PolicyReports {
    fn of(scenario: &Scenario, seed: u64) -> PolicyReports {
        PolicyReports {
            delivery_policy: run(scenario, seed, BuiltInPolicy::DeliveryPolicy),
            one_attempt: run(scenario, seed, BuiltInPolicy::OneAttempt),
            upper_bound: run(scenario, seed, BuiltInPolicy::UpperBound),
        }
    }
}

impl Candidate {
    /// Generates and runs the scenario of a seed.
    fn run(seed: u64) -> Candidate {
        let reports = PolicyReports::of(&random_scenario(seed), seed);
        let mut violations: Vec<Violation> = Vec::new();
        for broken in &reports.delivery_policy.violations {
            if violations.iter().all(|earlier| earlier.rule != broken.rule) {
                violations.push(Violation { rule: broken.rule, description: broken.to_string() });
            }
        }
        Candidate {
            seed,
            violations,
            credit: reports.delivery_policy.credit,
            one_attempt_credit: reports.one_attempt.credit,
            upper_bound_credit: reports.upper_bound.credit,
        }
    }

    fn credit_gap(&self) -> f64 {
        self.upper_bound_credit - self.credit
    }
}

impl ExperimentRunner {
    /// Searches random scenarios for faults, and saves the shrunk scenarios in a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a file can't be written.
    pub fn search(&self, plan: &SearchPlan) -> Result<ExperimentResult, ExperimentError> {
        fs::create_dir_all(&plan.out).map_err(ExperimentError::file(&plan.out, FileAction::Access))?;
        let candidates = self.run_candidates(plan);
        let mut tasks = violation_tasks(&candidates);
        tasks.extend(credit_gap_tasks(&candidates, plan.max_credit_gap_findings));
        let found: Vec<_> = self.map(&tasks, "shrinking", |task| save_finding(task, &plan.out));
        let under_one_attempt =
            |candidate: &&Candidate| candidate.credit < candidate.one_attempt_credit - ONE_ATTEMPT_MARGIN;
        Ok(ExperimentResult::Search {
            scenarios: candidates.len(),
            with_violations: candidates.iter().filter(|candidate| !candidate.violations.is_empty()).count(),
            under_one_attempt: candidates.iter().filter(under_one_attempt).count(),
            found: found.into_iter().collect::<Result<Vec<_>, _>>()?,
        })
    }

    /// Runs random scenarios on all threads until the time limit. Returns their results in the order of the
    /// seeds.
    fn run_candidates(&self, plan: &SearchPlan) -> Vec<Candidate> {
        let start = Instant::now();
        let limit = plan.duration.mul_f64(RUN_TIME_SHARE);
        let bar = progress_bar(limit.as_secs().max(1), "search, seconds");
        let next_seed = AtomicU64::new(plan.seed << SEED_BLOCK_BITS);
        // Each thread takes the next seed until the time limit. Sorting makes the order independent of the
        // threads.
        let run_until_limit = |_: BroadcastContext<'_>| {
            let mut candidates = Vec::new();
            while start.elapsed() < limit {
                candidates.push(Candidate::run(next_seed.fetch_add(1, Ordering::Relaxed)));
                bar.set_position(start.elapsed().as_secs());
            }
            candidates
        };
        let mut candidates: Vec<Candidate> =
            self.pool().broadcast(run_until_limit).into_iter().flatten().collect();
        candidates.sort_by_key(|candidate| candidate.seed);
        bar.finish_and_clear();
        candidates
    }

    /// Runs a scenario that a search saved, and reports whether it still shows the broken invariant, or at
    /// least half the credit gap, that it was saved for.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario can't be read or was not written by a search.
    pub fn replay(&self, file: &Path) -> Result<ExperimentResult, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let Some(found) = &scenario.found else {
            return Err(ExperimentError::NoFinding(file.to_owned()));
        };
        let report = run(&scenario, found.seed, BuiltInPolicy::DeliveryPolicy);
        let (reproduced, description) = match found.rule {
            Some(rule) => {
                let description = format!("rule {} ({rule}) broken", rule.number());
                (report.violations.iter().any(|broken| broken.rule == rule), description)
            }
            None => {
                let upper_bound = run(&scenario, found.seed, BuiltInPolicy::UpperBound);
                let (saved_gap, gap) = (found.upper_bound - found.credit, upper_bound.credit - report.credit);
                (gap >= saved_gap / 2.0, format!("{saved_gap:.3} under the ceiling, now {gap:.3}"))
            }
        };
        Ok(ExperimentResult::Replay { reproduced, description, report: Box::new(report) })
    }
}

/// Returns a task for each of the first candidates that broke each invariant.
fn violation_tasks(candidates: &[Candidate]) -> Vec<ShrinkTask<'_>> {
    let mut tasks: Vec<ShrinkTask<'_>> = Vec::new();
    for candidate in candidates {
        for violation in &candidate.violations {
            let goal = ShrinkGoal::Violation(violation.rule);
            let same_rule_count = tasks.iter().filter(|task| task.goal == goal).count();
            if same_rule_count < MAX_FINDINGS_PER_INVARIANT {
                tasks.push(ShrinkTask { candidate, goal, description: violation.description.clone() });
            }
        }
    }
    tasks
}

/// Returns tasks for the candidates without a violation that have the largest credit gaps, in descending
/// order.
fn credit_gap_tasks(candidates: &[Candidate], count: usize) -> Vec<ShrinkTask<'_>> {
    let mut by_gap: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.violations.is_empty()).collect();
    by_gap.sort_by(|left, right| right.credit_gap().total_cmp(&left.credit_gap()));
    let task = |candidate| {
        let gap = Candidate::credit_gap(candidate);
        let description = format!("{gap:.3} under the ceiling");
        ShrinkTask { candidate, goal: ShrinkGoal::CreditGap(gap), description }
    };
    by_gap.into_iter().take(count).map(task).collect()
}

/// Shrinks a scenario and writes it to a file for `replay`.
fn save_finding(task: &ShrinkTask<'_>, folder: &Path) -> Result<FoundScenario, ExperimentError> {
    let seed = task.candidate.seed;
    let mut scenario = shrink(&random_scenario(seed), seed, task.goal);
    let reports = PolicyReports::of(&scenario, seed);
    let (rule, file_name) = match task.goal {
        ShrinkGoal::Violation(rule) => (Some(rule), format!("rule-{}-{seed}.toml", rule.number())),
        ShrinkGoal::CreditGap(_) => (None, format!("distance-{seed}.toml")),
    };
    scenario.about = task.description.lines().next().unwrap_or_default().to_owned();
    scenario.found = Some(SearchFinding {
        seed,
        rule,
        credit: reports.delivery_policy.credit,
        one_attempt: reports.one_attempt.credit,
        upper_bound: reports.upper_bound.credit,
    });
    let file = folder.join(file_name);
    fs::write(&file, scenario.to_text()).map_err(ExperimentError::file(&file, FileAction::Access))?;
    let violation = reports.delivery_policy.violations.iter().find(|broken| Some(broken.rule) == rule);
    Ok(FoundScenario {
        file,
        description: violation.map_or_else(|| task.description.clone(), ToString::to_string),
        credit: reports.delivery_policy.credit,
        one_attempt_credit: reports.one_attempt.credit,
        upper_bound_credit: reports.upper_bound.credit,
        messages: reports.delivery_policy.submissions,
    })
}
