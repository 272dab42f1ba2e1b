//! Fits straight lines to metrics over run sizes by least squares, with the standard error of the slope.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::error::ScaleTestError;
use crate::report::Results;
use crate::resource_budget::ResourceBudget;
use crate::run::{run, Options};
use crate::scenario::Scenario;
use crate::tables::empty_table;

/// Minimum number of points for which the standard error of a slope is defined.
const MIN_POINTS: usize = 3;

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The number of points.
    pub points: usize,
    /// The line's value at 0.
    pub intercept: f64,
    /// The increase of the line per unit of size.
    pub slope: f64,
    /// The standard error of the slope.
    #[serde(rename = "slope_error")]
    pub slope_std_error: f64,
    /// The standard deviation of the points from the line, with `points - 2` degrees of freedom.
    #[serde(rename = "deviation")]
    pub residual_std_dev: f64,
}

/// Fits `y = intercept + slope * x` to points `(x, y)`. Returns `None` for fewer than three points, or if all
/// points have the same `x`.
pub fn least_squares(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    if points.len() < MIN_POINTS {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let x_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if x_squares <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / x_squares;
    let intercept = mean_y - slope * mean_x;
    let residual_squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let residual_std_dev = (residual_squares / (count - 2.0)).sqrt();
    let slope_std_error = residual_std_dev / x_squares.sqrt();
    Some(LineFit { points: points.len(), intercept, slope, slope_std_error, residual_std_dev })
}

impl LineFit {
    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// A metric over one kind of size, and the line fitted to its values.
#[derive(Clone, Debug, Serialize)]
pub struct FittedMetric {
    /// The name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// The kind of size that was varied: `targets` (endpoints) or `forwarders`.
    #[serde(rename = "over")]
    pub size_kind: &'static str,
    /// The sizes, in the order of the runs.
    pub sizes: Vec<u32>,
    /// The metric at each size.
    pub values: Vec<f64>,
    /// The line fitted to the values.
    pub line: LineFit,
    /// The size that the scenario plans for, at which the line is evaluated.
    #[serde(rename = "target")]
    pub planned_size: u32,
    /// The line's value at the planned size.
    #[serde(rename = "at_target")]
    pub at_planned_size: f64,
    /// The planned size divided by the largest size; above 1, the line is extrapolated.
    #[serde(rename = "factor")]
    pub extrapolation_factor: f64,
}

/// The kind of size that a series of runs varies.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SizeKind {
    Endpoints,
    Forwarders,
}

impl SizeKind {
    /// Returns the name that appears in results.
    fn name(self) -> &'static str {
        match self {
            SizeKind::Endpoints => "targets",
            SizeKind::Forwarders => "forwarders",
        }
    }

    /// Returns a copy of the scenario with this size.
    fn resized(self, scenario: &Scenario, size: u32) -> Scenario {
        let mut resized = scenario.clone();
        match self {
            SizeKind::Endpoints => resized.list.endpoints = size,
            SizeKind::Forwarders => resized.fleet.hollow = size,
        }
        resized
    }

    /// Returns the number of endpoints, or of hollow and real forwarders together.
    fn size_of(self, scenario: &Scenario) -> u32 {
        match self {
            SizeKind::Endpoints => scenario.list.endpoints,
            SizeKind::Forwarders => scenario.forwarders(),
        }
    }
}

/// A series of runs that differ only in one size.
struct Series {
    kind: SizeKind,
    scenarios: Vec<Scenario>,
    planned_size: u32,
}

impl Series {
    fn new(kind: SizeKind, scenario: &Scenario, sizes: &[u32], planned_size: u32) -> Series {
        let scenarios = sizes.iter().map(|size| kind.resized(scenario, *size)).collect();
        Series { kind, scenarios, planned_size }
    }
}

/// The value of a metric at one size.
struct Point {
    size: u32,
    value: f64,
}

/// The results of all runs of a fit, and the fitted lines.
pub struct FitResults {
    /// The results of each run, in the order of the runs.
    pub runs: Vec<Results>,
    /// The metrics that have enough values for a line.
    pub fitted: Vec<FittedMetric>,
}

/// Runs a scenario at each size of its two series, and fits a line to each metric. Calls `on_run` after each
/// run with a description of the size and the results.
pub async fn fit(
    scenario: &Scenario,
    options: &Options,
    mut on_run: impl FnMut(&str, &Results),
) -> Result<FitResults, ScaleTestError> {
    let Some(sizes) = &scenario.fit else {
        return Err(ScaleTestError::invalid_input(
            "the scenario",
            "a table [fit] with series of sizes",
            "none",
        ));
    };
    let all_series = [
        Series::new(SizeKind::Endpoints, scenario, &sizes.endpoints, sizes.planned_endpoints),
        Series::new(SizeKind::Forwarders, scenario, &sizes.hollow, sizes.planned_forwarders),
    ];
    // Checks all sizes before the first run, so that the last run cannot fail for lack of resources.
    for resized in all_series.iter().flat_map(|series| &series.scenarios) {
        ResourceBudget::needed_by(resized).check_against_machine()?;
    }
    let mut outcome = FitResults { runs: Vec::new(), fitted: Vec::new() };
    for series in all_series {
        let mut points: BTreeMap<String, Vec<Point>> = BTreeMap::new();
        for resized in series.scenarios {
            let size = series.kind.size_of(&resized);
            let results = run(resized, options.clone()).await?;
            on_run(&format!("{} {size}", series.kind.name()), &results);
            for (name, value) in results.metrics() {
                points.entry(name.to_owned()).or_default().push(Point { size, value });
            }
            outcome.runs.push(results);
        }
        let fitted = points
            .into_iter()
            .filter_map(|(metric, points)| fit_metric(metric, series.kind, &points, series.planned_size));
        outcome.fitted.extend(fitted);
    }
    Ok(outcome)
}

fn fit_metric(metric: String, kind: SizeKind, points: &[Point], planned_size: u32) -> Option<FittedMetric> {
    let coordinates: Vec<(f64, f64)> =
        points.iter().map(|point| (f64::from(point.size), point.value)).collect();
    let line = least_squares(&coordinates)?;
    let largest = points.iter().map(|point| point.size).max()?;
    Some(FittedMetric {
        metric,
        size_kind: kind.name(),
        sizes: points.iter().map(|point| point.size).collect(),
        values: points.iter().map(|point| point.value).collect(),
        line,
        planned_size,
        at_planned_size: line.at(f64::from(planned_size)),
        extrapolation_factor: f64::from(planned_size) / f64::from(largest),
    })
}

/// Returns the fitted lines as a text table. Values beyond the largest measured size are marked as
/// extrapolated.
pub fn slope_table(fitted: &[FittedMetric]) -> String {
    let columns = ["metric", "over", "sizes", "slope", "± std. error", "intercept", "at planned size", ""];
    let mut rows = empty_table(&columns);
    for fit in fitted {
        let sizes: Vec<String> = fit.sizes.iter().map(u32::to_string).collect();
        let extrapolation = match fit.extrapolation_factor {
            factor if factor > 1.0 => format!("extrapolated by {factor:.1}"),
            _ => "within the measured sizes".to_owned(),
        };
        rows.add_row([
            fit.metric.clone(),
            fit.size_kind.to_owned(),
            sizes.join(" "),
            format!("{:.4e}", fit.line.slope),
            format!("{:.1e}", fit.line.slope_std_error),
            format!("{:.4}", fit.line.intercept),
            format!("{:.4} at {}", fit.at_planned_size, fit.planned_size),
            extrapolation,
        ]);
    }
    format!("{rows}\n")
}
