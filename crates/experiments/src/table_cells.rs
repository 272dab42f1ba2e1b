//! Columns that the tables for people have in common, as text and as HTML.

use crate::results::{FoundScenario, PolicyMetrics, PolicySummary};

/// The columns of a policy's credit.
pub(crate) const CREDIT_HEADER: [&str; 3] = ["policy", "credit", "+-"];
/// The columns of latency, and of what the deliveries cost.
pub(crate) const COST_HEADER: [&str; 6] = ["p50 ms", "p99 ms", "sent", "refused", "wasted", "slots"];
/// The columns of a scenario that a search found: its file, and the credit under each policy.
pub(crate) const FINDING_HEADER: [&str; 4] = ["file", "credit", "one try", "ceiling"];

/// A credit, a share or a difference of them.
pub(crate) fn credit_cell(credit: f64) -> String {
    format!("{credit:.3}")
}

/// The cells under [`CREDIT_HEADER`].
pub(crate) fn credit_cells(summary: &PolicySummary) -> [String; CREDIT_HEADER.len()] {
    let credit = &summary.metrics.credit;
    [summary.policy.clone(), credit_cell(credit.mean), credit_cell(credit.deviation)]
}

/// The cells under [`COST_HEADER`].
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

/// The cells under [`FINDING_HEADER`].
pub(crate) fn finding_cells(finding: &FoundScenario) -> [String; FINDING_HEADER.len()] {
    [
        finding.file.display().to_string(),
        credit_cell(finding.credit),
        credit_cell(finding.one_attempt_credit),
        credit_cell(finding.upper_bound_credit),
    ]
}
