//! The results of a run, and their form as JSON lines. `rename` keeps the keys that the output has always had.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use serde::Serialize;

use crate::error::ScaleTestError;
pub use crate::labels::{OperatingCondition, Role, RunPhase, Since};
pub use crate::latency::LatencySummary;
pub use crate::process_usage::ForwarderUsage;
use crate::scenario::Scenario;

/// One line of the results.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum ResultLine {
    /// What was run, and where.
    Run {
        /// The scenario as it was read.
        scenario: Box<Scenario>,
        /// The version of this program.
        version: &'static str,
        /// The cores that this process may use.
        cores: usize,
    },
    /// A sample of a running real process, taken each second.
    Sample {
        /// The time since the run began, in seconds.
        at_s: f64,
        /// What the forwarder has used.
        #[serde(rename = "used")]
        usage: ForwarderUsage,
    },
    /// The latency from a start until the full list was in force.
    ListInForce {
        /// The role of the forwarders.
        role: Role,
        /// Why they were started.
        occasion: OperatingCondition,
        /// The distribution over all starts.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// The latency from a change until it was in force.
    ChangeInForce {
        /// The role of the forwarders.
        role: Role,
        /// Whether the change was made in calm operation or is attributed to a fault.
        occasion: OperatingCondition,
        /// From when the latency counts.
        since: Since,
        /// The distribution over all changes and forwarders.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// The resolution of change latencies of real forwarders: from a probe's last rejection to its arrival.
    ProbeResolution {
        /// The distribution over all probes.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// Submissions of clients.
    #[serde(rename = "hand_in")]
    Submissions {
        /// The phase of the run.
        phase: RunPhase,
        /// The latency until an answer of any kind came.
        #[serde(rename = "spans")]
        latency: LatencySummary,
        /// Messages that were accepted.
        #[serde(rename = "taken_on")]
        accepted: u64,
        /// Messages that were rejected.
        #[serde(rename = "refused")]
        rejected: u64,
        /// Submissions without an answer in time.
        unanswered: u64,
    },
    /// What came of all messages, those of probes too.
    #[serde(rename = "ends")]
    Deliveries {
        /// Requests that came to stub endpoints.
        #[serde(rename = "calls")]
        requests: u64,
        /// Delivery notices that came to the control plane.
        notices: u64,
    },
    /// What a role exchanged with the control plane, counted from its own end.
    Exchange {
        /// The role.
        role: Role,
        /// The phase of the run.
        phase: RunPhase,
        /// The number of forwarders that share the traffic.
        forwarders: u32,
        /// The length of the phase, in seconds.
        seconds: f64,
        /// The mean rates over the phase.
        #[serde(rename = "figures")]
        rates: TrafficRates,
    },
    /// What a real forwarder has used in the whole run.
    Process {
        /// The usage of all its processes.
        #[serde(rename = "used")]
        usage: ForwarderUsage,
    },
    /// Processor time of the threads of one name in this program, after the start.
    #[serde(rename = "part")]
    Thread {
        /// The name of the threads.
        #[serde(rename = "part")]
        name: String,
        /// Processor time as a share of one core.
        core_share: f64,
    },
    /// Memory of this program.
    Program {
        /// Resident memory at the end, in bytes.
        resident_bytes: u64,
        /// The most resident memory, in bytes.
        resident_peak_bytes: u64,
    },
    /// A single figure, over which slopes can be fitted.
    Figure {
        /// The name, with its unit.
        name: String,
        /// The value.
        value: f64,
    },
    /// A condition that has to hold at the end of the run.
    Check {
        /// The condition.
        #[serde(rename = "check")]
        name: &'static str,
        /// Whether it holds.
        passed: bool,
        /// What was found.
        detail: String,
    },
}

impl ResultLine {
    /// A single figure.
    pub(crate) fn figure(name: impl Into<String>, value: f64) -> ResultLine {
        ResultLine::Figure { name: name.into(), value }
    }

    /// The verdict of a check.
    pub(crate) fn check(name: &'static str, passed: bool, detail: impl Display) -> ResultLine {
        ResultLine::Check { name, passed, detail: detail.to_string() }
    }
}

/// Mean rates of traffic.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficRates {
    /// Bytes received per second.
    pub received_bytes_per_s: f64,
    /// Bytes sent per second.
    pub sent_bytes_per_s: f64,
    /// Requests and lines of the endpoint list per second.
    pub messages_per_s: f64,
}

/// The verdict of a check.
#[derive(Clone, Copy, Debug)]
pub struct Verdict<'a> {
    /// Whether the condition holds.
    pub passed: bool,
    /// What was found.
    pub detail: &'a str,
}

/// All results of a run.
#[derive(Clone, Debug)]
pub struct Results {
    /// The results, in the order in which they are written.
    pub lines: Vec<ResultLine>,
}

impl Results {
    /// Whether every check passed.
    pub fn all_passed(&self) -> bool {
        self.lines.iter().all(|line| !matches!(line, ResultLine::Check { passed: false, .. }))
    }

    /// The verdict of the check of this name.
    pub fn check(&self, check: &str) -> Option<Verdict<'_>> {
        self.lines.iter().find_map(|line| match line {
            ResultLine::Check { name, passed, detail } if *name == check => {
                Some(Verdict { passed: *passed, detail })
            }
            _ => None,
        })
    }

    /// The single figures, by name.
    pub fn figures(&self) -> BTreeMap<&str, f64> {
        let figure = |line| match line {
            &ResultLine::Figure { ref name, value } => Some((name.as_str(), value)),
            _ => None,
        };
        self.lines.iter().filter_map(figure).collect()
    }

    /// Appends all lines to a file, each as a JSON object.
    pub fn append_to(&self, file: &Path) -> Result<(), ScaleTestError> {
        let write_error = |e: io::Error| {
            ScaleTestError::aborted(format!("results can't be written to {}", file.display()), e)
        };
        let file = File::options().create(true).append(true).open(file).map_err(write_error)?;
        let mut writer = BufWriter::new(file);
        for line in &self.lines {
            let text = serde_json::to_string(line).map_err(|e| write_error(e.into()))?;
            writeln!(writer, "{text}").map_err(write_error)?;
        }
        writer.flush().map_err(write_error)
    }
}
