//! One HTML page with plots of the results in a folder.

use std::path::Path;

use maud::{html, Markup, PreEscaped, DOCTYPE};
use plotters::coord::Shift;
use plotters::prelude::*;
use reeddock_simulation::report::Watched;
use reeddock_simulation::Report;

use crate::results::{Result, Row, SweepRow};
use crate::ExperimentError;

const SIZE: (u32, u32) = (860, 320);
/// Seconds that a point of credit over time is the mean of.
const SMOOTH: usize = 5;

/// A line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

fn colour(n: usize) -> RGBColor {
    const COLOURS: [RGBColor; 6] = [
        RGBColor(31, 119, 180),
        RGBColor(214, 90, 20),
        RGBColor(44, 140, 60),
        RGBColor(170, 40, 60),
        RGBColor(120, 90, 170),
        RGBColor(90, 90, 90),
    ];
    COLOURS[n % COLOURS.len()]
}

/// Draws on a sheet of its own and gives the SVG text.
fn sheet(
    draw: impl FnOnce(&DrawingArea<SVGBackend, Shift>) -> std::result::Result<(), Box<dyn std::error::Error>>,
) -> std::result::Result<String, ExperimentError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(ExperimentError::line)?;
        draw(&area).map_err(ExperimentError::line)?;
        area.present().map_err(ExperimentError::line)?;
    }
    Ok(svg)
}

fn lines(
    title: &str,
    across: &str,
    up: &str,
    lines: &[Line],
) -> std::result::Result<String, ExperimentError> {
    let points = || lines.iter().flat_map(|l| &l.1);
    let left = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max);
    let (left, right) = if left < right { (left, right) } else { (0.0, 1.0) };
    let top = if top > 0.0 { top * 1.05 } else { 1.0 };
    sheet(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(left..right, 0.0..top)?;
        chart.configure_mesh().x_desc(across).y_desc(up).light_line_style(WHITE).draw()?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let of = colour(n);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), of.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], of.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    })
}

fn credit_over_time(reports: &[Report]) -> std::result::Result<String, ExperimentError> {
    let line = |r: &Report| {
        let asked = r.seconds.iter().rposition(|s| s.credit.asked > 0.0).map_or(0, |n| n + 1);
        let spans = r.seconds[..asked].windows(SMOOTH.min(asked.max(1))).enumerate();
        let share = |(n, span): (usize, &[reeddock_simulation::account::Second])| {
            let asked: f64 = span.iter().map(|s| s.credit.asked).sum();
            let earned: f64 = span.iter().map(|s| s.credit.earned).sum();
            (n as f64 + SMOOTH as f64 / 2.0, if asked > 0.0 { earned / asked } else { 1.0 })
        };
        (r.policy.clone(), spans.map(share).collect())
    };
    let all: Vec<Line> = reports.iter().map(line).collect();
    lines("credit by the second of the first try, mean of 5 s", "seconds", "credit", &all)
}

fn latencies(reports: &[Report]) -> std::result::Result<String, ExperimentError> {
    let line = |r: &Report| {
        let all: u64 = r.latency_steps.iter().map(|s| s.1).sum();
        let mut sum = 0;
        let point = |(ms, count): &(u64, u64)| {
            sum += count;
            ((*ms).max(1) as f64, sum as f64 / all.max(1) as f64)
        };
        let points: Vec<(f64, f64)> = r.latency_steps.iter().map(point).collect();
        // The axis is in powers of ten.
        (r.policy.clone(), points.into_iter().map(|(ms, share)| (ms.log10(), share)).collect())
    };
    let all: Vec<Line> = reports.iter().map(line).collect();
    lines("completed within so long of the first try", "milliseconds, power of ten", "share", &all)
}

fn against_capacity(watched: &Watched) -> std::result::Result<String, ExperimentError> {
    let last = watched.seconds.iter().rposition(|l| l.capacity > 0.0).map_or(0, |n| n + 1);
    let seconds = &watched.seconds[..last];
    let line = |name: &str, of: &dyn Fn(&reeddock_simulation::account::Load) -> f64| {
        (name.to_owned(), seconds.iter().enumerate().map(|(n, load)| (n as f64, of(load))).collect())
    };
    let mut all: Vec<Line> = vec![
        line("calls", &|l| f64::from(l.requests)),
        line("served", &|l| f64::from(l.served)),
        line("refused", &|l| f64::from(l.rejected)),
        line("capacity", &|l| l.capacity),
    ];
    if let Some(limit) = watched.limit {
        all.push(line("limit", &|_| limit));
    }
    let title = format!("destination {} ({}): calls a second", watched.destination, watched.kind);
    lines(&title, "seconds", "calls a second", &all)
}

/// One line for each policy, over the values of the first key; others are named in the line.
fn sweep_plot(keys: &[String], rows: &[SweepRow]) -> std::result::Result<String, ExperimentError> {
    let mut all: Vec<Line> = Vec::new();
    for r in rows {
        let rest: Vec<String> = keys.iter().zip(&r.values).skip(1).map(|(k, v)| format!("{k}={v}")).collect();
        let name = [vec![r.row.policy.clone()], rest].concat().join(" ");
        if all.iter().all(|l| l.0 != name) {
            all.push((name.clone(), Vec::new()));
        }
        if let Some(line) = all.iter_mut().find(|l| l.0 == name) {
            // Values that are no numbers stand side by side in their order.
            let across = r.values.first().and_then(|v| v.parse::<f64>().ok());
            let place = line.1.len() as f64;
            line.1.push((across.unwrap_or(place), r.row.figures.credit.mean));
        }
    }
    let key = keys.first().map(String::as_str).unwrap_or_default();
    lines("credit, mean over the days", key, "credit", &all)
}

