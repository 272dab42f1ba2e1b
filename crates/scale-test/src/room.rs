//! What the machine has room for, and what processes and threads use, by the system's own counters.

use std::collections::BTreeMap;

use procfs::process::{LimitValue, Process, Stat};
use procfs::{Current, Meminfo};
use serde::Serialize;

use crate::fault::Fault;
use crate::hollow::BYTES_A_TARGET;
use crate::scenario::Scenario;
use crate::targets::ADDRESSES;

/// Bytes of an entry of the list.
const BYTES_AN_ENTRY: u64 = 160;
/// Bytes that the control side keeps of each target.
const BYTES_A_TARGET_KEPT: u64 = 24;
/// For the program itself, and for each connection of it with its buffers.
const BYTES_BESIDE: u64 = 64 << 20;
const BYTES_A_CONNECTION: u64 = 64 << 10;
/// Descriptors beside connections.
const DESCRIPTORS_BESIDE: u64 = 128;
/// Connections of clients to one real forwarder: one that probes, one with traffic, one that checks.
const CLIENTS_OF_ONE: u64 = 3;

/// Bytes that a run may take: half of the machine's memory.
pub fn most_memory() -> Result<u64, Fault> {
    let memory = Meminfo::current().map_err(|e| Fault::broken("the machine's memory can't be read", e))?;
    Ok(memory.mem_total / 2)
}

/// Refuses a scenario that the machine has no room for.
pub fn check(scenario: &Scenario) -> Result<(), Fault> {
    let needed = memory_needed(scenario);
    let most = most_memory()?;
    if needed > most {
        return Err(Fault::NoRoom {
            place: "fleet and list".to_owned(),
            needed: format!("about {} MB of memory", needed >> 20),
            limit: format!("half of the machine's memory is {} MB", most >> 20),
        });
    }
    let needed = descriptors_needed(scenario);
    let limits = Process::myself().and_then(|me| me.limits());
    let limits = limits.map_err(|e| Fault::broken("the limit on descriptors can't be read", e))?;
    match limits.max_open_files.soft_limit {
        LimitValue::Value(most) if needed > most => Err(Fault::NoRoom {
            place: "fleet".to_owned(),
            needed: format!("{needed} descriptors"),
            limit: format!("this process may hold {most} (ulimit -n)"),
        }),
        _ => Ok(()),
    }
}

fn memory_needed(scenario: &Scenario) -> u64 {
    let (targets, real, hollow) =
        (u64::from(scenario.list.targets), u64::from(scenario.fleet.real), u64::from(scenario.fleet.hollow));
    // A list in use, and the next one as it is written.
    let control = targets * (2 * BYTES_AN_ENTRY + 2 * BYTES_A_TARGET_KEPT);
    let connections = 2 * (real + hollow) * BYTES_A_CONNECTION;
    let processes = real * (u64::from(scenario.process.memory_mb) << 20);
    BYTES_BESIDE + control + connections + hollow * targets * BYTES_A_TARGET + processes
}

fn descriptors_needed(scenario: &Scenario) -> u64 {
    let (real, hollow) = (u64::from(scenario.fleet.real), u64::from(scenario.fleet.hollow));
    let doors = real + u64::from(scenario.fleet.zones);
    // Real forwarders keep two fifths of their descriptors for calls, all to this program.
    let calls = real * u64::from(scenario.process.descriptors) * 2 / 5;
    // Both ends of each hollow one's watch; those of real ones, and notices.
    DESCRIPTORS_BESIDE + ADDRESSES as u64 + doors + 2 * hollow + (2 + CLIENTS_OF_ONE) * real + calls
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    pub processor_s: f64,
    pub resident_bytes: u64,
    pub resident_peak_bytes: u64,
}

impl Usage {
    /// Together with the process that came after it.
    pub fn then(self, next: Usage) -> Usage {
        Usage {
            processor_s: self.processor_s + next.processor_s,
            resident_bytes: next.resident_bytes,
            resident_peak_bytes: self.resident_peak_bytes.max(next.resident_peak_bytes),
        }
    }
}

fn processor_s(stat: &Stat) -> f64 {
    (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
}

/// What a process has used; none once it has ended.
pub fn usage_of(pid: i32) -> Option<Usage> {
    let process = Process::new(pid).ok()?;
    let status = process.status().ok()?;
    Some(Usage {
        processor_s: processor_s(&process.stat().ok()?),
        resident_bytes: status.vmrss? * 1024,
        resident_peak_bytes: status.vmhwm? * 1024,
    })
}

/// What this process has used.
pub fn own_usage() -> Usage {
    i32::try_from(std::process::id()).ok().and_then(usage_of).unwrap_or_default()
}

/// Seconds of processor time of this process's threads, those of one name together.
pub fn threads() -> BTreeMap<String, f64> {
    let mut threads = BTreeMap::new();
    let Ok(tasks) = Process::myself().and_then(|me| me.tasks()) else { return threads };
    for stat in tasks.filter_map(|task| task.ok()?.stat().ok()) {
        let used = processor_s(&stat);
        *threads.entry(stat.comm).or_insert(0.0) += used;
    }
    threads
}
