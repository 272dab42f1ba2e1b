//! Results as text for people.

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

/// Message classes, programs and destinations that are listed of each run.
const LISTED_PARTS: usize = 6;
/// Broken invariants that are listed of each run.
const LISTED_VIOLATIONS: usize = 5;

/// A table without borders.
pub(crate) fn plain_table() -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table
}

/// The whole text, with a line break at its end.
fn render(result: &ExperimentResult) -> String {
    match result {
        ExperimentResult::Runs { reports } => reports.iter().map(run_text).collect(),
        ExperimentResult::Replay { reproduced, description, report } => {
            let now = if *reproduced { "seen again" } else { "NOT seen any more" };
            format!("{description}: {now}\n{}", run_text(report))
        }
        ExperimentResult::Comparison { scenario, rows, .. } => {
            format!("{scenario}, emulated\n{}\n", comparison_table(rows))
        }
        ExperimentResult::Sweep { scenario, keys, rows } => {
            format!("{scenario}, emulated\n{}\n", sweep_table(keys, rows))
        }
        ExperimentResult::Search { scenarios, with_violations, under_one_attempt, found } => format!(
            "{scenarios} scenarios, emulated; {with_violations} with a broken rule, \
             {under_one_attempt} under one try\n{}\n",
            findings_table(found)
        ),
    }
}

/// The columns of a policy over several days.
fn summary_header() -> Vec<&'static str> {
    [&CREDIT_HEADER[..], &["against", "worst 10 s"], &COST_HEADER, &["broken"]].concat()
}

/// The cells under [`summary_header`].
fn summary_cells(summary: &PolicySummary) -> Vec<String> {
    let mut cells = credit_cells(summary).to_vec();
    cells.push(format!("{:+.3}", summary.credit_difference.mean));
    cells.push(credit_cell(summary.metrics.worst_window_credit));
    cells.extend(cost_cells(&summary.metrics));
    cells.push(format!("{} on {} of {}", summary.violations, summary.days_with_violations, summary.days));
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
    table.set_header(FINDING_HEADER.into_iter().chain(["tries", "what"]));
    for finding in findings {
        let what = finding.description.lines().next().unwrap_or_default().to_owned();
        table.add_row(finding_cells(finding).into_iter().chain([finding.messages.to_string(), what]));
    }
    table
}

/// One run: its measurements, the parts that lost most credit, and the invariants that it broke.
fn run_text(run: &Report) -> String {
    let mut text = [credit_lines(run), message_lines(run), cost_lines(run)].concat();
    let parts = [("category", &run.classes), ("program", &run.programs), ("destination", &run.destinations)];
    for (kind, parts) in parts {
        for part in parts.iter().take(LISTED_PARTS) {
            text +=
                &format!("  {kind} {}: {:.3} of {:.0}\n", part.name, part.earned_share, part.credit_asked);
        }
    }
    if run.rules_broken > 0 {
        text += &format!("RULES BROKEN: {}\n", run.rules_broken);
        for violation in run.violations.iter().take(LISTED_VIOLATIONS) {
            text += &format!("  {violation}\n");
        }
    }
    text
}

fn credit_lines(run: &Report) -> String {
    format!(
        "{} under {}, seed {}, emulated\n\
         credit {:.3}, worst 10 s {:.3}, worst category {:.3}\n",
        run.scenario, run.policy, run.seed, run.credit, run.credit_worst_span, run.credit_worst_class,
    )
}

/// How the messages ended, and how long they took.
fn message_lines(run: &Report) -> String {
    format!(
        "{} first tries, {} envelopes: {} in time, {} late, {} shed, {} broken off, {} withdrawn, \
         {} turned away, {} lost\n\
         latency ms: p50 {}, p90 {}, p99 {}, worst {}\n",
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

/// What the deliveries took from forwarders and endpoints, and the run from this machine.
fn cost_lines(run: &Report) -> String {
    format!(
        "for each try {:.2} dispatches, {:.2} refused, {:.2} new connections; \
         work wasted {:.2}, slots in use {:.2}\n\
         {} events, {} turns, ran {:.1} s; {} fell over\n",
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
    /// Prints the result to standard output. The exit code is 1 where an invariant was broken, or a replayed
    /// scenario no longer shows what it was kept for.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || render(self))?;
        Ok(ExitCode::from(u8::from(!self.is_success())))
    }
}
