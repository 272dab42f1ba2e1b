//! A search for faults: random scenarios are played until the time is up, each by the delivery policy, by one
//! attempt for each message and by the upper bound. Scenarios in which the delivery policy breaks an invariant
//! or lies farthest under the upper bound are shrunk, and each is kept as a file that replays it.

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

/// Share of the time in which random scenarios are played; the rest is for shrinking.
const PLAYING_SHARE: f64 = 0.8;
/// Scenarios that are shrunk for each invariant: more of them mostly show the same fault.
const MAX_FINDINGS_OF_A_RULE: usize = 3;
/// Credit by which the delivery policy must lie under one attempt for each message to be counted: less is noise.
const ONE_ATTEMPT_MARGIN: f64 = 0.01;
/// The seeds of one search lie in a block of this many bits, so that searches of different seeds share none.
const SEED_BLOCK_BITS: u32 = 20;

/// A search for faults.
pub struct SearchPlan {
    /// How long the search takes.
    pub duration: Duration,
    /// The same seed draws the same scenarios; how many of them are reached depends on the machine.
    pub seed: u64,
    /// The folder for the scenario files that are kept.
    pub out: PathBuf,
    /// Scenarios kept for the credit gap to the upper bound alone.
    pub keep: usize,
}

/// A scenario under the three policies of a search.
struct PolicyReports {
    delivery_policy: Report,
    one_attempt: Report,
    upper_bound: Report,
}

/// An invariant that the delivery policy broke.
struct Violation {
    rule: Rule,
    description: String,
}

/// What is kept of one random scenario; the scenario itself is drawn again from its seed.
struct Candidate {
    seed: u64,
    /// The first violation of each invariant.
    violations: Vec<Violation>,
    credit: f64,
    one_attempt_credit: f64,
    upper_bound_credit: f64,
}

/// A scenario to be shrunk and kept.
struct ShrinkTask<'a> {
    candidate: &'a Candidate,
    goal: ShrinkGoal,
    /// What the whole scenario showed.
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
    /// Draws and plays the scenario of a seed.
    fn play(seed: u64) -> Candidate {
        let reports = PolicyReports::of(&random_scenario(seed), seed);
        let mut violations: Vec<Violation> = Vec::new();
        for broken in &reports.delivery_policy.violations {
            if violations.iter().all(|known| known.rule != broken.rule) {
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
    /// Searches random scenarios, and keeps what it finds in a folder.
    ///
    /// # Errors
    ///
    /// A folder or file that can't be written.
    pub fn search(&self, plan: &SearchPlan) -> Result<ExperimentResult, ExperimentError> {
        fs::create_dir_all(&plan.out).map_err(ExperimentError::file(&plan.out, FileAction::Access))?;
        let candidates = self.play_candidates(plan);
        let mut tasks = violation_tasks(&candidates);
        tasks.extend(credit_gap_tasks(&candidates, plan.keep));
        let found: Vec<_> = self.map(&tasks, "shrinking", |task| keep_finding(task, &plan.out));
        let under_one_attempt =
            |candidate: &&Candidate| candidate.credit < candidate.one_attempt_credit - ONE_ATTEMPT_MARGIN;
        Ok(ExperimentResult::Search {
            scenarios: candidates.len(),
            with_violations: candidates.iter().filter(|one| !one.violations.is_empty()).count(),
            under_one_attempt: candidates.iter().filter(under_one_attempt).count(),
            found: found.into_iter().collect::<Result<Vec<_>, _>>()?,
        })
    }

    /// Plays random scenarios on all threads until the time is up; in the order of their seeds.
    fn play_candidates(&self, plan: &SearchPlan) -> Vec<Candidate> {
        let begun = Instant::now();
        let limit = plan.duration.mul_f64(PLAYING_SHARE);
        let bar = progress_bar(limit.as_secs().max(1), "search, seconds");
        let next_seed = AtomicU64::new(plan.seed << SEED_BLOCK_BITS);
        // Each thread takes the next seed until the time is up; sorting hides which thread took which.
        let play_until_limit = |_: BroadcastContext<'_>| {
            let mut candidates = Vec::new();
            while begun.elapsed() < limit {
                candidates.push(Candidate::play(next_seed.fetch_add(1, Ordering::Relaxed)));
                bar.set_position(begun.elapsed().as_secs());
            }
            candidates
        };
        let mut candidates: Vec<Candidate> =
            self.pool().broadcast(play_until_limit).into_iter().flatten().collect();
        candidates.sort_by_key(|candidate| candidate.seed);
        bar.finish_and_clear();
        candidates
    }

    /// Plays a scenario that a search kept, and says whether it still shows what it was kept for: the broken
    /// invariant, or at least half the credit gap.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read, or that no search wrote.
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
                let (then, now) = (found.upper_bound - found.credit, upper_bound.credit - report.credit);
                (now >= then / 2.0, format!("{then:.3} under the ceiling, now {now:.3}"))
            }
        };
        Ok(ExperimentResult::Replay { reproduced, description, report: Box::new(report) })
    }
}

/// The first candidates that broke each invariant.
fn violation_tasks(candidates: &[Candidate]) -> Vec<ShrinkTask<'_>> {
    let mut tasks: Vec<ShrinkTask<'_>> = Vec::new();
    for candidate in candidates {
        for violation in &candidate.violations {
            let goal = ShrinkGoal::Violation(violation.rule);
            let of_the_same_rule = tasks.iter().filter(|task| task.goal == goal).count();
            if of_the_same_rule < MAX_FINDINGS_OF_A_RULE {
                tasks.push(ShrinkTask { candidate, goal, description: violation.description.clone() });
            }
        }
    }
    tasks
}

/// The candidates without a violation that lie farthest under the upper bound, the farthest first.
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

/// Shrinks a scenario and writes it to a file that `replay` reads.
fn keep_finding(task: &ShrinkTask<'_>, folder: &Path) -> Result<FoundScenario, ExperimentError> {
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
