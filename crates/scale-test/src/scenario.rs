//! The scenario file: what a run is to do, read strictly and checked for sizes that make sense.
//!
//! Field names follow the code's terms; `rename` keeps the keys and the type names that the file format and its
//! error lines have always had.

mod validation;

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::ScaleTestError;

/// The only version of the file format that is read.
pub const VERSION: u32 = 1;

/// One scale run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file format.
    pub version: u32,
    /// The name under which results refer to the scenario.
    pub name: String,
    /// What the scenario is for.
    #[serde(rename = "about")]
    pub description: String,
    /// The seed from which changes and traffic are drawn.
    pub seed: u64,
    /// The longest that the whole run may take, in seconds; a longer one is aborted.
    #[serde(rename = "limit_s")]
    pub time_limit_s: f64,
    /// The forwarders.
    pub fleet: Fleet,
    /// The endpoint list at the start.
    pub list: List,
    /// Changes of the endpoint list during the run.
    pub changes: Changes,
    /// The resource limits of each real forwarder.
    #[serde(default, rename = "process")]
    pub process_limits: ProcessLimits,
    /// Messages that clients submit.
    #[serde(default)]
    pub traffic: Traffic,
    /// The faults that are carried out.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
    /// The sizes of a fit; needed only by the command `fit`.
    pub fit: Option<FitSizes>,
}

/// The forwarders, numbered consecutively, real ones first. Number `n` is in zone `n mod zones`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Real forwarders: processes of the daemon.
    pub real: u32,
    /// Hollow forwarders, all in this program.
    pub hollow: u32,
    /// Threads that hollow forwarders share.
    #[serde(default = "default_hollow_threads")]
    pub hollow_threads: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions; zone `z` belongs to region `z mod regions`.
    pub regions: u32,
}

/// The endpoint list at the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Endpoints, each with a destination of its own.
    #[serde(rename = "targets")]
    pub endpoints: u32,
    /// Full lists that the control plane sends concurrently; further ones wait.
    #[serde(default = "default_concurrent_full_lists", rename = "whole_at_once")]
    pub concurrent_full_lists: u32,
    /// How long it may take until the list is in force at each forwarder, in seconds.
    #[serde(rename = "start_within_s")]
    pub start_timeout_s: f64,
}

/// Changes of the endpoint list during the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Time between two changes, in seconds.
    #[serde(rename = "every_s")]
    pub interval_s: f64,
    /// Each so-many-th change lists a new destination, by which real forwarders are probed; the others move an
    /// endpoint.
    #[serde(rename = "probe_every")]
    pub probe_every_nth: u32,
    /// How long changes go on, in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// How long the last change may take to be in force everywhere, in seconds.
    #[serde(rename = "settle_within_s")]
    pub settle_timeout_s: f64,
}

/// The resource limits that each real forwarder is configured with.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Process")]
pub struct ProcessLimits {
    /// Memory, in MiB.
    pub memory_mb: u32,
    /// File descriptors.
    pub descriptors: u32,
    /// Disk space, in MiB.
    pub disk_mb: u32,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_mb: 192, descriptors: 1024, disk_mb: 3 }
    }
}

/// Messages that clients submit at real forwarders.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages per second at each real forwarder; 0 for none.
    #[serde(rename = "per_forwarder_per_s")]
    pub messages_per_forwarder_per_s: f64,
}

/// A fault that is carried out. `at_s` is its time in seconds after the end of the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields, rename = "Trouble")]
pub enum Fault {
    /// Some forwarders are restarted one after the other, each by SIGTERM and 3.7 s later SIGKILL.
    RollingRestart {
        /// When the first one is stopped.
        at_s: f64,
        /// Each so-many-th forwarder is restarted.
        #[serde(rename = "one_in")]
        every_nth: u32,
        /// Time from one forwarder's stop to the next one's, in seconds.
        #[serde(rename = "gap_s")]
        stagger_s: f64,
        /// Time from a forwarder's end to its next start, in seconds.
        down_s: f64,
    },
    /// The control plane ends and restarts.
    ControlRestart {
        /// When it ends.
        at_s: f64,
        /// How long it is down, in seconds.
        down_s: f64,
        /// Whether it comes up without the changes from before, so that it has to send full lists.
        #[serde(rename = "forgets")]
        discards_changes: bool,
    },
    /// All forwarders of a zone are killed and restarted at once.
    #[serde(rename = "zone")]
    ZoneOutage {
        /// When they are killed.
        at_s: f64,
        /// How long they are down, in seconds.
        down_s: f64,
        /// The zone.
        zone: u32,
    },
    /// Some forwarders of a zone are killed and restarted at once.
    #[serde(rename = "rack")]
    RackOutage {
        /// When they are killed.
        at_s: f64,
        /// How long they are down, in seconds.
        down_s: f64,
        /// The zone of the rack.
        zone: u32,
        /// How many forwarders the rack has.
        #[serde(rename = "machines")]
        forwarder_count: u32,
    },
    /// A network partition: the control plane can't be reached from a region, and no connection is reset before the
    /// partition ends.
    #[serde(rename = "region_cut")]
    RegionPartition {
        /// When it begins.
        at_s: f64,
        /// How long it lasts, in seconds.
        #[serde(rename = "lasts_s")]
        duration_s: f64,
        /// The region.
        region: u32,
    },
}

