//! The results of a run, which are written as JSON lines. `rename` attributes keep the keys of the output
//! format.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use serde::Serialize;

use crate::error::ScaleTestError;
pub use crate::labels::{Component, LatencyStart, OperatingCondition, RunPhase};
pub use crate::latency::LatencySummary;
pub use crate::process_usage::ForwarderUsage;
use crate::scenario::Scenario;

/// One line of the results.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum ResultLine {
    /// The scenario and the environment of the run.
    Run {
        /// The scenario, with defaults filled in.
        scenario: Box<Scenario>,
        /// The version of this program.
        version: &'static str,
        /// The number of cores that are available to this process.
        cores: usize,
    },
    /// The resource usage of a running real forwarder, sampled once a second.
    Sample {
        /// The time of the sample since the run began, in seconds.
        at_s: f64,
        /// The resources that the forwarder has used so far.
        #[serde(rename = "used")]
        usage: ForwarderUsage,
    },
    /// The latency from a start of a forwarder until its full endpoint list was in effect.
    #[serde(rename = "list_in_force")]
    ListInEffect {
        /// The forwarders that were measured: the real or the hollow ones.
        #[serde(rename = "role")]
        component: Component,
        /// The reason for which the forwarders were started.
        #[serde(rename = "occasion")]
        condition: OperatingCondition,
        /// The latencies of all starts.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// The latency from an endpoint list change until the change was in effect.
    #[serde(rename = "change_in_force")]
    ChangeInEffect {
        /// The forwarders that were measured: the real or the hollow ones.
        #[serde(rename = "role")]
        component: Component,
        /// Normal operation, or the fault to which the latencies are attributed.
        #[serde(rename = "occasion")]
        condition: OperatingCondition,
        /// The moment from which the latencies are measured.
        #[serde(rename = "since")]
        measured_from: LatencyStart,
        /// The latencies of all changes at hollow forwarders, or of probed changes at real ones.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// The resolution of the change latencies of real forwarders: from the last moment at which the change
    /// was known not to be in effect until the first request arrived.
    ProbeResolution {
        /// The resolutions of all probes.
        #[serde(rename = "spans")]
        latency: LatencySummary,
    },
    /// Messages that clients submitted in one phase.
    #[serde(rename = "hand_in")]
    Submissions {
        /// The phase of the run.
        phase: RunPhase,
        /// The latencies of submissions that got a response, whether accepted or rejected.
        #[serde(rename = "spans")]
        latency: LatencySummary,
        /// The number of accepted messages.
        #[serde(rename = "taken_on")]
        accepted: u64,
        /// The number of rejected messages.
        #[serde(rename = "refused")]
        rejected: u64,
        /// The number of submissions without a response before the timeout.
        unanswered: u64,
    },
    /// Deliveries of all messages, including those of probes.
    #[serde(rename = "ends")]
    Deliveries {
        /// The number of requests that stub endpoints received.
        #[serde(rename = "calls")]
        requests: u64,
        /// The number of delivery notices that the control plane received.
        notices: u64,
    },
    /// The traffic between the control plane and the forwarders, as sent and received by one component.
    Exchange {
        /// The component whose traffic this is.
        #[serde(rename = "role")]
        component: Component,
        /// The phase of the run.
        phase: RunPhase,
        /// The number of forwarders whose traffic is added up.
        forwarders: u32,
        /// The duration of the phase, in seconds.
        seconds: f64,
        /// The mean rates over the phase, added up over all forwarders.
        #[serde(rename = "figures")]
        rates: TrafficRates,
    },
    /// The resource usage of a real forwarder over the whole run.
    Process {
        /// The usage of all processes of the forwarder.
        #[serde(rename = "used")]
        usage: ForwarderUsage,
    },
    /// The processor time of all threads of this program that share a name, after the startup phase.
    #[serde(rename = "part")]
    Thread {
        /// The name of the threads.
        #[serde(rename = "part")]
        name: String,
        /// The processor time divided by the elapsed time; 1 is one full core.
        core_share: f64,
    },
    /// The memory of this program.
    Program {
        /// The resident memory at the end of the run, in bytes.
        resident_bytes: u64,
        /// The peak resident memory, in bytes.
        resident_peak_bytes: u64,
    },
    /// A single number, to which a line over run sizes can be fitted.
    #[serde(rename = "figure")]
    Metric {
        /// The name, which ends with the unit unless the value is a ratio.
        name: String,
        /// The value.
        value: f64,
    },
    /// The outcome of a check at the end of the run.
    Check {
        /// The condition that is checked.
        #[serde(rename = "check")]
        name: &'static str,
        /// Whether the condition holds.
        passed: bool,
        /// The counts or names found by the check.
        detail: String,
    },
}

impl ResultLine {
    /// Returns a [`ResultLine::Metric`].
    pub(crate) fn metric(name: impl Into<String>, value: f64) -> ResultLine {
        ResultLine::Metric { name: name.into(), value }
    }

    /// Returns a [`ResultLine::Check`].
    pub(crate) fn check(name: &'static str, passed: bool, detail: impl Display) -> ResultLine {
        ResultLine::Check { name, passed, detail: detail.to_string() }
    }
}

/// Mean traffic rates over a phase.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficRates {
    /// The bytes received per second.
    pub received_bytes_per_s: f64,
    /// The bytes sent per second.
    pub sent_bytes_per_s: f64,
    /// The requests and endpoint list lines per second, sent and received.
    pub messages_per_s: f64,
}

/// The outcome of a check.
#[derive(Clone, Copy, Debug)]
pub struct Verdict<'a> {
    /// Whether the condition holds.
    pub passed: bool,
    /// The counts or names found by the check.
    pub detail: &'a str,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Results {
    /// The results, in the order of the output.
    pub lines: Vec<ResultLine>,
}

impl Results {
    /// Returns whether all checks passed.
    pub fn all_passed(&self) -> bool {
        self.lines.iter().all(|line| !matches!(line, ResultLine::Check { passed: false, .. }))
    }

    /// Returns the outcome of the check named `check`, or `None` if the run has no check of that name.
    pub fn check_verdict(&self, check: &str) -> Option<Verdict<'_>> {
        self.lines.iter().find_map(|line| match line {
            ResultLine::Check { name, passed, detail } if *name == check => {
                Some(Verdict { passed: *passed, detail })
            }
            _ => None,
        })
    }

    /// Returns the values of all [`ResultLine::Metric`] lines by name.
    pub fn metrics(&self) -> BTreeMap<&str, f64> {
        let metric = |line| match line {
            &ResultLine::Metric { ref name, value } => Some((name.as_str(), value)),
            _ => None,
        };
        self.lines.iter().filter_map(metric).collect()
    }

    /// Appends all results to a file, one JSON object per line.
    pub fn append_to(&self, file: &Path) -> Result<(), ScaleTestError> {
        let write_error =
            |e: io::Error| ScaleTestError::aborted(format!("cannot write results to {}", file.display()), e);
        let file = File::options().create(true).append(true).open(file).map_err(write_error)?;
        let mut writer = BufWriter::new(file);
        for line in &self.lines {
            let text = serde_json::to_string(line).map_err(|e| write_error(e.into()))?;
            writeln!(writer, "{text}").map_err(write_error)?;
        }
        writer.flush().map_err(write_error)
    }
}
