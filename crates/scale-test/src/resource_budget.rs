//! Compares the memory and descriptors that a scenario needs with the limits of the machine.

use procfs::process::{LimitValue, Process};
use procfs::{Current, Meminfo};

use crate::error::ScaleTestError;
use crate::hollow_state::HOLLOW_BYTES_PER_ENDPOINT;
use crate::scenario::Scenario;
use crate::stub_endpoints::STUB_LISTENER_COUNT;

/// Serialized size of one entry of the endpoint list.
const BYTES_PER_ENTRY: u64 = 160;
/// Memory of the control plane per endpoint.
const CONTROL_PLANE_BYTES_PER_ENDPOINT: u64 = 24;
/// Memory of this program apart from lists and connections.
const BASE_BYTES: u64 = 64 << 20;
/// Memory of one end of a connection, including buffers.
const BYTES_PER_CONNECTION_END: u64 = 64 << 10;
/// Descriptors of this program that are not sockets.
const BASE_DESCRIPTORS: u64 = 128;
/// Client connections to one real forwarder: one for probes, one for traffic and one for final checks.
const CLIENTS_PER_REAL_FORWARDER: u64 = 3;

/// The resources that a run needs, estimated from its scenario.
pub(crate) struct ResourceBudget {
    memory_bytes: u64,
    descriptors: u64,
}

impl ResourceBudget {
    /// Estimates the resources that a scenario needs.
    pub(crate) fn needed_by(scenario: &Scenario) -> ResourceBudget {
        ResourceBudget { memory_bytes: memory_needed(scenario), descriptors: descriptors_needed(scenario) }
    }

    /// Returns an error if the budget exceeds half of the machine's memory or this process's descriptor
    /// limit.
    pub(crate) fn check_against_machine(&self) -> Result<(), ScaleTestError> {
        let memory_limit = memory_limit_bytes()?;
        if self.memory_bytes > memory_limit {
            return Err(ScaleTestError::InsufficientResources {
                place: "fleet and list".to_owned(),
                needed: format!("about {} MiB of memory", self.memory_bytes >> 20),
                limit: format!("half of the machine's memory is {} MiB", memory_limit >> 20),
            });
        }
        let limits = Process::myself().and_then(|me| me.limits());
        let limits = limits
            .map_err(|e| ScaleTestError::aborted("cannot read the descriptor limit of this process", e))?;
        match limits.max_open_files.soft_limit {
            LimitValue::Value(limit) if self.descriptors > limit => {
                Err(ScaleTestError::InsufficientResources {
                    place: "fleet".to_owned(),
                    needed: format!("{} descriptors", self.descriptors),
                    limit: format!("this process is limited to {limit} (ulimit -n)"),
                })
            }
            _ => Ok(()),
        }
    }
}

/// Returns the memory limit of a run in bytes, which is half of the machine's memory.
pub(crate) fn memory_limit_bytes() -> Result<u64, ScaleTestError> {
    let memory = Meminfo::current()
        .map_err(|e| ScaleTestError::aborted("cannot read the machine's memory size", e))?;
    Ok(memory.mem_total / 2)
}

fn memory_needed(scenario: &Scenario) -> u64 {
    let endpoints = u64::from(scenario.list.endpoints);
    let real = u64::from(scenario.fleet.real);
    let hollow = u64::from(scenario.fleet.hollow);
    // The full list that is being served, and the next one while it is serialized.
    let control_plane = endpoints * (2 * BYTES_PER_ENTRY + 2 * CONTROL_PLANE_BYTES_PER_ENDPOINT);
    let connections = 2 * (real + hollow) * BYTES_PER_CONNECTION_END;
    let processes = real * (u64::from(scenario.process_limits.memory_mb) << 20);
    let hollow_states = hollow * endpoints * HOLLOW_BYTES_PER_ENDPOINT;
    BASE_BYTES + control_plane + connections + hollow_states + processes
}

fn descriptors_needed(scenario: &Scenario) -> u64 {
    let real = u64::from(scenario.fleet.real);
    let hollow = u64::from(scenario.fleet.hollow);
    let listeners = real + u64::from(scenario.fleet.zones);
    // Real forwarders use at most two fifths of their descriptors for requests, which all arrive at this
    // program.
    let requests = real * u64::from(scenario.process_limits.descriptors) * 2 / 5;
    // Both ends of the watch of each hollow forwarder; this program's end of the watch and the notice
    // connection of each real forwarder.
    let watches = 2 * hollow + 2 * real;
    let clients = CLIENTS_PER_REAL_FORWARDER * real;
    BASE_DESCRIPTORS + STUB_LISTENER_COUNT as u64 + listeners + watches + clients + requests
}
