//! Compares what a scenario needs with what the machine has.

use procfs::process::{LimitValue, Process};
use procfs::{Current, Meminfo};

use crate::error::ScaleTestError;
use crate::hollow_state::HOLLOW_BYTES_PER_ENDPOINT;
use crate::scenario::Scenario;
use crate::stub_endpoints::STUB_LISTENER_COUNT;

/// Serialized size of one entry of the endpoint list, in bytes.
const BYTES_PER_ENTRY: u64 = 160;
/// Memory that the control plane takes for each endpoint, in bytes.
const CONTROL_BYTES_PER_ENDPOINT: u64 = 24;
/// Memory of the program itself, in bytes.
const BASE_BYTES: u64 = 64 << 20;
/// Memory of one end of a connection with its buffers, in bytes.
const BYTES_PER_CONNECTION: u64 = 64 << 10;
/// Descriptors beside sockets.
const BASE_DESCRIPTORS: u64 = 128;
/// Connections of clients to one real forwarder: one that probes, one with traffic, one that checks.
const CLIENTS_PER_REAL_FORWARDER: u64 = 3;

/// What a run takes of the machine, estimated from its scenario.
pub(crate) struct ResourceBudget {
    memory_bytes: u64,
    descriptors: u64,
}

impl ResourceBudget {
    /// The budget that a scenario needs.
    pub(crate) fn needed_by(scenario: &Scenario) -> ResourceBudget {
        ResourceBudget { memory_bytes: memory_needed(scenario), descriptors: descriptors_needed(scenario) }
    }

    /// Rejects a budget that goes beyond the machine's memory or this process's limit on descriptors.
    pub(crate) fn check_against_machine(&self) -> Result<(), ScaleTestError> {
        let memory_limit = memory_limit_bytes()?;
        if self.memory_bytes > memory_limit {
            return Err(ScaleTestError::OverBudget {
                place: "fleet and list".to_owned(),
                needed: format!("about {} MB of memory", self.memory_bytes >> 20),
                limit: format!("half of the machine's memory is {} MB", memory_limit >> 20),
            });
        }
        let limits = Process::myself().and_then(|me| me.limits());
        let limits =
            limits.map_err(|e| ScaleTestError::aborted("the limit on descriptors can't be read", e))?;
        match limits.max_open_files.soft_limit {
            LimitValue::Value(limit) if self.descriptors > limit => Err(ScaleTestError::OverBudget {
                place: "fleet".to_owned(),
                needed: format!("{} descriptors", self.descriptors),
                limit: format!("this process may hold {limit} (ulimit -n)"),
            }),
            _ => Ok(()),
        }
    }
}

/// The memory that a run may take, in bytes: half of the machine's.
pub(crate) fn memory_limit_bytes() -> Result<u64, ScaleTestError> {
    let memory =
        Meminfo::current().map_err(|e| ScaleTestError::aborted("the machine's memory can't be read", e))?;
    Ok(memory.mem_total / 2)
}

fn memory_needed(scenario: &Scenario) -> u64 {
    let endpoints = u64::from(scenario.list.endpoints);
    let real = u64::from(scenario.fleet.real);
    let hollow = u64::from(scenario.fleet.hollow);
    // The full list in use, and the next one while it is serialized.
    let control_plane = endpoints * (2 * BYTES_PER_ENTRY + 2 * CONTROL_BYTES_PER_ENDPOINT);
    let connections = 2 * (real + hollow) * BYTES_PER_CONNECTION;
    let processes = real * (u64::from(scenario.process_limits.memory_mb) << 20);
    let hollow_states = hollow * endpoints * HOLLOW_BYTES_PER_ENDPOINT;
    BASE_BYTES + control_plane + connections + hollow_states + processes
}

fn descriptors_needed(scenario: &Scenario) -> u64 {
    let real = u64::from(scenario.fleet.real);
    let hollow = u64::from(scenario.fleet.hollow);
    let listeners = real + u64::from(scenario.fleet.zones);
    // Real forwarders use two fifths of their descriptors for requests, all of which come to this program.
    let requests = real * u64::from(scenario.process_limits.descriptors) * 2 / 5;
    // Both ends of each hollow forwarder's watch; this program's end of real ones' watches and notices.
    let watches = 2 * hollow + 2 * real;
    let clients = CLIENTS_PER_REAL_FORWARDER * real;
    BASE_DESCRIPTORS + STUB_LISTENER_COUNT as u64 + listeners + watches + clients + requests
}
