//! Parsing of the settings that operators provide to a forwarder, with sockets and in the simulator. Each
//! module reads its part of the same JSON object.
//!
//! | Module | Settings | Type | An invalid value is |
//! | --- | --- | --- | --- |
//! | `policy` | settings of the delivery policy | [`reeddock::Settings`] | treated as absent |
//! | `load_report` | positions of the limit and its remaining share in load reports | [`LoadReportFields`] | treated as absent |
//! | `network` | connection timeouts and the tick | [`NetworkSettings`] | treated as absent |
//! | `shape` | features that the deployment uses | [`DeploymentShape`] | rejected with an error that names its key |

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
