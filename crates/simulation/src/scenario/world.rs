//! Sections of the scenario file that describe the fleet and its environment: forwarders, traffic, network,
//! endpoint list, gossip and recovery after an outage.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, RandomSource, Share, Span};

/// The forwarders and the limits in their settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of the fleet")]
pub struct Fleet {
    /// Number of forwarders.
    pub forwarders: u32,
    /// Number of zones, over which forwarders and endpoints are distributed round robin.
    #[serde(default = "defaults::zones")]
    pub zones: u32,
    /// Maximum number of requests that one forwarder may have in flight.
    #[serde(rename = "slots")]
    pub max_in_flight: u32,
    /// Maximum number of messages that one forwarder may hold, queued or in flight.
    #[serde(rename = "room")]
    pub max_pending_messages: u32,
    /// Maximum number of attempts for one message.
    #[serde(rename = "dispatch_cap", default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Interval at which a forwarder handles its pending inputs; zero for handling without delay.
    #[serde(rename = "tick_s", default = "defaults::tick")]
    pub tick: Span,
    /// Maximum Retry-After that forwarders send to client programs; `None` if they send none.
    #[serde(rename = "come_back_s", default, skip_serializing_if = "Option::is_none")]
    pub max_retry_after: Option<Span>,
    /// Whether a restarted forwarder restores its pending messages from a write-ahead log; otherwise programs
    /// submit them again.
    #[serde(rename = "ledger", default)]
    pub write_ahead_log: bool,
    /// Share of the traffic that is distributed unevenly over forwarders; with 0 all get the same traffic.
    #[serde(rename = "uneven", default)]
    pub unevenness: Share,
    /// Time after an endpoint is listed as draining during which attempts to the endpoint are still allowed.
    #[serde(rename = "drain_grace_s", default = "defaults::drain_grace")]
    pub drain_grace: Span,
    /// Time for which the other messages of an ordering key are held after an attempt that may still be
    /// running.
    #[serde(rename = "key_rest_s", default = "defaults::ordering_hold_off")]
    pub ordering_hold_off: Span,
    /// Tolerance after a deadline within which a final answer still counts as in time.
    #[serde(rename = "answer_slack_s", default = "defaults::answer_slack")]
    pub answer_slack: Span,
}

/// Rate of arriving messages and their distribution over destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of the traffic")]
pub struct Traffic {
    /// Baseline rate of new messages a second, of all programs; destinations are sized for this rate.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: Amount,
    /// Ratio of the run's traffic to the baseline.
    #[serde(default = "defaults::factor_one")]
    pub load: Amount,
    /// Zipf exponent of the distribution of traffic over destinations; with 0 all ranks get the same weight.
    #[serde(default)]
    pub skew: f64,
    /// Share of messages that arrive in groups for a single destination.
    #[serde(rename = "clumped", default)]
    pub grouped_share: Share,
    /// Number of messages in a group.
    #[serde(rename = "clump", default = "defaults::group_size")]
    pub group_size: Distribution,
}

/// Delays and timeouts of connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the network")]
pub struct Network {
    /// One-way delay between a forwarder and an endpoint in the same zone, in milliseconds.
    pub one_way_ms: Distribution,
    /// Additional one-way delay if the endpoint is in another zone, in milliseconds.
    #[serde(rename = "across_zones_ms")]
    pub cross_zone_ms: Distribution,
    /// Time to establish a connection in addition to one round trip, in milliseconds.
    pub handshake_ms: Distribution,
    /// Timeout of establishing a connection.
    #[serde(rename = "connect_within_s")]
    pub connect_timeout: Span,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_s")]
    pub idle_timeout: Span,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            one_way_ms: Distribution::Constant(1.0),
            cross_zone_ms: Distribution::Constant(1.0),
            handshake_ms: Distribution::Constant(4.0),
            connect_timeout: Span::millis(1000),
            idle_timeout: Span::millis(5000),
        }
    }
}

impl Network {
    /// Draws the one-way delay between a forwarder and an endpoint in the zones of `path`.
    pub fn one_way(&self, path: ZonePath, random: &mut RandomSource) -> Duration {
        let same_zone = self.one_way_ms.draw_millis(random);
        // The cross-zone delay is always drawn, so that later draws don't depend on the zones.
        let added = self.cross_zone_ms.draw_millis(random);
        if path.crosses_zones() {
            same_zone + added
        } else {
            same_zone
        }
    }
}

/// The zones at the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePath {
    /// Zone of the forwarder.
    pub from: u32,
    /// Zone of the endpoint.
    pub to: u32,
}

impl ZonePath {
    fn crosses_zones(self) -> bool {
        self.from != self.to
    }
}

/// Delay and content of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the endpoint list")]
pub struct EndpointListSettings {
    /// Delay from a change of the endpoint list until a forwarder receives it, in seconds.
    pub delay_s: Distribution,
    /// Rates that the list gives for endpoints.
    pub weights: ListWeights,
    /// Ratio of the listed rate to the true rate.
    pub weight_error: Distribution,
}

impl Default for EndpointListSettings {
    fn default() -> EndpointListSettings {
        EndpointListSettings {
            delay_s: Distribution::Constant(2.0),
            weights: ListWeights::None,
            weight_error: Distribution::Constant(1.0),
        }
    }
}

/// Rates that the endpoint list gives for endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListWeights {
    /// No rates.
    None,
    /// Approximate requests a second that an endpoint accepts.
    Rates,
}

/// Gossip between forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the gossip settings")]
pub struct GossipSettings {
    /// Whether forwarders may send gossip.
    pub allowed: bool,
    /// Delay of gossip from one forwarder to another, in milliseconds.
    pub delay_ms: Distribution,
    /// Share of gossip that is lost in transit.
    #[serde(rename = "lost")]
    pub loss: Share,
}

impl Default for GossipSettings {
    fn default() -> GossipSettings {
        GossipSettings { allowed: false, delay_ms: Distribution::Constant(8.0), loss: Share::NONE }
    }
}

/// Slow start of endpoints after an outage, and their overload during the slow start. An endpoint in slow
/// start is called cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the recovery settings")]
pub struct RecoverySettings {
    /// Share of its capacity that an endpoint has at the end of an outage.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: Share,
    /// Time until an endpoint has its full capacity again; the share increases linearly.
    #[serde(rename = "warm_within_s")]
    pub slow_start_duration: Span,
    /// Maximum load of a cold endpoint without an overload, as a multiple of the endpoint's current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_capacity_multiple: Amount,
    /// Length of the window whose received work is compared with the maximum load.
    #[serde(rename = "tip_after_s")]
    pub overload_window: Span,
    /// Duration of the outage that an overload causes.
    #[serde(rename = "stays_down_s")]
    pub overload_outage: Span,
}

impl Default for RecoverySettings {
    fn default() -> RecoverySettings {
        RecoverySettings {
            slow_start_floor: Share::clamped(0.2),
            slow_start_duration: Span::millis(10_000),
            overload_capacity_multiple: Amount::clamped(2.0),
            overload_window: Span::millis(3000),
            overload_outage: Span::millis(60_000),
        }
    }
}
