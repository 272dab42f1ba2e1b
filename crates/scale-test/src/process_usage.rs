//! Processor time and memory of processes and threads, read from procfs.

use std::collections::BTreeMap;

use procfs::process::{Process, Stat};
use serde::Serialize;

/// The processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResourceUsage {
    /// User and system time, in seconds.
    pub(crate) processor_s: f64,
    /// Current resident memory, in bytes.
    pub(crate) resident_bytes: u64,
    /// Peak resident memory, in bytes.
    pub(crate) resident_peak_bytes: u64,
}

impl ResourceUsage {
    /// Returns the usage of a process, or `None` if the process has ended.
    pub(crate) fn of_process(pid: i32) -> Option<ResourceUsage> {
        let process = Process::new(pid).ok()?;
        let status = process.status().ok()?;
        Some(ResourceUsage {
            processor_s: processor_s(&process.stat().ok()?),
            resident_bytes: status.vmrss? * 1024,
            resident_peak_bytes: status.vmhwm? * 1024,
        })
    }

    /// Returns the usage of this process; zero if procfs cannot be read.
    pub(crate) fn of_this_process() -> ResourceUsage {
        i32::try_from(std::process::id()).ok().and_then(ResourceUsage::of_process).unwrap_or_default()
    }

    /// Returns the combined usage of two processes, of which `next` ran after `self`.
    pub(crate) fn followed_by(self, next: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            processor_s: self.processor_s + next.processor_s,
            resident_bytes: next.resident_bytes,
            resident_peak_bytes: self.resident_peak_bytes.max(next.resident_peak_bytes),
        }
    }
}

/// The resource usage of all processes of one real forwarder.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ForwarderUsage {
    /// The number of the forwarder in the fleet, from 0.
    pub forwarder: u32,
    /// The number of processes started for the forwarder.
    pub starts: u64,
    /// The user and system time of all processes, in seconds.
    pub processor_s: f64,
    /// The resident memory of the current process, in bytes; 0 if none is running.
    pub resident_bytes: u64,
    /// The highest peak resident memory of all processes, in bytes.
    pub resident_peak_bytes: u64,
}

/// Returns the processor time of this process's threads, in seconds, added up by thread name.
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
