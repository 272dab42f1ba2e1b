//! What a fleet sends to destinations that come back cold, summed over all its forwarders, against the budget
//! over which they fall.

use std::path::Path;
use std::process::ExitCode;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use reeddock_simulation::observed::Ramp;
use reeddock_simulation::report::rounded;
use reeddock_simulation::{observe, BuiltInPolicy, Scenario};
use serde::Serialize;

use crate::results::Spread;
use crate::runs::{points, Comparison, Lab};
use crate::{ExperimentError, Setting};

/// The ramps of one scenario, policy and size of destination, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct RampRow {
    /// One value for each key that was set.
    pub values: Vec<String>,
    pub policy: String,
    /// Calls a second that the destination gets on a usual day, from all forwarders.
    pub usual_per_s: f64,
    pub seeds: u64,
    /// Returns from an outage that was no fall.
    pub returns: usize,
    /// The worst windowed sum against N + 2 * sqrt(N) + 2, over the returns.
    pub ratio: Spread,
    pub ratio_median: f64,
    /// N in the worst windows, and the sum.
    pub allowed: Spread,
    pub sum: Spread,
    /// Part of the sum from forwarders that had been told of the outage.
    pub known: Spread,
    /// Seeds on which an endpoint fell.
    pub seeds_over: usize,
    /// Seeds on which the rule was broken: over two thirds of a fall came from those that had been told.
    pub seeds_broken: usize,
}

/// A table of ramps.
#[derive(Clone, Debug, Serialize)]
pub struct Ramps {
    pub scenario: String,
    pub keys: Vec<String>,
    pub rows: Vec<RampRow>,
}

/// One run's ramps.
struct Day {
    ramps: Vec<Ramp>,
}

impl Lab {
    /// Plays a scenario with each setting, under each policy, over the seeds from 1 up.
    pub fn ramps(
        &self,
        file: &Path,
        settings: &[Setting],
        what: &Comparison,
    ) -> std::result::Result<Ramps, ExperimentError> {
        let (plain, points, scenarios) = points(file, settings)?;
        let mut runs: Vec<(&Scenario, u64, BuiltInPolicy)> = Vec::new();
        for scenario in &scenarios {
            for policy in &what.policies.0 {
                runs.extend((1..=what.seeds).map(|seed| (scenario, seed, *policy)));
            }
        }
        let days = self.gather(&runs, "ramps", |(scenario, seed, policy)| {
            let run =
                observe(scenario, *seed, policy.name(), &|now, terms, host| policy.open(now, terms, host));
            Day { ramps: run.observed.ramps }
        })?;
        let each = what.policies.0.len();
        let mut rows = Vec::new();
        for (n, of_row) in days.chunks(what.seeds as usize).enumerate() {
            let values: Vec<String> = points[n / each].iter().map(|p| p.1.clone()).collect();
            rows.extend(rows_of(&values, what.policies.0[n % each].name(), of_row));
        }
        let keys = settings.iter().map(|s| s.key.clone()).collect();
        Ok(Ramps { scenario: plain.name, keys, rows })
    }
}

/// A row for each size of destination, the busiest first.
fn rows_of(values: &[String], policy: &str, days: &[Day]) -> Vec<RampRow> {
    let first = |r: &&Ramp| !r.after_overload;
    let ramps = || days.iter().flat_map(|d| &d.ramps).filter(first);
    let mut sizes: Vec<f64> = ramps().map(|r| rounded(r.baseline_per_s)).collect();
    sizes.sort_by(|a, b| b.total_cmp(a));
    sizes.dedup();
    sizes.into_iter().map(|size| row_of(values, policy, days, size)).collect()
}

fn row_of(values: &[String], policy: &str, days: &[Day], size: f64) -> RampRow {
    let mine = |r: &&Ramp| !r.after_overload && rounded(r.baseline_per_s) == size;
    let all: Vec<&Ramp> = days.iter().flat_map(|d| &d.ramps).filter(mine).collect();
    let spread = |f: &dyn Fn(&Ramp) -> f64| Spread::of(&all.iter().map(|r| f(r)).collect::<Vec<f64>>());
    let mut ratios: Vec<f64> = all.iter().map(|r| r.ratio()).collect();
    ratios.sort_by(f64::total_cmp);
    let known = |r: &Ramp| if r.sum > 0.0 { r.known / r.sum } else { 0.0 };
    let broken = |r: &&Ramp| r.overloaded && 3.0 * r.known > 2.0 * r.sum;
    let seeds_with = |f: &dyn Fn(&&Ramp) -> bool| {
        days.iter().filter(|d| d.ramps.iter().filter(mine).any(|r| f(&r))).count()
    };
    RampRow {
        values: values.to_vec(),
        policy: policy.to_owned(),
        usual_per_s: size,
        seeds: days.len() as u64,
        returns: all.len(),
        ratio: spread(&Ramp::ratio),
        ratio_median: ratios.get(ratios.len() / 2).copied().map_or(0.0, rounded),
        allowed: spread(&|r| r.allowed),
        sum: spread(&|r| r.sum),
        known: spread(&known),
        seeds_over: seeds_with(&|r| r.overloaded),
        seeds_broken: seeds_with(&broken),
    }
}

impl Ramps {
    /// Prints a table, or JSON. A budget that was broken is a finding and no fault of the run.
    pub fn print(&self, json: bool) -> std::result::Result<ExitCode, ExperimentError> {
        if json {
            println!("{}", serde_json::to_string(self).map_err(ExperimentError::line)?);
            return Ok(ExitCode::SUCCESS);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING);
        let head = ["policy", "usual/s", "returns", "N", "sum", "ratio", "+-", "median", "worst", "known"];
        let ends = ["seeds over", "rule broken"];
        table.set_header(self.keys.iter().map(String::as_str).chain(head).chain(ends));
        for row in &self.rows {
            let cells = [
                row.policy.clone(),
                format!("{:.2}", row.usual_per_s),
                row.returns.to_string(),
                format!("{:.1}", row.allowed.mean),
                format!("{:.1}", row.sum.mean),
                format!("{:.2}", row.ratio.mean),
                format!("{:.2}", row.ratio.deviation),
                format!("{:.2}", row.ratio_median),
                format!("{:.2}", row.ratio.most),
                format!("{:.2}", row.known.mean),
                format!("{} of {}", row.seeds_over, row.seeds),
                format!("{} of {}", row.seeds_broken, row.seeds),
            ];
            table.add_row(row.values.iter().cloned().chain(cells));
        }
        println!("{}, emulated\n{table}", self.scenario);
        Ok(ExitCode::SUCCESS)
    }
}
