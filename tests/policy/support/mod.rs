//! Shared parts of the policy tests: a host that records commands, settings, and a policy with a clock.

mod fleet;
mod host;
mod policy_test;
mod settings;

use std::sync::Arc;
use std::time::Duration;

use reeddock::MessageId;

pub use fleet::{fleet, fleet_member, fleet_member_of_60};
pub use host::{fail, finished, reject, HostCommand, RecordingHost, StartedAttempt};
pub use policy_test::{listed, ListedEndpoint, PolicyTest, ONE_ENDPOINT};
pub use settings::*;

/// Returns the message id for a name.
pub fn id(name: &str) -> MessageId {
    MessageId(Arc::from(name))
}

/// Returns a duration of `milliseconds`.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
