//! Parses and validates scenario files, which describe the fleet, the load and the faults of a run.
//!
//! `rename` attributes keep the keys of the file format, and the type names in its error messages.

mod validation;

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::ScaleTestError;

/// The only supported version of the file format.
pub const FORMAT_VERSION: u32 = 1;

/// The content of a scenario file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file format; only [`FORMAT_VERSION`] is accepted.
    pub version: u32,
    /// The name of the scenario in results.
    pub name: String,
    /// The purpose of the scenario.
    #[serde(rename = "about")]
    pub description: String,
    /// The seed of the random draws of list changes and traffic.
    pub seed: u64,
    /// The time limit of the whole run, in seconds. A longer run is aborted.
    #[serde(rename = "limit_s")]
    pub time_limit_s: f64,
    /// The number of forwarders, zones and regions.
    pub fleet: Fleet,
    /// The endpoint list at the start of the run.
    pub list: InitialList,
    /// Changes of the endpoint list during the run.
    pub changes: ListChanges,
    /// The resource limits of each real forwarder.
    #[serde(default, rename = "process")]
    pub process_limits: ProcessLimits,
    /// The rate of messages from clients.
    #[serde(default)]
    pub traffic: Traffic,
    /// The faults to inject.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
    /// The sizes of the runs of the command `fit`; `None` if the scenario has no such sizes.
    pub fit: Option<FitSizes>,
}

/// The forwarders, numbered consecutively from 0, real ones first. Forwarder `n` is in zone `n mod zones`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of real forwarders, which are processes of the daemon.
    pub real: u32,
    /// The number of hollow forwarders, which run in this program and only keep the endpoint list.
    pub hollow: u32,
    /// The number of threads that run hollow forwarders.
    #[serde(default = "default_hollow_threads")]
    pub hollow_threads: u32,
    /// The number of zones.
    pub zones: u32,
    /// The number of regions; zone `z` belongs to region `z mod regions`.
    pub regions: u32,
}

/// The endpoint list at the start of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "List")]
pub struct InitialList {
    /// The number of endpoints, each of which serves its own destination.
    #[serde(rename = "targets")]
    pub endpoints: u32,
    /// The maximum number of full lists that the control plane sends concurrently; further ones are queued.
    #[serde(default = "default_concurrent_full_lists", rename = "whole_at_once")]
    pub concurrent_full_lists: u32,
    /// The time within which the list must be in effect at all forwarders, in seconds after the first start.
    #[serde(rename = "start_within_s")]
    pub start_timeout_s: f64,
}

/// Changes of the endpoint list during the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Changes")]
pub struct ListChanges {
    /// The time between two changes, in seconds.
    #[serde(rename = "every_s")]
    pub interval_s: f64,
    /// Every n-th change lists a new destination, for which real forwarders are probed. The other changes
    /// give an endpoint a new address.
    #[serde(rename = "probe_every")]
    pub probe_every_nth: u32,
    /// The time over which changes are made, in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// The time within which the last change must be in effect at all forwarders, in seconds after all
    /// changes and faults have ended.
    #[serde(rename = "settle_within_s")]
    pub settle_timeout_s: f64,
}

/// The resource limits in the configuration of each real forwarder.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Process")]
pub struct ProcessLimits {
    /// The memory limit, in MiB.
    pub memory_mb: u32,
    /// The maximum number of open file descriptors.
    pub descriptors: u32,
    /// The disk space limit, in MiB.
    pub disk_mb: u32,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_mb: 192, descriptors: 1024, disk_mb: 3 }
    }
}

/// The rate of messages that clients submit to real forwarders.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The messages per second submitted to each real forwarder; 0 for no traffic.
    #[serde(rename = "per_forwarder_per_s")]
    pub messages_per_forwarder_per_s: f64,
}