/// The kind of a fault, ordered by its name in results.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// [`Fault::ControlRestart`]
    ControlRestart,
    /// [`Fault::RackOutage`]
    RackOutage,
    /// [`Fault::RegionPartition`]
    RegionPartition,
    /// [`Fault::RollingRestart`]
    RollingRestart,
    /// [`Fault::ZoneOutage`]
    ZoneOutage,
}

/// The sizes of a fit: two series, of which one is run after the other. Sizes that a series does not vary stay as
/// the scenario has them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Fit")]
pub struct FitSizes {
    /// The series over endpoints.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<u32>,
    /// The series over hollow forwarders.
    #[serde(default)]
    pub hollow: Vec<u32>,
    /// The number of endpoints for which the fitted lines are evaluated.
    #[serde(rename = "target_targets")]
    pub planned_endpoints: u32,
    /// The number of forwarders for which the fitted lines are evaluated.
    #[serde(rename = "target_forwarders")]
    pub planned_forwarders: u32,
}

fn default_hollow_threads() -> u32 {
    1
}

fn default_concurrent_full_lists() -> u32 {
    8
}

impl Scenario {
    /// Reads a scenario file and checks it.
    pub fn read(file: &Path) -> Result<Scenario, ScaleTestError> {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| ScaleTestError::invalid_input(&name, "a scenario file", e))?;
        Scenario::parse(&name.to_string(), &text)
    }

    /// Parses the text of a scenario and checks it; `place` names the text in errors.
    pub fn parse(place: &str, text: &str) -> Result<Scenario, ScaleTestError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |span| line_number(text, span.start));
            let found = e.message().replace('\n', " ");
            ScaleTestError::invalid_input(format!("{place} line {line}"), "a scale scenario", found)
        })?;
        scenario.validate().map_err(|invalid| {
            ScaleTestError::invalid_input(
                format!("{place} key {}", invalid.key),
                invalid.expected,
                invalid.found,
            )
        })?;
        Ok(scenario)
    }

    /// The number of all forwarders, real and hollow.
    pub fn forwarders(&self) -> u32 {
        self.fleet.real.saturating_add(self.fleet.hollow)
    }

    /// The zone of a forwarder.
    pub fn zone_of(&self, forwarder: u32) -> u32 {
        forwarder % self.fleet.zones
    }

    /// The region of a forwarder.
    pub fn region_of(&self, forwarder: u32) -> u32 {
        self.zone_of(forwarder) % self.fleet.regions
    }
}

/// The line number, counted from 1, of a byte in a text.
fn line_number(text: &str, byte: usize) -> usize {
    text[..byte.min(text.len())].matches('\n').count() + 1
}

impl Fault {
    /// When the fault begins, in seconds after the end of the start.
    pub fn at_s(&self) -> f64 {
        match self {
            Fault::RollingRestart { at_s, .. }
            | Fault::ControlRestart { at_s, .. }
            | Fault::ZoneOutage { at_s, .. }
            | Fault::RackOutage { at_s, .. }
            | Fault::RegionPartition { at_s, .. } => *at_s,
        }
    }

    /// The kind of this fault.
    pub fn kind(&self) -> FaultKind {
        match self {
            Fault::RollingRestart { .. } => FaultKind::RollingRestart,
            Fault::ControlRestart { .. } => FaultKind::ControlRestart,
            Fault::ZoneOutage { .. } => FaultKind::ZoneOutage,
            Fault::RackOutage { .. } => FaultKind::RackOutage,
            Fault::RegionPartition { .. } => FaultKind::RegionPartition,
        }
    }
}

impl FaultKind {
    /// The name in scenario files and in results.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::ControlRestart => "control_restart",
            FaultKind::RackOutage => "rack",
            FaultKind::RegionPartition => "region_cut",
            FaultKind::RollingRestart => "rolling_restart",
            FaultKind::ZoneOutage => "zone",
        }
    }
}
