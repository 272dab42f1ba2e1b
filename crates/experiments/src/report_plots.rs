//! Plots of results.

use reeddock_simulation::account::{DestinationLoad, SecondCounts};
use reeddock_simulation::report::{LatencyBucket, WatchedDestination};
use reeddock_simulation::Report;

use crate::error::ExperimentError;
use crate::line_plot::{Line, LinePlot, Point};
use crate::results::SweepRow;

/// Length of the window over which credit is averaged, in seconds.
const CREDIT_WINDOW_S: usize = 5;

/// Returns the plots of several reports as SVG: credit and latency under each policy, and the load of the
/// busiest destinations under the first policy.
pub(crate) fn run_plots(reports: &[Report]) -> Result<Vec<String>, ExperimentError> {
    let mut plots = vec![credit_over_time(reports)?, latency_distribution(reports)?];
    for destination in reports.iter().take(1).flat_map(|report| &report.watched_destinations) {
        plots.push(load_against_capacity(destination)?);
    }
    Ok(plots)
}

fn credit_over_time(reports: &[Report]) -> Result<String, ExperimentError> {
    let line = |report: &Report| Line { name: report.policy.clone(), points: credit_points(&report.seconds) };
    LinePlot {
        title: "credit by second of the first submission, 5 s mean",
        x_label: "seconds",
        y_label: "credit",
        lines: reports.iter().map(line).collect(),
    }
    .to_svg()
}

/// Returns the share of the requested credit that was earned in each window; 1 if no credit was requested.
fn credit_points(seconds: &[SecondCounts]) -> Vec<Point> {
    let end = seconds.iter().rposition(|second| second.credit.possible > 0.0).map_or(0, |last| last + 1);
    let windows = seconds[..end].windows(CREDIT_WINDOW_S.min(end.max(1)));
    let share = |window: &[SecondCounts]| {
        let asked: f64 = window.iter().map(|second| second.credit.possible).sum();
        let earned: f64 = window.iter().map(|second| second.credit.earned).sum();
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    };
    let window_middle = |first: usize| first as f64 + CREDIT_WINDOW_S as f64 / 2.0;
    windows.enumerate().map(|(first, window)| Point { x: window_middle(first), y: share(window) }).collect()
}

fn latency_distribution(reports: &[Report]) -> Result<String, ExperimentError> {
    let line = |report: &Report| Line {
        name: report.policy.clone(),
        points: cumulative_share(&report.latency_buckets),
    };
    LinePlot {
        title: "share completed by time since the first submission",
        x_label: "log10 of milliseconds",
        y_label: "share",
        lines: reports.iter().map(line).collect(),
    }
    .to_svg()
}

/// Returns the share of messages completed by the end of each latency step, over the logarithm of the
/// latency.
fn cumulative_share(steps: &[LatencyBucket]) -> Vec<Point> {
    let total: u64 = steps.iter().map(|step| step.count).sum();
    let mut completed = 0;
    let point = |step: &LatencyBucket| {
        completed += step.count;
        let share = completed as f64 / total.max(1) as f64;
        Point { x: (step.up_to_ms.max(1) as f64).log10(), y: share }
    };
    steps.iter().map(point).collect()
}

fn load_against_capacity(destination: &WatchedDestination) -> Result<String, ExperimentError> {
    let end = destination.seconds.iter().rposition(|load| load.capacity > 0.0).map_or(0, |last| last + 1);
    let seconds = &destination.seconds[..end];
    let line = |name: &str, value: &dyn Fn(&DestinationLoad) -> f64| Line {
        name: name.to_owned(),
        points: (seconds.iter().enumerate())
            .map(|(second, load)| Point { x: second as f64, y: value(load) })
            .collect(),
    };
    let mut lines = vec![
        line("requests", &|load| f64::from(load.requests)),
        line("served", &|load| f64::from(load.served)),
        line("rejected", &|load| f64::from(load.rejected)),
        line("capacity", &|load| load.capacity),
    ];
    if let Some(limit) = destination.limit {
        lines.push(line("limit", &|_| limit));
    }
    let title =
        format!("destination {} ({}): requests per second", destination.destination, destination.kind);
    LinePlot { title: &title, x_label: "seconds", y_label: "requests per second", lines }.to_svg()
}

/// Returns a plot of credit over the values of the first key, as SVG. Each policy and combination of the
/// other keys' values has a line.
pub(crate) fn sweep_plot(keys: &[String], rows: &[SweepRow]) -> Result<String, ExperimentError> {
    let mut lines: Vec<Line> = Vec::new();
    for row in rows {
        let name = sweep_line_name(keys, row);
        let position = lines.iter().position(|line| line.name == name).unwrap_or_else(|| {
            lines.push(Line { name, points: Vec::new() });
            lines.len() - 1
        });
        let points = &mut lines[position].points;
        // Values that are not numbers are plotted by their position.
        let numeric_value = row.values.first().and_then(|value| value.parse::<f64>().ok());
        let x = numeric_value.unwrap_or(points.len() as f64);
        points.push(Point { x, y: row.summary.metrics.credit.mean });
    }
    let x_label = keys.first().map(String::as_str).unwrap_or_default();
    LinePlot { title: "credit, mean over all seeds", x_label, y_label: "credit", lines }.to_svg()
}

fn sweep_line_name(keys: &[String], row: &SweepRow) -> String {
    let mut name = row.summary.policy.clone();
    for (key, value) in keys.iter().zip(&row.values).skip(1) {
        name += &format!(" {key}={value}");
    }
    name
}
