//! Figures of a run: as JSON lines for programs, and as tables for people.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Duration;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fault::Fault;
use crate::real::Used;
use crate::scenario::Scenario;

/// The longest span that a histogram tells apart, and its digits.
const LONGEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// Spans of time, gathered.
pub struct Spans(Histogram<u64>);

impl Default for Spans {
    fn default() -> Spans {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Spans(histogram.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")))
    }
}

impl Spans {
    pub fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(LONGEST_US);
        self.0.saturating_record(micros.max(1));
    }

    pub fn summary(&self) -> Summary {
        let ms = |micros: u64| micros as f64 / 1e3;
        Summary {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p99_ms: ms(self.0.value_at_quantile(0.99)),
            worst_ms: ms(self.0.max()),
        }
    }
}

/// What a histogram comes down to.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
}

/// One line of the results.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    Run {
        scenario: Box<Scenario>,
        version: &'static str,
        cores: usize,
    },
    /// A second's sample of a real process.
    Sample {
        at_s: f64,
        used: Used,
    },
    /// From a start until the whole list was in force.
    ListInForce {
        role: &'static str,
        occasion: &'static str,
        spans: Summary,
    },
    /// From a change until it was in force, for changes made in calm or about a trouble.
    ChangeInForce {
        role: &'static str,
        occasion: &'static str,
        since: &'static str,
        spans: Summary,
    },
    /// How far apart a probe's last refusal and its acceptance lay: real forwarders' spans are sure to this.
    ProbeResolution {
        spans: Summary,
    },
    /// Clients' hand-ins, with the time until any answer.
    HandIn {
        phase: &'static str,
        spans: Summary,
        taken_on: u64,
        refused: u64,
        unanswered: u64,
    },
    /// Calls that came to targets, and notices, those of probes too.
    Ends {
        calls: u64,
        notices: u64,
    },
    /// What a role exchanged with the control side, from its own end, in the whole start or for a second after.
    Exchange {
        role: &'static str,
        phase: &'static str,
        forwarders: u32,
        seconds: f64,
        figures: Rates,
    },
    Process {
        used: Used,
    },
    /// Processor time of a part of this program, as a share of one core, after the start.
    Part {
        part: String,
        core_share: f64,
    },
    Program {
        resident_bytes: u64,
        resident_peak_bytes: u64,
    },
    Figure {
        name: String,
        value: f64,
    },
    Check {
        check: &'static str,
        passed: bool,
        detail: String,
    },
}

/// Bytes and messages a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Rates {
    pub received_bytes_per_s: f64,
    pub sent_bytes_per_s: f64,
    pub messages_per_s: f64,
}

/// All that a run has shown.
#[derive(Clone, Debug)]
pub struct Results {
    pub lines: Vec<Line>,
}

impl Results {
    /// Whether every check passed.
    pub fn sound(&self) -> bool {
        self.lines.iter().all(|line| !matches!(line, Line::Check { passed: false, .. }))
    }

    /// The check of this name, as passed or not and with its detail.
    pub fn check(&self, name: &str) -> Option<(bool, &str)> {
        self.lines.iter().find_map(|line| match line {
            Line::Check { check, passed, detail } if *check == name => Some((*passed, detail.as_str())),
            _ => None,
        })
    }

    /// Single figures, by name, over which slopes are fitted.
    pub fn figures(&self) -> BTreeMap<&str, f64> {
        let figure = |line| match line {
            &Line::Figure { ref name, value } => Some((name.as_str(), value)),
            _ => None,
        };
        self.lines.iter().filter_map(figure).collect()
    }

    /// Appends all lines to a file.
    pub fn append(&self, file: &Path) -> Result<(), Fault> {
        let place =
            |e: io::Error| Fault::broken(format!("results can't be written to {}", file.display()), e);
        let mut to = BufWriter::new(File::options().create(true).append(true).open(file).map_err(place)?);
        for line in &self.lines {
            let text = serde_json::to_string(line).map_err(|e| place(e.into()))?;
            writeln!(to, "{text}").map_err(place)?;
        }
        to.flush().map_err(place)
    }

