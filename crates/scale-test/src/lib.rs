//! Scale tests of the forwarder: a stub control plane, real forwarders and many hollow ones, all on loopback.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`scenario`] | parses and validates the scenario file |
//! | [`run`] | carries out a run |
//! | `test_bed` | holds the components and the records of a run |
//! | `fault_schedule` | injects the faults of the scenario |
//! | [`endpoint_list`] | the control plane's endpoint list |
//! | `control_plane` | serves the endpoint list over the discovery protocol |
//! | [`list_decoder`] | decodes the endpoint list incrementally |
//! | `hollow_forwarder` | simulated forwarders that only keep the endpoint list |
//! | [`hollow_state`] | the endpoint list as a hollow forwarder has it |
//! | `real_forwarder` | forwarders that run as daemon processes |
//! | `stub_endpoints` | endpoints that accept all requests |
//! | `client` | submits messages to a forwarder |
//! | `probe` | measures when a list change takes effect at a real forwarder |
//! | [`outages`] | attributes delayed list changes to faults |
//! | `measurements` | metrics computed from counters |
//! | `latency_results` | latencies computed from the records of a run |
//! | `checks` | checks at the end of a run |
//! | [`report`] | results in memory and as JSON lines |
//! | [`tables`] | results as text tables |
//! | [`fit`] | fits lines to metrics over run sizes |
//! | [`error`] | errors that leave a run without results |
//! | `labels`, `latency` | labels of results, and latency histograms |
//! | `resource_budget` | compares the resources that a scenario needs with those of the machine |
//! | `process_usage` | processor time and memory of processes and threads |
//! | [`ports`] | loopback ports outside the ephemeral range |
//! | `metered_stream` | streams that count their bytes |
//! | `runtime_thread`, `task`, `lock` | helpers for threads, tasks and mutexes |

mod checks;
mod client;
mod control_plane;
pub mod endpoint_list;
pub mod error;
mod fault_schedule;
pub mod fit;
mod hollow_forwarder;
pub mod hollow_state;
mod labels;
mod latency;
mod latency_results;
pub mod list_decoder;
mod lock;
mod measurements;
mod metered_stream;
pub mod outages;
pub mod ports;
mod probe;
mod process_usage;
mod real_forwarder;
pub mod report;
mod resource_budget;
pub mod run;
mod runtime_thread;
pub mod scenario;
mod stub_endpoints;
pub mod tables;
mod task;
mod test_bed;
