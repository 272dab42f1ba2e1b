//! A search: scenarios are drawn until the time is up, each is played by the delivery policy, one try and the ceiling;
//! what breaks a rule or lies farthest under the ceiling is shrunk and kept as a file that replays it.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rayon::prelude::*;
use rayon::BroadcastContext;
use reeddock_simulation::invariants::Rule;
use reeddock_simulation::scenario::SearchFinding;
use reeddock_simulation::{run, BuiltInPolicy, Scenario};

use crate::draw::draw;
use crate::results::{Finding, Result};
use crate::runs::{progress, Lab};
use crate::shrink::{shrink, Want};
use crate::ExperimentError;

pub struct Search {
    pub lasts: Duration,
    pub seed: u64,
    pub out: PathBuf,
    pub keep: usize,
}

/// Part of the time that drawing takes; the rest is for shrinking.
const DRAWING: f64 = 0.8;
/// Findings of one rule that are shrunk.
const MOST_OF_A_RULE: usize = 3;

/// What one drawn scenario came to.
struct Seen {
    seed: u64,
    rules: Vec<(Rule, String)>,
    credit: f64,
    one_try: f64,
    ceiling: f64,
}

fn see(seed: u64) -> Seen {
    let scenario = draw(seed);
    let module = run(&scenario, seed, BuiltInPolicy::DeliveryPolicy);
    let one_try = run(&scenario, seed, BuiltInPolicy::OneAttempt);
    let ceiling = run(&scenario, seed, BuiltInPolicy::UpperBound);
    let mut rules: Vec<(Rule, String)> = Vec::new();
    for broken in &module.violations {
        if rules.iter().all(|r| r.0 != broken.rule) {
            rules.push((broken.rule, broken.to_string()));
        }
    }
    Seen { seed, rules, credit: module.credit, one_try: one_try.credit, ceiling: ceiling.credit }
}

impl Lab {
    pub fn search(&self, what: &Search) -> std::result::Result<Result, ExperimentError> {
        std::fs::create_dir_all(&what.out)
            .map_err(|e| ExperimentError::line(format!("{}: {e}", what.out.display())))?;
        let begun = Instant::now();
        let until = what.lasts.mul_f64(DRAWING);
        let bar = progress(until.as_secs().max(1), "search, seconds");
        let next = AtomicU64::new(what.seed << 20);
        // Each thread takes the next seed until the time is up; which one took which is put out of sight.
        let draws = |_: BroadcastContext<'_>| {
            let mut seen = Vec::new();
            while begun.elapsed() < until {
                seen.push(see(next.fetch_add(1, Ordering::Relaxed)));
                bar.set_position(begun.elapsed().as_secs());
            }
            seen
        };
        let mut all: Vec<Seen> = self.pool().broadcast(draws).into_iter().flatten().collect();
        all.sort_by_key(|s| s.seed);
        bar.finish_and_clear();

        let mut wanted: Vec<(&Seen, Want, String)> = Vec::new();
        for seen in &all {
            for (rule, told) in &seen.rules {
                let same = |w: &&(&Seen, Want, String)| w.1 == Want::Broken(*rule);
                if wanted.iter().filter(same).count() < MOST_OF_A_RULE {
                    wanted.push((seen, Want::Broken(*rule), told.clone()));
                }
            }
        }
        let mut by_distance: Vec<&Seen> = all.iter().filter(|s| s.rules.is_empty()).collect();
        by_distance.sort_by(|a, b| (b.ceiling - b.credit).total_cmp(&(a.ceiling - a.credit)));
        for seen in by_distance.into_iter().take(what.keep) {
            let distance = seen.ceiling - seen.credit;
            let told = format!("{distance:.3} under the ceiling");
            wanted.push((seen, Want::Distance(distance), told));
        }
        let bar = progress(wanted.len() as u64, "shrinking");
        let one = |(seen, want, told): &(&Seen, Want, String)| {
            let found = self.keep_finding(seen, *want, told, &what.out);
            bar.inc(1);
            found
        };
        let found = self.pool().install(|| wanted.par_iter().map(one).collect::<Vec<_>>());
        bar.finish_and_clear();
        Ok(Result::Search {
            scenarios: all.len(),
            with_broken_rules: all.iter().filter(|s| !s.rules.is_empty()).count(),
            under_one_try: all.iter().filter(|s| s.credit < s.one_try - 0.01).count(),
            found: found.into_iter().collect::<std::result::Result<Vec<_>, _>>()?,
        })
    }

    fn keep_finding(
        &self,
        seen: &Seen,
        want: Want,
        told: &str,
        folder: &Path,
    ) -> std::result::Result<Finding, ExperimentError> {
        let mut small = shrink(&draw(seen.seed), seen.seed, want);
        let [module, one_try, ceiling] =
            [BuiltInPolicy::DeliveryPolicy, BuiltInPolicy::OneAttempt, BuiltInPolicy::UpperBound]
                .map(|p| run(&small, seen.seed, p));
        let rule = match want {
            Want::Broken(rule) => Some(rule),
            Want::Distance(_) => None,
        };
        small.about = told.lines().next().unwrap_or_default().to_owned();
        small.found = Some(SearchFinding {
            seed: seen.seed,
            rule,
            credit: module.credit,
            one_attempt: one_try.credit,
            upper_bound: ceiling.credit,
        });
        let name = match rule {
            Some(rule) => format!("rule-{}-{}.toml", rule.number(), seen.seed),
            None => format!("distance-{}.toml", seen.seed),
        };
        let file = folder.join(name);
        std::fs::write(&file, small.to_text())
            .map_err(|e| ExperimentError::line(format!("{}: {e}", file.display())))?;
        let now = module.violations.iter().find(|b| Some(b.rule) == rule).map(ToString::to_string);
        Ok(Finding {
            file,
            what: now.unwrap_or_else(|| told.to_owned()),
            credit: module.credit,
            one_try: one_try.credit,
            ceiling: ceiling.credit,
            first_tries: module.submissions,
        })
    }

    pub fn replay(&self, file: &Path) -> std::result::Result<Result, ExperimentError> {
        let scenario = Scenario::read(file)?;
        let Some(found) = scenario.found.clone() else {
            let what = "holds no [found] with a seed: expected a file that a search wrote";
            return Err(ExperimentError::line(format!("{}: {what}", file.display())));
        };
        let module = run(&scenario, found.seed, BuiltInPolicy::DeliveryPolicy);
        let (seen, was) = match found.rule {
            Some(rule) => {
                let was = format!("rule {} ({rule:?}) broken", rule.number());
                (module.violations.iter().any(|b| b.rule == rule), was)
            }
            None => {
                let ceiling = run(&scenario, found.seed, BuiltInPolicy::UpperBound);
                let (then, now) = (found.upper_bound - found.credit, ceiling.credit - module.credit);
                (now >= then / 2.0, format!("{then:.3} under the ceiling, now {now:.3}"))
            }
        };
        Ok(Result::Replay { seen, was, report: Box::new(module) })
    }
}
