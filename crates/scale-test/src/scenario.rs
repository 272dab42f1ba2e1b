//! What a scenario file asks for, read strictly and checked for sizes that make sense.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// The only version of the form that is read.
pub const VERSION: u32 = 1;

/// One scale run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub version: u32,
    pub name: String,
    pub about: String,
    pub seed: u64,
    /// The whole run takes no longer, in seconds; one that does is broken off.
    pub limit_s: f64,
    pub fleet: Fleet,
    pub list: List,
    pub changes: Changes,
    #[serde(default)]
    pub process: Process,
    #[serde(default)]
    pub traffic: Traffic,
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    pub fit: Option<Fit>,
}

/// The forwarders, numbered through: real ones first. Number `n` stands in zone `n mod zones`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Processes of the daemon.
    pub real: u32,
    /// Hollow forwarders, all in this program.
    pub hollow: u32,
    /// Threads that hollow forwarders share.
    #[serde(default = "one")]
    pub hollow_threads: u32,
    pub zones: u32,
    /// Zone `z` belongs to region `z mod regions`.
    pub regions: u32,
}

/// The whole list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Targets, each with a destination of its own.
    pub targets: u32,
    /// Whole lists that the control side sends side by side; further ones wait.
    #[serde(default = "eight")]
    pub whole_at_once: u32,
    /// How long all forwarders may take until the list is in force at each, in seconds.
    pub start_within_s: f64,
}

/// Changes of the list while the run lasts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// One change each so many seconds.
    pub every_s: f64,
    /// Each so-many-th change lists a new destination, by which real forwarders are probed; others move a target.
    pub probe_every: u32,
    /// Changes go on for so many seconds.
    pub lasts_s: f64,
    /// How long the last change may take to be in force everywhere, in seconds.
    pub settle_within_s: f64,
}

/// What each real forwarder is told of its machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    pub memory_mb: u32,
    pub descriptors: u32,
    pub disk_mb: u32,
}

impl Default for Process {
    fn default() -> Process {
        Process { memory_mb: 192, descriptors: 1024, disk_mb: 3 }
    }
}

/// Envelopes that clients hand in at real forwarders.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// At each real forwarder; 0 for none.
    pub per_forwarder_per_s: f64,
}

/// What goes wrong, and when, in seconds from the end of the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// Each `one_in`-th forwarder is restarted, one each `gap_s`, by SIGTERM and 3.7 s later SIGKILL.
    RollingRestart { at_s: f64, one_in: u32, gap_s: f64, down_s: f64 },
    /// The control side ends, and is back `down_s` later; `forgets` says that it knows no changes from before.
    ControlRestart { at_s: f64, down_s: f64, forgets: bool },
    /// All forwarders of a zone are killed and come back at once.
    Zone { at_s: f64, down_s: f64, zone: u32 },
    /// So many forwarders of a zone are killed and come back at once.
    Rack { at_s: f64, down_s: f64, zone: u32, machines: u32 },
    /// The control side can't be reached from a region; nothing is reset before the cut ends.
    RegionCut { at_s: f64, lasts_s: f64, region: u32 },
}

/// Sizes for `fit`, of which one line is run after the other; the other sizes stay as the scenario has them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    #[serde(default)]
    pub targets: Vec<u32>,
    #[serde(default)]
    pub hollow: Vec<u32>,
    /// The sizes that the slopes are told for.
    pub target_targets: u32,
    pub target_forwarders: u32,
}

fn one() -> u32 {
    1
}

fn eight() -> u32 {
    8
}

/// Sizes that no run on one machine goes beyond.
const MOST_REAL: u32 = 100;
const MOST_HOLLOW: u32 = 2_000;
const MOST_TARGETS: u32 = 1_000_000;
const MOST_CHANGES: f64 = 100_000.0;
const MOST_SECONDS: f64 = 7_200.0;
/// Least sizes in a line of `fit`.
pub const LEAST_SIZES: usize = 4;

