//! Sections of the scenario file on the fleet and what connects it: forwarders, traffic, network, endpoint list,
//! gossip and recovery after an outage.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, RandomSource, Share, Span};

/// The forwarders, and the limits in their settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of the fleet")]
pub struct Fleet {
    /// How many forwarders there are.
    pub forwarders: u32,
    /// Zones over which forwarders and endpoints are spread round robin.
    #[serde(default = "defaults::one_zone")]
    pub zones: u32,
    /// Requests that one forwarder may have in flight.
    #[serde(rename = "slots")]
    pub max_in_flight: u32,
    /// Messages that one forwarder may hold, queued or in flight.
    #[serde(rename = "room")]
    pub max_pending_messages: u32,
    /// Attempts for one message.
    #[serde(rename = "dispatch_cap", default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// A forwarder handles what has come in at multiples of this interval.
    #[serde(rename = "tick_s", default = "defaults::tick")]
    pub tick: Span,
    /// Longest Retry-After that client programs honor; absent where none may be given.
    #[serde(rename = "come_back_s", default, skip_serializing_if = "Option::is_none")]
    pub max_retry_after: Option<Span>,
    /// A forwarder that restarts finds its pending messages in its write-ahead log; else programs submit them again.
    #[serde(rename = "ledger", default)]
    pub write_ahead_log: bool,
    /// Share of the traffic that is spread unevenly over forwarders: 0 for the same traffic at each.
    #[serde(rename = "uneven", default)]
    pub unevenness: Share,
    /// Time in which attempts to a draining endpoint must end.
    #[serde(rename = "drain_grace_s", default = "defaults::drain_grace")]
    pub drain_grace: Span,
    /// Time for which an ordering key is held after an attempt that may still be running.
    #[serde(rename = "key_rest_s", default = "defaults::ordering_hold_off")]
    pub ordering_hold_off: Span,
    /// Time past a deadline in which a final answer still counts.
    #[serde(rename = "answer_slack_s", default = "defaults::answer_slack")]
    pub answer_slack: Span,
}

/// How many messages arrive, and how they spread over destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of the traffic")]
pub struct Traffic {
    /// New messages a second of all programs together on a usual day; destinations are built for it.
    #[serde(rename = "usual_per_s")]
    pub baseline_per_s: Amount,
    /// This day's traffic against the baseline.
    #[serde(default = "defaults::one_amount")]
    pub load: Amount,
    /// Zipf exponent of the destinations' parts of the traffic; 0 gives each the same.
    #[serde(default)]
    pub skew: f64,
    /// Share of messages that come in clumps for one destination.
    #[serde(rename = "clumped", default)]
    pub grouped_share: Share,
    /// Messages in a clump.
    #[serde(rename = "clump", default = "defaults::clump")]
    pub group_size: Distribution,
}

/// Delays and timeouts of connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the network")]
pub struct Network {
    /// One way between a forwarder and an endpoint of its zone, in milliseconds.
    pub one_way_ms: Distribution,
    /// Added to one way where the endpoint is in another zone, in milliseconds.
    #[serde(rename = "across_zones_ms")]
    pub cross_zone_ms: Distribution,
    /// Work of making a connection beside its round trip, in milliseconds.
    pub handshake_ms: Distribution,
    /// After this a connection that got no answer counts as not made.
    #[serde(rename = "connect_within_s")]
    pub connect_timeout: Span,
    /// After this an idle connection is closed.
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
    /// Draws the one-way delay between a forwarder and an endpoint in these zones.
    pub fn one_way(&self, path: ZonePath, random: &mut RandomSource) -> Duration {
        let same_zone = self.one_way_ms.draw_millis(random);
        // Drawn in any case, so that the zone does not shift what is drawn later.
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

/// How forwarders learn of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the endpoint list")]
pub struct EndpointListSettings {
    /// From a change of the endpoint list until a forwarder learns of it, in seconds.
    pub delay_s: Distribution,
    /// What the list says of the endpoints' rates.
    pub weights: ListWeights,
    /// The listed rate against the true one.
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

/// What the endpoint list says of the endpoints' rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListWeights {
    /// Nothing.
    None,
    /// Roughly the requests a second that an endpoint accepts.
    Rates,
}

/// Gossip between forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of the notes between forwarders")]
pub struct GossipSettings {
    /// Whether forwarders may send gossip at all.
    pub allowed: bool,
    /// From one forwarder to another, in milliseconds.
    pub delay_ms: Distribution,
    /// Share of gossip that is lost on its way.
    #[serde(rename = "lost")]
    pub loss: Share,
}

impl Default for GossipSettings {
    fn default() -> GossipSettings {
        GossipSettings { allowed: false, delay_ms: Distribution::Constant(8.0), loss: Share::NONE }
    }
}

/// How an endpoint recovers from an outage, and what overloads it while it is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table of returning destinations")]
pub struct RecoverySettings {
    /// Share of its capacity that an endpoint has right after an outage.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: Share,
    /// Time until it has its whole capacity again.
    #[serde(rename = "warm_within_s")]
    pub slow_start_duration: Span,
    /// Multiple of its present capacity that overloads it while it is cold.
    #[serde(rename = "fall_multiple")]
    pub overload_capacity_multiple: Amount,
    /// Window over which work is summed against that multiple.
    #[serde(rename = "tip_after_s")]
    pub overload_window: Span,
    /// How long an overloaded endpoint is down.
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
