//! Validates the values of a scenario. Errors name the keys of the scenario file.

use super::{Fault, FitSizes, Fleet, InitialList, ProcessLimits, Scenario, FORMAT_VERSION};

// Limits of a run on one machine.
const MAX_REAL_FORWARDERS: u32 = 100;
const MAX_HOLLOW_FORWARDERS: u32 = 2_000;
const MAX_ENDPOINTS: u32 = 1_000_000;
const MAX_CHANGES: f64 = 100_000.0;
const MAX_DURATION_S: f64 = 7_200.0;
const MIN_DURATION_S: f64 = 0.001;
/// Maximum time that a fault keeps a process down, and maximum time between two restarts of a rolling
/// restart.
const MAX_DOWNTIME_S: f64 = 600.0;
const MAX_PARTITION_S: f64 = 3_600.0;
/// Minimum number of different sizes in a series of a fit.
const MIN_FIT_SIZES: usize = 4;

/// A key with an invalid value.
pub(super) struct InvalidKey {
    /// The key in the scenario file.
    pub(super) key: String,
    /// The values that are accepted.
    pub(super) expected: String,
    /// The value that was found.
    pub(super) found: String,
}

/// Returns an error unless the value is from `min` to `max`, both included.
fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidKey> {
    if value.is_finite() && value >= min && value <= max {
        return Ok(());
    }
    Err(InvalidKey { key: key.to_owned(), expected: format!("{min} to {max}"), found: value.to_string() })
}

fn check_count(key: &str, value: u32, min: u32, max: u32) -> Result<(), InvalidKey> {
    check_range(key, f64::from(value), f64::from(min), f64::from(max))
}

fn check_duration(key: &str, seconds: f64) -> Result<(), InvalidKey> {
    check_range(key, seconds, MIN_DURATION_S, MAX_DURATION_S)
}

impl Scenario {
    /// Returns an error for the first key with an invalid value.
    pub(super) fn validate(&self) -> Result<(), InvalidKey> {
        check_count("version", self.version, FORMAT_VERSION, FORMAT_VERSION)?;
        check_duration("limit_s", self.time_limit_s)?;
        self.fleet.validate()?;
        self.list.validate()?;
        self.validate_changes()?;
        self.process_limits.validate()?;
        check_range("traffic.per_forwarder_per_s", self.traffic.messages_per_forwarder_per_s, 0.0, 2_000.0)?;
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(index, fault)?;
        }
        self.fit.as_ref().map_or(Ok(()), FitSizes::validate)
    }

    fn validate_changes(&self) -> Result<(), InvalidKey> {
        let changes = &self.changes;
        check_duration("changes.every_s", changes.interval_s)?;
        check_duration("changes.lasts_s", changes.duration_s)?;
        check_duration("changes.settle_within_s", changes.settle_timeout_s)?;
        check_count("changes.probe_every", changes.probe_every_nth, 1, 1_000)?;
        check_range("changes.lasts_s by every_s", changes.duration_s / changes.interval_s, 1.0, MAX_CHANGES)
    }

    fn validate_fault(&self, index: usize, fault: &Fault) -> Result<(), InvalidKey> {
        let key = |name: &str| format!("trouble[{index}].{name}");
        let check_downtime = |down_s: f64| check_range(&key("down_s"), down_s, 0.0, MAX_DOWNTIME_S);
        let check_zone = |zone: u32| check_count(&key("zone"), zone, 0, self.fleet.zones - 1);
        check_range(&key("at_s"), fault.at_s(), 0.0, self.changes.duration_s)?;
        match fault {
            Fault::RollingRestart { every_nth, stagger_s, down_s, .. } => {
                check_count(&key("one_in"), *every_nth, 1, MAX_HOLLOW_FORWARDERS)?;
                check_range(&key("gap_s"), *stagger_s, 0.0, MAX_DOWNTIME_S)?;
                check_downtime(*down_s)
            }
            Fault::ControlRestart { down_s, .. } => check_downtime(*down_s),
            Fault::ZoneOutage { down_s, zone, .. } => {
                check_downtime(*down_s)?;
                check_zone(*zone)
            }
            Fault::RackOutage { down_s, zone, forwarder_count, .. } => {
                check_downtime(*down_s)?;
                check_zone(*zone)?;
                check_count(&key("machines"), *forwarder_count, 1, MAX_HOLLOW_FORWARDERS)
            }
            Fault::RegionPartition { duration_s, region, .. } => {
                check_range(&key("lasts_s"), *duration_s, 0.0, MAX_PARTITION_S)?;
                check_count(&key("region"), *region, 0, self.fleet.regions - 1)
            }
        }
    }
}

impl Fleet {
    fn validate(&self) -> Result<(), InvalidKey> {
        let forwarders = self.real.saturating_add(self.hollow);
        check_count("fleet.real", self.real, 0, MAX_REAL_FORWARDERS)?;
        check_count("fleet.hollow", self.hollow, 0, MAX_HOLLOW_FORWARDERS)?;
        check_count(
            "fleet.real and fleet.hollow",
            forwarders,
            1,
            MAX_REAL_FORWARDERS + MAX_HOLLOW_FORWARDERS,
        )?;
        check_count("fleet.hollow_threads", self.hollow_threads, 1, 64)?;
        check_count("fleet.zones", self.zones, 1, 100)?;
        check_count("fleet.regions", self.regions, 1, self.zones)
    }
}

impl InitialList {
    fn validate(&self) -> Result<(), InvalidKey> {
        check_count("list.targets", self.endpoints, 2, MAX_ENDPOINTS)?;
        check_count("list.whole_at_once", self.concurrent_full_lists, 1, MAX_HOLLOW_FORWARDERS)?;
        check_duration("list.start_within_s", self.start_timeout_s)
    }
}

impl ProcessLimits {
    fn validate(&self) -> Result<(), InvalidKey> {
        check_count("process.memory_mb", self.memory_mb, 8, 16_384)?;
        check_count("process.descriptors", self.descriptors, 64, 1_048_576)?;
        check_count("process.disk_mb", self.disk_mb, 1, 4_096)
    }
}

impl FitSizes {
    fn validate(&self) -> Result<(), InvalidKey> {
        check_series("fit.targets", &self.endpoints, MAX_ENDPOINTS)?;
        check_series("fit.hollow", &self.hollow, MAX_HOLLOW_FORWARDERS)?;
        if self.endpoints.is_empty() && self.hollow.is_empty() {
            return Err(InvalidKey {
                key: "fit".to_owned(),
                expected: "a series of sizes in fit.targets or fit.hollow".to_owned(),
                found: "none".to_owned(),
            });
        }
        check_count("fit.target_targets", self.planned_endpoints, 1, u32::MAX)?;
        check_count("fit.target_forwarders", self.planned_forwarders, 1, u32::MAX)
    }
}

/// Returns an error unless a series is empty or has at least [`MIN_FIT_SIZES`] different sizes.
fn check_series(key: &str, sizes: &[u32], max: u32) -> Result<(), InvalidKey> {
    sizes.iter().try_for_each(|size| check_count(key, *size, 1, max))?;
    let mut distinct = sizes.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    if sizes.is_empty() || distinct.len() >= MIN_FIT_SIZES {
        return Ok(());
    }
    Err(InvalidKey {
        key: key.to_owned(),
        expected: format!("{MIN_FIT_SIZES} different sizes or more, or none"),
        found: distinct.len().to_string(),
    })
}