/// A fault to inject. `at_s` is the time at which the fault begins, in seconds after the end of the startup
/// phase.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields, rename = "Trouble")]
pub enum Fault {
    /// Restarts some forwarders one after the other. Real ones get SIGTERM, and SIGKILL 3.7 s later.
    RollingRestart {
        /// When the first forwarder is stopped.
        at_s: f64,
        /// Forwarders whose number is divisible by this are restarted.
        #[serde(rename = "one_in")]
        every_nth: u32,
        /// The time between the stops of two forwarders, in seconds.
        #[serde(rename = "gap_s")]
        stagger_s: f64,
        /// The time from the end of a forwarder until its restart, in seconds.
        down_s: f64,
    },
    /// Stops and restarts the control plane.
    ControlRestart {
        /// When the control plane is stopped.
        at_s: f64,
        /// How long the control plane is down, in seconds.
        down_s: f64,
        /// Whether the restarted control plane has lost its change history, so that it has to send full
        /// lists.
        #[serde(rename = "forgets")]
        discards_changes: bool,
    },
    /// Kills and restarts all forwarders of a zone simultaneously.
    #[serde(rename = "zone")]
    ZoneOutage {
        /// When the forwarders are killed.
        at_s: f64,
        /// How long the forwarders are down, in seconds.
        down_s: f64,
        /// The number of the zone, from 0.
        zone: u32,
    },
    /// Kills and restarts some forwarders of a zone simultaneously.
    #[serde(rename = "rack")]
    RackOutage {
        /// When the forwarders are killed.
        at_s: f64,
        /// How long the forwarders are down, in seconds.
        down_s: f64,
        /// The number of the zone of the rack, from 0.
        zone: u32,
        /// The number of forwarders in the rack; they are the first ones of the zone.
        #[serde(rename = "machines")]
        forwarder_count: u32,
    },
    /// Partitions a region from the control plane. Connections are not reset before the partition ends.
    #[serde(rename = "region_cut")]
    RegionPartition {
        /// When the partition begins.
        at_s: f64,
        /// The duration of the partition, in seconds.
        #[serde(rename = "lasts_s")]
        duration_s: f64,
        /// The number of the region, from 0.
        region: u32,
    },
}

/// The kind of a fault. Kinds are ordered by their names in results.
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

/// The sizes of the runs of a fit, in two series that are run one after the other. Each series varies one
/// size, and takes the other one from the scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Fit")]
pub struct FitSizes {
    /// The numbers of endpoints of the first series; empty if there is no such series.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<u32>,
    /// The numbers of hollow forwarders of the second series; empty if there is no such series.
    #[serde(default)]
    pub hollow: Vec<u32>,
    /// The number of endpoints at which the lines of the first series are evaluated.
    #[serde(rename = "target_targets")]
    pub planned_endpoints: u32,
    /// The number of forwarders, real and hollow, at which the lines of the second series are evaluated.
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
    /// Reads, parses and validates a scenario file.
    pub fn read(file: &Path) -> Result<Scenario, ScaleTestError> {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| ScaleTestError::invalid_input(&name, "a scenario file", e))?;
        Scenario::parse(&name.to_string(), &text)
    }

    /// Parses and validates the text of a scenario; `place` is the name of the text in errors.
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

    /// Returns the number of forwarders, real and hollow.
    pub fn forwarders(&self) -> u32 {
        self.fleet.real.saturating_add(self.fleet.hollow)
    }

    /// Returns the zone of a forwarder.
    pub fn zone_of(&self, forwarder: u32) -> u32 {
        forwarder % self.fleet.zones
    }

    /// Returns the region of a forwarder.
    pub fn region_of(&self, forwarder: u32) -> u32 {
        self.zone_of(forwarder) % self.fleet.regions
    }
}

/// Returns the line number, from 1, of a byte offset in a text.
fn line_number(text: &str, byte: usize) -> usize {
    text[..byte.min(text.len())].matches('\n').count() + 1
}

impl Fault {
    /// Returns when the fault begins, in seconds after the end of the startup phase.
    pub fn at_s(&self) -> f64 {
        match self {
            Fault::RollingRestart { at_s, .. }
            | Fault::ControlRestart { at_s, .. }
            | Fault::ZoneOutage { at_s, .. }
            | Fault::RackOutage { at_s, .. }
            | Fault::RegionPartition { at_s, .. } => *at_s,
        }
    }

    /// Returns the kind of this fault.
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
    /// Returns the name that appears in scenario files and in results.
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