    /// The tables.
    pub fn tables(&self) -> String {
        let mut spans =
            table(&["time", "role", "occasion", "since", "count", "p50 ms", "p99 ms", "worst ms"]);
        let mut rates = table(&["role", "phase", "forwarders", "in B/s", "out B/s", "messages/s"]);
        let mut processes = table(&["forwarder", "starts", "processor s", "resident MB", "peak resident MB"]);
        let mut parts = table(&["figure", "value"]);
        let mut checks = table(&["check", "verdict", "detail"]);
        for line in &self.lines {
            match line {
                Line::ListInForce { role, occasion, spans: s } => {
                    spans.add_row(span_row("list in force", role, occasion, "start", s));
                }
                Line::ChangeInForce { role, occasion, since, spans: s } => {
                    spans.add_row(span_row("change in force", role, occasion, since, s));
                }
                Line::ProbeResolution { spans: s } => {
                    spans.add_row(span_row("sure to", "real", "probes", "last refusal", s));
                }
                Line::HandIn { phase, spans: s, taken_on, refused, unanswered } => {
                    spans.add_row(span_row("hand-in answered", "real", phase, "request", s));
                    let counts = format!("{taken_on} taken on, {refused} refused, {unanswered} unanswered");
                    parts.add_row([format!("hand-ins {phase}"), counts]);
                }
                Line::Ends { calls, notices } => {
                    parts.add_row(["calls to targets".to_owned(), calls.to_string()]);
                    parts.add_row(["notices".to_owned(), notices.to_string()]);
                }
                Line::Exchange { role, phase, forwarders, figures, .. } => {
                    let shown =
                        [figures.received_bytes_per_s, figures.sent_bytes_per_s, figures.messages_per_s];
                    let mut row = vec![(*role).to_owned(), (*phase).to_owned(), forwarders.to_string()];
                    row.extend(shown.map(|value| format!("{value:.1}")));
                    rates.add_row(row);
                }
                Line::Process { used } => {
                    processes.add_row([
                        used.forwarder.to_string(),
                        used.starts.to_string(),
                        format!("{:.2}", used.processor_s),
                        mb(used.resident_bytes),
                        mb(used.resident_peak_bytes),
                    ]);
                }
                Line::Part { part, core_share } => {
                    parts.add_row([format!("core share of {part}"), format!("{core_share:.4}")]);
                }
                Line::Program { resident_peak_bytes, .. } => {
                    parts.add_row(["this program, peak resident MB".to_owned(), mb(*resident_peak_bytes)]);
                }
                Line::Figure { name, value } => {
                    parts.add_row([name.clone(), format!("{value:.4}")]);
                }
                Line::Check { check, passed, detail } => {
                    let verdict = if *passed { "passed" } else { "FAILED" };
                    checks.add_row([(*check).to_owned(), verdict.to_owned(), detail.clone()]);
                }
                Line::Run { .. } | Line::Sample { .. } => {}
            }
        }
        [spans, rates, processes, parts, checks].map(|table| format!("{table}\n")).join("\n")
    }
}

/// An empty table with these columns.
pub fn table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(columns);
    table
}

fn mb(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / 1e6)
}

fn span_row(what: &str, role: &str, occasion: &str, since: &str, spans: &Summary) -> Vec<String> {
    let ms = |value: f64| format!("{value:.1}");
    let mut row: Vec<String> = [what, role, occasion, since].map(str::to_owned).into();
    row.push(spans.count.to_string());
    row.extend([spans.p50_ms, spans.p99_ms, spans.worst_ms].map(ms));
    row
}

/// A check's line.
pub fn check(check: &'static str, passed: bool, detail: impl Display) -> Line {
    Line::Check { check, passed, detail: detail.to_string() }
}