impl Scenario {
    /// Reads a scenario and checks it.
    pub fn read(file: &Path) -> Result<Scenario, Fault> {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|e| Fault::input(&name, "a scenario file", e))?;
        Scenario::parse(&name.to_string(), &text)
    }

    /// Reads the text of a scenario; `place` names it in faults.
    pub fn parse(place: &str, text: &str) -> Result<Scenario, Fault> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line =
                e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            Fault::input(format!("{place} line {line}"), "a scale scenario", e.message().replace('\n', " "))
        })?;
        scenario
            .check()
            .map_err(|(key, expected, found)| Fault::input(format!("{place} key {key}"), expected, found))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), (String, String, String)> {
        let within = |key: &str, value: f64, least: f64, most: f64| {
            let fits = value.is_finite() && value >= least && value <= most;
            fits.then_some(()).ok_or((key.to_owned(), format!("{least} to {most}"), value.to_string()))
        };
        let count = |key: &str, value: u32, least: u32, most: u32| {
            within(key, f64::from(value), f64::from(least), f64::from(most))
        };
        let seconds = |key: &str, value: f64| within(key, value, 0.001, MOST_SECONDS);
        count("version", self.version, VERSION, VERSION)?;
        seconds("limit_s", self.limit_s)?;
        count("fleet.real", self.fleet.real, 0, MOST_REAL)?;
        count("fleet.hollow", self.fleet.hollow, 0, MOST_HOLLOW)?;
        count("fleet.real and fleet.hollow", self.forwarders(), 1, MOST_REAL + MOST_HOLLOW)?;
        count("fleet.hollow_threads", self.fleet.hollow_threads, 1, 64)?;
        count("fleet.zones", self.fleet.zones, 1, 100)?;
        count("fleet.regions", self.fleet.regions, 1, self.fleet.zones)?;
        count("list.targets", self.list.targets, 2, MOST_TARGETS)?;
        count("list.whole_at_once", self.list.whole_at_once, 1, MOST_HOLLOW)?;
        seconds("list.start_within_s", self.list.start_within_s)?;
        seconds("changes.every_s", self.changes.every_s)?;
        seconds("changes.lasts_s", self.changes.lasts_s)?;
        seconds("changes.settle_within_s", self.changes.settle_within_s)?;
        count("changes.probe_every", self.changes.probe_every, 1, 1_000)?;
        within("changes.lasts_s by every_s", self.changes.lasts_s / self.changes.every_s, 1.0, MOST_CHANGES)?;
        count("process.memory_mb", self.process.memory_mb, 8, 16_384)?;
        count("process.descriptors", self.process.descriptors, 64, 1_048_576)?;
        count("process.disk_mb", self.process.disk_mb, 1, 4_096)?;
        within("traffic.per_forwarder_per_s", self.traffic.per_forwarder_per_s, 0.0, 2_000.0)?;
        for (n, trouble) in self.trouble.iter().enumerate() {
            let key = |name: &str| format!("trouble[{n}].{name}");
            within(&key("at_s"), trouble.at_s(), 0.0, self.changes.lasts_s)?;
            match trouble {
                Trouble::RollingRestart { one_in, gap_s, down_s, .. } => {
                    count(&key("one_in"), *one_in, 1, MOST_HOLLOW)?;
                    within(&key("gap_s"), *gap_s, 0.0, 600.0)?;
                    within(&key("down_s"), *down_s, 0.0, 600.0)?;
                }
                Trouble::ControlRestart { down_s, .. } => within(&key("down_s"), *down_s, 0.0, 600.0)?,
                Trouble::Zone { down_s, zone, .. } => {
                    within(&key("down_s"), *down_s, 0.0, 600.0)?;
                    count(&key("zone"), *zone, 0, self.fleet.zones - 1)?;
                }
                Trouble::Rack { down_s, zone, machines, .. } => {
                    within(&key("down_s"), *down_s, 0.0, 600.0)?;
                    count(&key("zone"), *zone, 0, self.fleet.zones - 1)?;
                    count(&key("machines"), *machines, 1, MOST_HOLLOW)?;
                }
                Trouble::RegionCut { lasts_s, region, .. } => {
                    within(&key("lasts_s"), *lasts_s, 0.0, 3_600.0)?;
                    count(&key("region"), *region, 0, self.fleet.regions - 1)?;
                }
            }
        }
        if let Some(fit) = &self.fit {
            for (key, sizes, most) in
                [("fit.targets", &fit.targets, MOST_TARGETS), ("fit.hollow", &fit.hollow, MOST_HOLLOW)]
            {
                sizes.iter().try_for_each(|size| count(key, *size, 1, most))?;
                let mut distinct = sizes.clone();
                distinct.sort_unstable();
                distinct.dedup();
                if !sizes.is_empty() && distinct.len() < LEAST_SIZES {
                    let expected = format!("{LEAST_SIZES} different sizes or more, or none");
                    return Err((key.to_owned(), expected, distinct.len().to_string()));
                }
            }
            if fit.targets.is_empty() && fit.hollow.is_empty() {
                let expected = "a line of sizes in fit.targets or fit.hollow".to_owned();
                return Err(("fit".to_owned(), expected, "none".to_owned()));
            }
            count("fit.target_targets", fit.target_targets, 1, u32::MAX)?;
            count("fit.target_forwarders", fit.target_forwarders, 1, u32::MAX)?;
        }
        Ok(())
    }

    /// All forwarders, real and hollow.
    pub fn forwarders(&self) -> u32 {
        self.fleet.real.saturating_add(self.fleet.hollow)
    }

    pub fn zone_of(&self, forwarder: u32) -> u32 {
        forwarder % self.fleet.zones
    }

    pub fn region_of(&self, forwarder: u32) -> u32 {
        self.zone_of(forwarder) % self.fleet.regions
    }
}

impl Trouble {
    pub fn at_s(&self) -> f64 {
        match self {
            Trouble::RollingRestart { at_s, .. }
            | Trouble::ControlRestart { at_s, .. }
            | Trouble::Zone { at_s, .. }
            | Trouble::Rack { at_s, .. }
            | Trouble::RegionCut { at_s, .. } => *at_s,
        }
    }

    /// As results name it.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::RollingRestart { .. } => "rolling_restart",
            Trouble::ControlRestart { .. } => "control_restart",
            Trouble::Zone { .. } => "zone",
            Trouble::Rack { .. } => "rack",
            Trouble::RegionCut { .. } => "region_cut",
        }
    }
}
