//! Fits slopes of figures over sizes: least squares, with the standard error of the slope.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::error::ScaleTestError;
use crate::report::Results;
use crate::resource_budget::ResourceBudget;
use crate::run::{run, Options};
use crate::scenario::Scenario;
use crate::tables::empty_table;

/// The least number of points for which a slope has an error.
const MIN_POINTS: usize = 3;

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The number of points.
    pub points: usize,
    /// The line's value at 0.
    pub intercept: f64,
    /// The line's growth for a step of 1.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Standard deviation of the points about the line.
    pub deviation: f64,
}

/// Fits `y = intercept + slope x`. None for fewer than three points, or where all have one `x`.
pub fn least_squares(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    if points.len() < MIN_POINTS {
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
    let slope_error = deviation / spread.sqrt();
    Some(LineFit { points: points.len(), intercept, slope, slope_error, deviation })
}

impl LineFit {
    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// One figure over one kind of size.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// The name of the figure.
    pub figure: String,
    /// The kind of size that was varied.
    pub over: &'static str,
    /// The sizes, in the order of the runs.
    pub sizes: Vec<u32>,
    /// The figure at each size.
    pub values: Vec<f64>,
    /// The line through the values.
    pub line: LineFit,
    /// The planned size, for which the line is evaluated.
    #[serde(rename = "target")]
    pub planned_size: u32,
    /// The line's value at the planned size.
    #[serde(rename = "at_target")]
    pub at_planned_size: f64,
    /// The planned size as a multiple of the largest size.
    pub factor: f64,
}

/// The kind of size that a series of runs varies.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SizeKind {
    Endpoints,
    Forwarders,
}

impl SizeKind {
    /// The name in results.
    fn name(self) -> &'static str {
        match self {
            SizeKind::Endpoints => "targets",
            SizeKind::Forwarders => "forwarders",
        }
    }

    /// The scenario at one size of the series.
    fn resized(self, scenario: &Scenario, size: u32) -> Scenario {
        let mut resized = scenario.clone();
        match self {
            SizeKind::Endpoints => resized.list.endpoints = size,
            SizeKind::Forwarders => resized.fleet.hollow = size,
        }
        resized
    }

    /// The size over which is fitted: endpoints, or hollow and real forwarders together.
    fn size_of(self, scenario: &Scenario) -> u32 {
        match self {
            SizeKind::Endpoints => scenario.list.endpoints,
            SizeKind::Forwarders => scenario.forwarders(),
        }
    }
}

/// A series of runs that differ in one size.
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

/// One figure at one size.
struct Point {
    size: u32,
    value: f64,
}

/// All runs of a fit, and what was fitted.
pub struct FitResults {
    /// The results of each run, in order.
    pub runs: Vec<Results>,
    /// The figures that a line could be fitted to.
    pub fitted: Vec<FittedFigure>,
}

/// Runs a scenario at each size of its two series. `on_run` is called with the size and the results of each run as
/// it ends.
pub async fn fit(
    scenario: &Scenario,
    options: &Options,
    mut on_run: impl FnMut(&str, &Results),
) -> Result<FitResults, ScaleTestError> {
    let Some(sizes) = &scenario.fit else {
        return Err(ScaleTestError::invalid_input(
            "the scenario",
            "a table [fit] with lines of sizes",
            "none",
        ));
    };
    let all_series = [
        Series::new(SizeKind::Endpoints, scenario, &sizes.endpoints, sizes.planned_endpoints),
        Series::new(SizeKind::Forwarders, scenario, &sizes.hollow, sizes.planned_forwarders),
    ];
    // No run begins where the last one could not.
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
            for (name, value) in results.figures() {
                points.entry(name.to_owned()).or_default().push(Point { size, value });
            }
            outcome.runs.push(results);
        }
        let fitted = points
            .into_iter()
            .filter_map(|(figure, points)| fit_figure(figure, series.kind, &points, series.planned_size));
        outcome.fitted.extend(fitted);
    }
    Ok(outcome)
}

fn fit_figure(figure: String, kind: SizeKind, points: &[Point], planned_size: u32) -> Option<FittedFigure> {
    let coordinates: Vec<(f64, f64)> =
        points.iter().map(|point| (f64::from(point.size), point.value)).collect();
    let line = least_squares(&coordinates)?;
    let largest = points.iter().map(|point| point.size).max()?;
    Some(FittedFigure {
        figure,
        over: kind.name(),
        sizes: points.iter().map(|point| point.size).collect(),
        values: points.iter().map(|point| point.value).collect(),
        line,
        planned_size,
        at_planned_size: line.at(f64::from(planned_size)),
        factor: f64::from(planned_size) / f64::from(largest),
    })
}

/// The slopes as a table. A value beyond the largest size measured is marked as extrapolated, with its factor.
pub fn slope_table(fitted: &[FittedFigure]) -> String {
    let columns = ["figure", "over", "sizes", "slope", "± error", "intercept", "at the target", ""];
    let mut rows = empty_table(&columns);
    for fit in fitted {
        let sizes: Vec<String> = fit.sizes.iter().map(u32::to_string).collect();
        let reach = match fit.factor {
            factor if factor > 1.0 => format!("extrapolated by {factor:.1}"),
            _ => "within what was measured".to_owned(),
        };
        rows.add_row([
            fit.figure.clone(),
            fit.over.to_owned(),
            sizes.join(" "),
            format!("{:.4e}", fit.line.slope),
            format!("{:.1e}", fit.line.slope_error),
            format!("{:.4}", fit.line.intercept),
            format!("{:.4} at {}", fit.at_planned_size, fit.planned_size),
            reach,
        ]);
    }
    format!("{rows}\n")
}
