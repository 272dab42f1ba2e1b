//! Connection timeouts and the interval at which input is processed. The delivery policy uses neither.

use std::time::Duration;

use serde_json::{Map, Value};

use crate::lenient::Section;

/// Maximum tick. Longer ticks are treated as absent because they would delay responses to clients too much.
const MAX_TICK: Duration = Duration::from_millis(100);

/// Network settings of a forwarder. A field is `None` if the setting is absent or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkSettings {
    /// `tickUs`: minimum time between two deliveries of input to the delivery policy, so that concurrent
    /// input is processed together.
    pub tick: Option<Duration>,
    /// `policyLimits.connectTimeoutUs`: time after which an attempt to connect fails.
    pub connect_timeout: Option<Duration>,
    /// `policyLimits.connIdleUs`: idle time after which endpoints close a connection.
    pub idle_timeout: Option<Duration>,
}

impl NetworkSettings {
    /// Reads the network settings. Values of the wrong type are treated as absent.
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
