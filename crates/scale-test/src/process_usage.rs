//! What processes and threads use, by the system's own counters.

use std::collections::BTreeMap;

use procfs::process::{Process, Stat};
use serde::Serialize;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResourceUsage {
    /// Processor time, in seconds.
    pub(crate) processor_s: f64,
    /// Resident memory now, in bytes.
    pub(crate) resident_bytes: u64,
    /// The most resident memory so far, in bytes.
    pub(crate) resident_peak_bytes: u64,
}

impl ResourceUsage {
    /// What a process has used; none once it has ended.
    pub(crate) fn of_process(pid: i32) -> Option<ResourceUsage> {
        let process = Process::new(pid).ok()?;
        let status = process.status().ok()?;
        Some(ResourceUsage {
            processor_s: processor_s(&process.stat().ok()?),
            resident_bytes: status.vmrss? * 1024,
            resident_peak_bytes: status.vmhwm? * 1024,
        })
    }

    /// What this process has used.
    pub(crate) fn of_this_process() -> ResourceUsage {
        i32::try_from(std::process::id()).ok().and_then(ResourceUsage::of_process).unwrap_or_default()
    }

    /// The usage of two processes that ran one after the other.
    pub(crate) fn followed_by(self, next: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            processor_s: self.processor_s + next.processor_s,
            resident_bytes: next.resident_bytes,
            resident_peak_bytes: self.resident_peak_bytes.max(next.resident_peak_bytes),
        }
    }
}

/// What all processes of one real forwarder have used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ForwarderUsage {
    /// The forwarder's number.
    pub forwarder: u32,
    /// How often it was started.
    pub starts: u64,
    /// Processor time of all its processes, in seconds.
    pub processor_s: f64,
    /// Resident memory of the process that runs now, in bytes.
    pub resident_bytes: u64,
    /// The most resident memory that any of its processes had, in bytes.
    pub resident_peak_bytes: u64,
}

/// Processor time of this process's threads in seconds, those of one name together.
pub(crate) fn thread_processor_s() -> BTreeMap<String, f64> {
    let mut threads = BTreeMap::new();
    let Ok(tasks) = Process::myself().and_then(|me| me.tasks()) else { return threads };
    for stat in tasks.filter_map(|task| task.ok()?.stat().ok()) {
        let used = processor_s(&stat);
        *threads.entry(stat.comm).or_insert(0.0) += used;
    }
    threads
}

fn processor_s(stat: &Stat) -> f64 {
    (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
}
