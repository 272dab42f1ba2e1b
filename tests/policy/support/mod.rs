//! What the tests of the policy share: a host that records commands, settings, and a policy with a clock.

mod fleet;
mod host;
mod policy_test;
mod settings;

use std::sync::Arc;
use std::time::Duration;

use reeddock::MessageId;

pub use fleet::{fleet, fleet_member, small_share_of};
pub use host::{fail, finished, reject, HostCommand, RecordingHost, StartedAttempt};
pub use policy_test::{listed, ListedEndpoint, PolicyTest, ONE_ENDPOINT};
pub use settings::*;

/// The message of this name.
pub fn id(name: &str) -> MessageId {
    MessageId(Arc::from(name))
}

/// So many milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
