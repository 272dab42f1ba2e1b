//! Results as readable text.

use std::process::ExitCode;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use reeddock_simulation::Report;

use crate::error::ExperimentError;
use crate::output::OutputFormat;
use crate::results::{ExperimentResult, FoundScenario, PolicySummary, SweepRow};
use crate::table_cells::{
    cost_cells, credit_cell, credit_cells, finding_cells, COST_HEADER, CREDIT_HEADER, FINDING_HEADER,
};

/// Maximum number of message classes, of programs and of destinations that are listed for each run.
const MAX_LISTED_GROUPS: usize = 6;
/// Maximum number of violations that are listed for each run.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// Returns an empty table without borders.
pub(crate) fn plain_table() -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table
}

/// Returns the text of a result, with a line break at the end.
fn render(result: &ExperimentResult) -> String {
    match result {
        ExperimentResult::Runs { reports } => reports.iter().map(run_text).collect(),
        ExperimentResult::Replay { reproduced, description, report } => {
            let verdict = if *reproduced { "reproduced" } else { "NOT reproduced" };
            format!("{description}: {verdict}\n{}", run_text(report))
        }
        ExperimentResult::Comparison { scenario, rows, .. } => {
            format!("{scenario}, emulated\n{}\n", comparison_table(rows))
        }
        ExperimentResult::Sweep { scenario, keys, rows } => {
            format!("{scenario}, emulated\n{}\n", sweep_table(keys, rows))
        }
        ExperimentResult::Search { scenarios, with_violations, under_one_attempt, found } => format!(
            "{scenarios} scenarios, emulated; {with_violations} with a broken invariant, \
             {under_one_attempt} with less credit than one attempt per message\n{}\n",
            findings_table(found)
        ),
    }
}

/// Returns the headings of a policy's results over several runs.
fn summary_header() -> Vec<&'static str> {
    [&CREDIT_HEADER[..], &["difference", "worst 10 s"], &COST_HEADER, &["violations"]].concat()
}

/// Returns the cells under [`summary_header`].
fn summary_cells(summary: &PolicySummary) -> Vec<String> {
    let mut cells = credit_cells(summary).to_vec();
    cells.push(format!("{:+.3}", summary.credit_difference.mean));
    cells.push(credit_cell(summary.metrics.worst_window_credit));
    cells.extend(cost_cells(&summary.metrics));
    cells.push(format!(
        "{} in {} of {} runs",
        summary.violations, summary.runs_with_violations, summary.run_count
    ));
    cells
}

fn comparison_table(rows: &[PolicySummary]) -> Table {
    let mut table = plain_table();
    table.set_header(summary_header());
    for row in rows {
        table.add_row(summary_cells(row));
    }
    table
}

fn sweep_table(keys: &[String], rows: &[SweepRow]) -> Table {
    let mut table = plain_table();
    table.set_header(keys.iter().map(String::as_str).chain(summary_header()));
    for row in rows {
        table.add_row(row.values.iter().cloned().chain(summary_cells(&row.summary)));
    }
    table
}

fn findings_table(findings: &[FoundScenario]) -> Table {
    let mut table = plain_table();
    table.set_header(FINDING_HEADER.into_iter().chain(["messages", "finding"]));
    for finding in findings {
        let summary = finding.description.lines().next().unwrap_or_default().to_owned();
        table.add_row(finding_cells(finding).into_iter().chain([finding.messages.to_string(), summary]));
    }
    table
}

/// Describes one run: measurements, the groups of messages that lost most credit, and violations.
fn run_text(run: &Report) -> String {
    let mut text = [credit_lines(run), message_lines(run), cost_lines(run)].concat();
    let group_lists =
        [("message class", &run.classes), ("program", &run.programs), ("destination", &run.destinations)];
    for (kind, groups) in group_lists {
        for group in groups.iter().take(MAX_LISTED_GROUPS) {
            text += &format!(
                "  {kind} {}: {:.3} of {:.0}\n",
                group.name, group.earned_share, group.credit_possible
            );
        }
    }
    if run.rules_broken > 0 {
        text += &format!("INVARIANTS BROKEN: {}\n", run.rules_broken);
        for violation in run.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            text += &format!("  {violation}\n");
        }
    }
    text
}

fn credit_lines(run: &Report) -> String {
    format!(
        "{} under {}, seed {}, emulated\n\
         credit {:.3}, worst 10 s {:.3}, worst message class {:.3}\n",
        run.scenario, run.policy, run.seed, run.credit, run.credit_worst_span, run.credit_worst_class,
    )
}

/// Describes the outcomes of messages and their latency.
fn message_lines(run: &Report) -> String {
    format!(
        "{} submissions, {} messages: {} in time, {} late, {} rejected, {} failed, {} withdrawn, \
         {} not accepted, {} lost\n\
         latency ms: p50 {}, p90 {}, p99 {}, maximum {}\n",
        run.submissions,
        run.messages,
        run.ends.completed_in_time,
        run.ends.completed_late,
        run.ends.rejected,
        run.ends.failed,
        run.ends.withdrawn,
        run.ends.not_accepted,
        run.ends.lost,
        run.latency_ms.p50,
        run.latency_ms.p90,
        run.latency_ms.p99,
        run.latency_ms.max,
    )
}

/// Describes the attempts, connections and work of the run, and the size of the simulation.
fn cost_lines(run: &Report) -> String {
    format!(
        "per submission: {:.2} attempts, {:.2} rejected, {:.2} new connections; \
         work wasted {:.2}, in-flight limit used {:.2}\n\
         {} events, {} policy runs, {:.1} simulated s; {} overloads\n",
        run.attempts_per_submission,
        run.rejections_per_submission,
        run.new_connections_per_submission,
        run.work_wasted,
        run.in_flight_used,
        run.events,
        run.policy_runs,
        run.simulated_s,
        run.overloads,
    )
}

impl ExperimentResult {
    /// Prints the result to standard output. The exit code is 1 if an invariant was broken, or a replayed
    /// scenario no longer shows what it was saved for.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || render(self))?;
        Ok(ExitCode::from(u8::from(!self.is_success())))
    }
}