fn rows_table(rows: &[(Vec<String>, &Row)], keys: &[String]) -> Markup {
    html! {
        table {
            tr {
                @for key in keys { th { (key) } }
                @for head in ["policy", "credit", "+-", "least", "p50 ms", "p99 ms", "sent", "refused",
                    "wasted", "slots", "rules broken"] { th { (head) } }
            }
            @for (values, row) in rows {
                tr {
                    @for value in values { td { (value) } }
                    td { (row.policy) }
                    td { (format!("{:.3}", row.figures.credit.mean)) }
                    td { (format!("{:.3}", row.figures.credit.deviation)) }
                    td { (format!("{:.3}", row.figures.credit.least)) }
                    td { (format!("{:.0}", row.figures.p50_ms)) }
                    td { (format!("{:.0}", row.figures.p99_ms)) }
                    td { (format!("{:.2}", row.figures.dispatches_per_try)) }
                    td { (format!("{:.2}", row.figures.refusals_per_try)) }
                    td { (format!("{:.2}", row.figures.work_wasted)) }
                    td { (format!("{:.2}", row.figures.slots_used)) }
                    td { (row.rules_broken) }
                }
            }
        }
    }
}

fn plots(reports: &[Report]) -> std::result::Result<Vec<String>, ExperimentError> {
    let mut all = vec![credit_over_time(reports)?, latencies(reports)?];
    for watched in reports.iter().take(1).flat_map(|r| &r.watched) {
        all.push(against_capacity(watched)?);
    }
    Ok(all)
}

fn section(name: &str, result: &Result) -> std::result::Result<(Markup, usize), ExperimentError> {
    let (title, table, drawn) = match result {
        Result::Runs { reports } => {
            let rows: Vec<Row> =
                reports.iter().map(|r| Row::of(&r.policy, std::slice::from_ref(r), reports)).collect();
            let rows: Vec<_> = rows.iter().map(|r| (Vec::new(), r)).collect();
            let title = reports.first().map(|r| r.scenario.clone()).unwrap_or_default();
            (title, rows_table(&rows, &[]), plots(reports)?)
        }
        Result::Comparison { scenario, rows, first_days } => {
            let rows: Vec<_> = rows.iter().map(|r| (Vec::new(), r)).collect();
            (scenario.clone(), rows_table(&rows, &[]), plots(first_days)?)
        }
        Result::Sweep { scenario, keys, rows } => {
            let told: Vec<_> = rows.iter().map(|r| (r.values.clone(), &r.row)).collect();
            let title = format!("{scenario}: {}", keys.join(", "));
            (title, rows_table(&told, keys), vec![sweep_plot(keys, rows)?])
        }
        Result::Replay { was, report, .. } => {
            let reports = std::slice::from_ref(report.as_ref());
            (was.clone(), html! {}, plots(reports)?)
        }
        Result::Search { scenarios, found, .. } => {
            let table = html! {
                table {
                    tr { th { "file" } th { "credit" } th { "one try" } th { "ceiling" } th { "what" } }
                    @for f in found {
                        tr {
                            td { (f.file.display()) }
                            td { (format!("{:.3}", f.credit)) }
                            td { (format!("{:.3}", f.one_try)) }
                            td { (format!("{:.3}", f.ceiling)) }
                            td { (f.what) }
                        }
                    }
                }
            };
            (format!("search over {scenarios} scenarios"), table, Vec::new())
        }
    };
    let count = drawn.len();
    let markup = html! {
        section {
            h2 { (title) }
            p { "from " (name) ", emulated" }
            (table)
            @for svg in &drawn { figure { (PreEscaped(svg)) } }
        }
    };
    Ok((markup, count))
}

/// Writes the page; says how many plots it has.
pub fn page(folder: &Path, to: &Path) -> std::result::Result<usize, ExperimentError> {
    let at = |file: &Path, what: &dyn std::fmt::Display| {
        ExperimentError::line(format!("{}: {what}", file.display()))
    };
    let entries = std::fs::read_dir(folder).map_err(|e| at(folder, &e))?;
    let mut files: Vec<_> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "json"));
    files.sort();
    if files.is_empty() {
        return Err(at(folder, &"holds no results: expected files that --out wrote"));
    }
    let (mut sections, mut count) = (Vec::new(), 0);
    for file in &files {
        let text = std::fs::read_to_string(file).map_err(|e| at(file, &e))?;
        let result: Result = serde_json::from_str(&text)
            .map_err(|e| at(file, &format!("is no result of this laboratory: {e}")))?;
        let name = file.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        let (markup, plots) = section(&name, &result)?;
        sections.push(markup);
        count += plots;
    }
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "reeddock laboratory" }
                style { "body{font:15px sans-serif;max-width:60rem;margin:2rem auto;color:#222}"
                    "table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .6rem;text-align:right;"
                    "border-bottom:1px solid #ddd}figure{margin:1rem 0}svg{max-width:100%;height:auto}" }
            }
            body {
                h1 { "Laboratory" }
                p { "All figures are emulated: from simulated time, not from sockets." }
                @for section in &sections { (section) }
            }
        }
    };
    std::fs::write(to, page.into_string()).map_err(|e| at(to, &e))?;
    Ok(count)
}
