//! Columns that text and HTML tables have in common.

use crate::results::{FoundScenario, PolicyMetrics, PolicySummary};

/// Headings of a policy's credit; the last one is its standard deviation.
pub(crate) const CREDIT_HEADER: [&str; 3] = ["policy", "credit", "+-"];
/// Headings of latency, and of attempts, rejections, wasted work and requests in flight.
pub(crate) const COST_HEADER: [&str; 6] = ["p50 ms", "p99 ms", "attempts", "rejected", "wasted", "in flight"];
/// Headings of a scenario that a search found: the file, and the credit under each policy.
pub(crate) const FINDING_HEADER: [&str; 4] = ["file", "credit", "one-try", "ceiling"];

/// Formats a credit, a share or a difference of such values.
pub(crate) fn credit_cell(credit: f64) -> String {
    format!("{credit:.3}")
}

/// Returns the cells under [`CREDIT_HEADER`].
pub(crate) fn credit_cells(summary: &PolicySummary) -> [String; CREDIT_HEADER.len()] {
    let credit = &summary.metrics.credit;
    [summary.policy.clone(), credit_cell(credit.mean), credit_cell(credit.deviation)]
}

/// Returns the cells under [`COST_HEADER`].
pub(crate) fn cost_cells(metrics: &PolicyMetrics) -> [String; COST_HEADER.len()] {
    [
        format!("{:.0}", metrics.p50_ms),
        format!("{:.0}", metrics.p99_ms),
        format!("{:.2}", metrics.attempts_per_message),
        format!("{:.2}", metrics.rejections_per_message),
        format!("{:.2}", metrics.work_wasted),
        format!("{:.2}", metrics.in_flight_used),
    ]
}

/// Returns the cells under [`FINDING_HEADER`].
pub(crate) fn finding_cells(finding: &FoundScenario) -> [String; FINDING_HEADER.len()] {
    [
        finding.file.display().to_string(),
        credit_cell(finding.credit),
        credit_cell(finding.one_attempt_credit),
        credit_cell(finding.upper_bound_credit),
    ]
}
