//! Formats results as text tables.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;

use crate::latency::LatencySummary;
use crate::process_usage::ForwarderUsage;
use crate::report::{ResultLine, Results, TrafficRates};

/// Returns all results of a run as text tables.
pub fn tables(results: &Results) -> String {
    let mut tables = Tables::new();
    for line in &results.lines {
        tables.add(line);
    }
    tables.into_text()
}

/// Returns an empty table with the given column headings.
pub(crate) fn empty_table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(columns);
    table
}

struct Tables {
    latencies: Table,
    traffic: Table,
    processes: Table,
    metrics: Table,
    checks: Table,
}

impl Tables {
    fn new() -> Tables {
        Tables {
            latencies: empty_table(&[
                "latency",
                "component",
                "condition",
                "since",
                "count",
                "p50 ms",
                "p99 ms",
                "max ms",
            ]),
            traffic: empty_table(&[
                "component",
                "phase",
                "forwarders",
                "received B/s",
                "sent B/s",
                "messages/s",
            ]),
            processes: empty_table(&[
                "forwarder",
                "starts",
                "processor s",
                "resident MB",
                "peak resident MB",
            ]),
            metrics: empty_table(&["metric", "value"]),
            checks: empty_table(&["check", "result", "detail"]),
        }
    }

    fn into_text(self) -> String {
        let tables = [self.latencies, self.traffic, self.processes, self.metrics, self.checks];
        tables.map(|table| format!("{table}\n")).join("\n")
    }

    fn add(&mut self, line: &ResultLine) {
        match line {
            ResultLine::ListInEffect { component, condition, latency } => {
                self.add_latency(["list in effect", component.name(), condition.name(), "start"], latency);
            }
            ResultLine::ChangeInEffect { component, condition, measured_from, latency } => {
                let labels = ["change in effect", component.name(), condition.name(), measured_from.name()];
                self.add_latency(labels, latency);
            }
            ResultLine::ProbeResolution { latency } => {
                self.add_latency(["probe resolution", "real", "probes", "last rejection"], latency);
            }
            ResultLine::Submissions { phase, latency, accepted, rejected, unanswered } => {
                self.add_latency(["submission answered", "real", phase.name(), "request"], latency);
                let counts = format!("{accepted} accepted, {rejected} rejected, {unanswered} unanswered");
                self.add_metric(format!("submissions {}", phase.name()), counts);
            }
            ResultLine::Deliveries { requests, notices } => {
                self.add_metric("requests to endpoints", requests.to_string());
                self.add_metric("delivery notices", notices.to_string());
            }
            ResultLine::Exchange { component, phase, forwarders, rates, .. } => {
                self.add_traffic([component.name(), phase.name()], *forwarders, rates);
            }
            ResultLine::Process { usage } => self.add_process(usage),
            ResultLine::Thread { name, core_share } => {
                self.add_metric(format!("core share of {name}"), format!("{core_share:.4}"));
            }
            ResultLine::Program { resident_peak_bytes, .. } => {
                self.add_metric("this program, peak resident MB", megabytes(*resident_peak_bytes));
            }
            ResultLine::Metric { name, value } => self.add_metric(name.clone(), format!("{value:.4}")),
            ResultLine::Check { name, passed, detail } => {
                let verdict = if *passed { "passed" } else { "FAILED" };
                self.checks.add_row([*name, verdict, detail]);
            }
            ResultLine::Run { .. } | ResultLine::Sample { .. } => {}
        }
    }

    /// Adds a row; `labels` are the latency, the component, the condition and the moment it is measured from.
    fn add_latency(&mut self, labels: [&str; 4], latency: &LatencySummary) {
        let mut row: Vec<String> = labels.map(str::to_owned).into();
        row.push(latency.count.to_string());
        let milliseconds = [latency.p50_ms, latency.p99_ms, latency.max_ms];
        row.extend(milliseconds.map(|value| format!("{value:.1}")));
        self.latencies.add_row(row);
    }

    fn add_metric(&mut self, name: impl Into<String>, value: String) {
        self.metrics.add_row([name.into(), value]);
    }

    fn add_traffic(&mut self, labels: [&str; 2], forwarders: u32, rates: &TrafficRates) {
        let mut row: Vec<String> = labels.map(str::to_owned).into();
        row.push(forwarders.to_string());
        let shown = [rates.received_bytes_per_s, rates.sent_bytes_per_s, rates.messages_per_s];
        row.extend(shown.map(|value| format!("{value:.1}")));
        self.traffic.add_row(row);
    }

    fn add_process(&mut self, usage: &ForwarderUsage) {
        self.processes.add_row([
            usage.forwarder.to_string(),
            usage.starts.to_string(),
            format!("{:.2}", usage.processor_s),
            megabytes(usage.resident_bytes),
            megabytes(usage.resident_peak_bytes),
        ]);
    }
}

fn megabytes(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / 1e6)
}
