//! An HTML page with tables and plots of the results in a folder.

use std::fs;
use std::path::{Path, PathBuf};

use maud::{html, Markup, PreEscaped, DOCTYPE};
use reeddock_simulation::Report;

use crate::error::{ExperimentError, FileAction};
use crate::report_plots::{run_plots, sweep_plot};
use crate::results::{ExperimentResult, FoundScenario, PolicySummary, SweepRow};
use crate::table_cells::{
    cost_cells, credit_cell, credit_cells, finding_cells, COST_HEADER, CREDIT_HEADER, FINDING_HEADER,
};

const STYLE: &str = "body{font:15px sans-serif;max-width:60rem;margin:2rem auto;color:#222}\
    table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .6rem;text-align:right;\
    border-bottom:1px solid #ddd}figure{margin:1rem 0}svg{max-width:100%;height:auto}";

/// One result on the page.
struct Section {
    title: String,
    table: Markup,
    /// The plots, as SVG.
    plots: Vec<String>,
}

impl Section {
    fn of(result: &ExperimentResult) -> Result<Section, ExperimentError> {
        Ok(match result {
            ExperimentResult::Runs { reports } => {
                let summary =
                    |run: &Report| PolicySummary::of(&run.policy, std::slice::from_ref(run), reports);
                Section {
                    title: reports.first().map(|run| run.scenario.clone()).unwrap_or_default(),
                    table: summary_table(&reports.iter().map(summary).collect::<Vec<_>>()),
                    plots: run_plots(reports)?,
                }
            }
            ExperimentResult::Comparison { scenario, rows, first_runs } => {
                Section { title: scenario.clone(), table: summary_table(rows), plots: run_plots(first_runs)? }
            }
            ExperimentResult::Sweep { scenario, keys, rows } => {
                let plot = sweep_plot(keys, rows)?;
                let rows: Vec<SummaryRow> = rows.iter().map(SummaryRow::of_sweep).collect();
                Section {
                    title: format!("{scenario}: {}", keys.join(", ")),
                    table: table_with_values(keys, &rows),
                    plots: vec![plot],
                }
            }
            ExperimentResult::Replay { description, report, .. } => Section {
                title: description.clone(),
                table: html! {},
                plots: run_plots(std::slice::from_ref(report.as_ref()))?,
            },
            ExperimentResult::Search { scenarios, found, .. } => Section {
                title: format!("search of {scenarios} random scenarios"),
                table: findings_table(found),
                plots: Vec::new(),
            },
        })
    }

    fn markup(&self, file_name: &str) -> Markup {
        html! {
            section {
                h2 { (self.title) }
                p { "from " (file_name) ", emulated" }
                (self.table)
                @for svg in &self.plots { figure { (PreEscaped(svg)) } }
            }
        }
    }
}

/// A row of a table of policy summaries.
struct SummaryRow<'a> {
    /// One value for each overridden key; empty outside sweeps.
    values: &'a [String],
    summary: &'a PolicySummary,
}

impl SummaryRow<'_> {
    fn of_sweep(row: &SweepRow) -> SummaryRow<'_> {
        SummaryRow { values: &row.values, summary: &row.summary }
    }

    fn without_values(summary: &PolicySummary) -> SummaryRow<'_> {
        SummaryRow { values: &[], summary }
    }
}

fn summary_table(summaries: &[PolicySummary]) -> Markup {
    let rows: Vec<SummaryRow> = summaries.iter().map(SummaryRow::without_values).collect();
    table_with_values(&[], &rows)
}

/// Returns a table of policy summaries, each with its values of these keys in the first columns.
fn table_with_values(keys: &[String], rows: &[SummaryRow]) -> Markup {
    html! {
        table {
            tr {
                @for key in keys { th { (key) } }
                @for heading in summary_header() { th { (heading) } }
            }
            @for row in rows {
                tr {
                    @for value in row.values { td { (value) } }
                    @for cell in summary_cells(row.summary) { td { (cell) } }
                }
            }
        }
    }
}

/// Returns the headings of a policy's results over several runs.
fn summary_header() -> Vec<&'static str> {
    [&CREDIT_HEADER[..], &["minimum"], &COST_HEADER, &["violations"]].concat()
}

/// Returns the cells under [`summary_header`].
fn summary_cells(summary: &PolicySummary) -> Vec<String> {
    let mut cells = credit_cells(summary).to_vec();
    cells.push(credit_cell(summary.metrics.credit.minimum));
    cells.extend(cost_cells(&summary.metrics));
    cells.push(summary.violations.to_string());
    cells
}

fn findings_table(findings: &[FoundScenario]) -> Markup {
    html! {
        table {
            tr {
                @for heading in FINDING_HEADER { th { (heading) } }
                th { "finding" }
            }
            @for finding in findings {
                tr {
                    @for cell in finding_cells(finding) { td { (cell) } }
                    td { (finding.description) }
                }
            }
        }
    }
}

/// Returns the JSON files of a folder in the order of their names.
fn result_files(folder: &Path) -> Result<Vec<PathBuf>, ExperimentError> {
    let entries = fs::read_dir(folder).map_err(ExperimentError::file(folder, FileAction::Access))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
    files.sort();
    if files.is_empty() {
        return Err(ExperimentError::NoResults(folder.to_owned()));
    }
    Ok(files)
}

fn read_result(file: &Path) -> Result<ExperimentResult, ExperimentError> {
    let text = fs::read_to_string(file).map_err(ExperimentError::file(file, FileAction::Access))?;
    serde_json::from_str(&text)
        .map_err(|source| ExperimentError::MalformedResult { path: file.to_owned(), source })
}

fn page(sections: &[Markup]) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "reeddock experiments" }
                style { (STYLE) }
            }
            body {
                h1 { "Experiments" }
                p { "All results are emulated: they come from simulated time, not from real sockets." }
                @for section in sections { (section) }
            }
        }
    }
}

/// Writes a page of all results in a folder and returns the number of plots on the page.
///
/// # Errors
///
/// Returns an error if the folder holds no results, a file is not a result, or the page can't be written.
pub fn write_html_report(folder: &Path, page_file: &Path) -> Result<usize, ExperimentError> {
    let mut sections = Vec::new();
    let mut plot_count = 0;
    for file in result_files(folder)? {
        let section = Section::of(&read_result(&file)?)?;
        let file_name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        sections.push(section.markup(&file_name));
        plot_count += section.plots.len();
    }
    fs::write(page_file, page(&sections).into_string())
        .map_err(ExperimentError::file(page_file, FileAction::Access))?;
    Ok(plot_count)
}
