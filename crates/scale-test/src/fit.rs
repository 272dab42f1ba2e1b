//! Slopes over sizes: least squares, with the standard error of what is fitted.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::fault::Fault;
use crate::report::{table, Results};
use crate::run::{run, Options};
use crate::scenario::Scenario;

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    pub points: usize,
    pub intercept: f64,
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Standard deviation of the points about the line.
    pub deviation: f64,
}

/// Fits `y = intercept + slope x`. None for fewer than three points, or where all have one `x`.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Slope> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let residual: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let deviation = (residual / (count - 2.0)).sqrt();
    Some(Slope { points: points.len(), intercept, slope, slope_error: deviation / spread.sqrt(), deviation })
}

impl Slope {
    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// One figure over one size.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    pub figure: String,
    /// The size that was changed.
    pub over: &'static str,
    pub sizes: Vec<u32>,
    pub values: Vec<f64>,
    pub line: Slope,
    /// The size of the target, the line's value there, and how far beyond the largest size it lies.
    pub target: u32,
    pub at_target: f64,
    pub factor: f64,
}

/// The size that a line of runs changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Over {
    Targets,
    Forwarders,
}

impl Over {
    fn name(self) -> &'static str {
        match self {
            Over::Targets => "targets",
            Over::Forwarders => "forwarders",
        }
    }

    fn resized(self, scenario: &Scenario, size: u32) -> Scenario {
        let mut resized = scenario.clone();
        match self {
            Over::Targets => resized.list.targets = size,
            Over::Forwarders => resized.fleet.hollow = size,
        }
        resized
    }

    /// What the slope is told by: hollow and real forwarders together, or targets.
    fn size(self, scenario: &Scenario) -> u32 {
        match self {
            Over::Targets => scenario.list.targets,
            Over::Forwarders => scenario.forwarders(),
        }
    }
}

/// All runs of a fit, and what was fitted.
pub struct Outcome {
    pub runs: Vec<Results>,
    pub fitted: Vec<Fitted>,
}

/// Runs a scenario at each of its sizes. `done` hears of each run as it ends.
pub async fn fit(
    scenario: &Scenario,
    options: &Options,
    mut done: impl FnMut(&str, &Results),
) -> Result<Outcome, Fault> {
    let Some(sizes) = &scenario.fit else {
        return Err(Fault::input("the scenario", "a table [fit] with lines of sizes", "none"));
    };
    let lines = [
        (Over::Targets, &sizes.targets, sizes.target_targets),
        (Over::Forwarders, &sizes.hollow, sizes.target_forwarders),
    ];
    for (over, sizes, _) in &lines {
        // Nothing begins where the last could not.
        sizes.iter().try_for_each(|size| crate::room::check(&over.resized(scenario, *size)))?;
    }
    let mut outcome = Outcome { runs: Vec::new(), fitted: Vec::new() };
    for (over, sizes, target) in lines {
        let mut values: BTreeMap<String, Vec<(u32, f64)>> = BTreeMap::new();
        for size in sizes {
            let resized = over.resized(scenario, *size);
            let told = over.size(&resized);
            let results = run(resized, options.clone()).await?;
            done(&format!("{} {told}", over.name()), &results);
            for (name, value) in results.figures() {
                values.entry(name.to_owned()).or_default().push((told, value));
            }
            outcome.runs.push(results);
        }
        let fitted = values.into_iter().filter_map(|(figure, points)| fitted(figure, over, points, target));
        outcome.fitted.extend(fitted);
    }
    Ok(outcome)
}

fn fitted(figure: String, over: Over, points: Vec<(u32, f64)>, target: u32) -> Option<Fitted> {
    let sized: Vec<(f64, f64)> = points.iter().map(|(size, value)| (f64::from(*size), *value)).collect();
    let line = least_squares(&sized)?;
    let largest = points.iter().map(|(size, _)| *size).max()?;
    Some(Fitted {
        figure,
        over: over.name(),
        sizes: points.iter().map(|(size, _)| *size).collect(),
        values: points.iter().map(|(_, value)| *value).collect(),
        line,
        target,
        at_target: line.at(f64::from(target)),
        factor: f64::from(target) / f64::from(largest),
    })
}

/// The slopes as a table. What lies beyond the largest size measured is called extrapolated, with its factor.
pub fn slopes(fitted: &[Fitted]) -> String {
    let mut rows = table(&["figure", "over", "sizes", "slope", "± error", "intercept", "at the target", ""]);
    for f in fitted {
        let sizes: Vec<String> = f.sizes.iter().map(u32::to_string).collect();
        let reach = match f.factor {
            factor if factor > 1.0 => format!("extrapolated by {factor:.1}"),
            _ => "within what was measured".to_owned(),
        };
        rows.add_row([
            f.figure.clone(),
            f.over.to_owned(),
            sizes.join(" "),
            format!("{:.4e}", f.line.slope),
            format!("{:.1e}", f.line.slope_error),
            format!("{:.4}", f.line.intercept),
            format!("{:.4} at {}", f.at_target, f.target),
            reach,
        ]);
    }
    format!("{rows}\n")
}
