//! Scale tests of the forwarder: a stub control plane, real forwarders and many hollow ones, all on loopback.
//!
//! | module | its job |
//! | --- | --- |
//! | [`scenario`] | the scenario file, read strictly |
//! | [`run`] | one run from start to end |
//! | `test_bed` | all parts of a run, and what it records |
//! | `fault_schedule` | carries out the faults of the scenario |
//! | [`endpoint_list`] | the authoritative endpoint list |
//! | `control_plane` | serves the endpoint list by the published protocol |
//! | [`list_decoder`] | decodes lines of the endpoint list entry by entry |
//! | `hollow_forwarder` | forwarders that only keep the endpoint list |
//! | [`hollow_state`] | what a hollow forwarder knows of the endpoint list |
//! | `real_forwarder` | processes of the daemon |
//! | `stub_endpoints` | endpoints that accept every request |
//! | `client` | submits messages |
//! | `probe` | finds out when a change is in force at a real forwarder |
//! | [`outages`] | to which fault a delayed change is attributed |
//! | `measurements` | figures from counters |
//! | `latency_results` | latencies from records |
//! | `checks` | what has to hold at the end |
//! | [`report`] | results as JSON lines |
//! | [`tables`] | results as tables |
//! | [`fit`] | slopes of figures over sizes |
//! | [`error`] | why a run has no result |
//! | `labels`, `latency` | labels of results, and distributions |
//! | `resource_budget` | compares a scenario's needs with the machine |
//! | `process_usage` | what processes and threads use |
//! | [`ports`] | ports that stay free |
//! | `metered_stream` | streams whose bytes are counted |
//! | `runtime_thread`, `task`, `lock` | threads, tasks and mutexes |

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
