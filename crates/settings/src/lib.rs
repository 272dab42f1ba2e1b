//! The settings that operators hand a forwarder, on the simulator's wire as on sockets. Each module reads one part of
//! the same JSON object; nothing is decided here.
//!
//! | Module | Reads | Into | An odd value is |
//! | --- | --- | --- | --- |
//! | `policy` | what the delivery policy works with | [`reeddock::Settings`] | treated as absent |
//! | `load_report` | where load reports have their two values | [`LoadReportFields`] | treated as absent |
//! | `network` | timeouts of connections | [`NetworkSettings`] | treated as absent |
//! | `shape` | how the deployment is laid out | [`DeploymentShape`] | refused with its key |

mod error;
mod lenient;
mod load_report;
mod network;
mod policy;
mod shape;

pub use error::SettingsError;
pub use load_report::LoadReportFields;
pub use network::NetworkSettings;
pub use policy::parse_policy_settings;
pub use shape::{DeploymentShape, ListedRates};
