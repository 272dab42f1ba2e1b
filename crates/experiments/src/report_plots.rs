//! The plots of each kind of result.

use reeddock_simulation::account::{DestinationLoad, SecondCounts};
use reeddock_simulation::report::{LatencyStep, WatchedDestination};
use reeddock_simulation::Report;

use crate::error::ExperimentError;
use crate::line_plot::{Line, LinePlot, Point};
use crate::results::SweepRow;

/// Seconds that a point of credit over time is the mean of.
const CREDIT_WINDOW: usize = 5;

/// Credit and latency under each policy, and the load of the first one's busiest destinations; as SVG.
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
        title: "credit by the second of the first try, mean of 5 s",
        x_label: "seconds",
        y_label: "credit",
        lines: reports.iter().map(line).collect(),
    }
    .to_svg()
}

/// The share of credit that was earned in each window; 1 where none was asked for.
fn credit_points(seconds: &[SecondCounts]) -> Vec<Point> {
    let end = seconds.iter().rposition(|second| second.credit.asked > 0.0).map_or(0, |last| last + 1);
    let windows = seconds[..end].windows(CREDIT_WINDOW.min(end.max(1)));
    let share = |window: &[SecondCounts]| {
        let asked: f64 = window.iter().map(|second| second.credit.asked).sum();
        let earned: f64 = window.iter().map(|second| second.credit.earned).sum();
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    };
    let middle = |first: usize| first as f64 + CREDIT_WINDOW as f64 / 2.0;
    windows.enumerate().map(|(first, window)| Point { x: middle(first), y: share(window) }).collect()
}

fn latency_distribution(reports: &[Report]) -> Result<String, ExperimentError> {
    let line = |report: &Report| Line {
        name: report.policy.clone(),
        points: cumulative_share(&report.latency_steps),
    };
    LinePlot {
        title: "completed within so long of the first try",
        x_label: "milliseconds, power of ten",
        y_label: "share",
        lines: reports.iter().map(line).collect(),
    }
    .to_svg()
}

/// The share of messages completed by the end of each step; the horizontal axis is in powers of ten.
fn cumulative_share(steps: &[LatencyStep]) -> Vec<Point> {
    let all: u64 = steps.iter().map(|step| step.count).sum();
    let mut completed = 0;
    let point = |step: &LatencyStep| {
        completed += step.count;
        let share = completed as f64 / all.max(1) as f64;
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
        line("calls", &|load| f64::from(load.requests)),
        line("served", &|load| f64::from(load.served)),
        line("refused", &|load| f64::from(load.rejected)),
        line("capacity", &|load| load.capacity),
    ];
    if let Some(limit) = destination.limit {
        lines.push(line("limit", &|_| limit));
    }
    let title = format!("destination {} ({}): calls a second", destination.destination, destination.kind);
    LinePlot { title: &title, x_label: "seconds", y_label: "calls a second", lines }.to_svg()
}

/// One line for each policy, over the values of the first key; the values of other keys are in the line's name.
pub(crate) fn sweep_plot(keys: &[String], rows: &[SweepRow]) -> Result<String, ExperimentError> {
    let mut lines: Vec<Line> = Vec::new();
    for row in rows {
        let name = sweep_line_name(keys, row);
        let position = lines.iter().position(|line| line.name == name).unwrap_or_else(|| {
            lines.push(Line { name, points: Vec::new() });
            lines.len() - 1
        });
        let points = &mut lines[position].points;
        // Values that are no numbers stand side by side in their order.
        let number = row.values.first().and_then(|value| value.parse::<f64>().ok());
        let x = number.unwrap_or(points.len() as f64);
        points.push(Point { x, y: row.summary.metrics.credit.mean });
    }
    let x_label = keys.first().map(String::as_str).unwrap_or_default();
    LinePlot { title: "credit, mean over the days", x_label, y_label: "credit", lines }.to_svg()
}

fn sweep_line_name(keys: &[String], row: &SweepRow) -> String {
    let mut name = row.summary.policy.clone();
    for (key, value) in keys.iter().zip(&row.values).skip(1) {
        name += &format!(" {key}={value}");
    }
    name
}
