//! Timeouts of connections, and how often input is processed. The delivery policy does not know of them.

use std::time::Duration;

use serde_json::{Map, Value};

use crate::lenient::Section;

/// Longest tick that is accepted; a longer one counts as not given. Clients wait for less than half a second for their
/// answer, and a tick is a part of that.
const MAX_TICK: Duration = Duration::from_millis(100);

/// How a forwarder behaves on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkSettings {
    /// `tickUs`: the delivery policy is given what came in at most this often, so that it sees together what came
    /// together.
    pub tick: Option<Duration>,
    /// `policyLimits.connectTimeoutUs`: a connection that is not established by then counts as failed.
    pub connect_timeout: Option<Duration>,
    /// `policyLimits.connIdleUs`: endpoints close a connection that has been idle for so long.
    pub idle_timeout: Option<Duration>,
}

impl NetworkSettings {
    /// Reads the settings. What is absent or of another type counts as not given.
    #[must_use]
    pub fn from_settings(settings: &Map<String, Value>) -> NetworkSettings {
        let settings = Section::from(settings);
        let limits = settings.section("policyLimits");
        NetworkSettings {
            tick: settings.micros("tickUs").filter(|tick| *tick <= MAX_TICK),
            connect_timeout: limits.micros("connectTimeoutUs"),
            idle_timeout: limits.micros("connIdleUs"),
        }
    }
}
