//! Sections of the scenario file that describe destinations and their endpoints.

use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, Share, Span};

/// A kind of destinations, whose properties are drawn from the same distributions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a kind of destinations")]
pub struct DestinationKind {
    /// Name of the kind in settings, endpoint lists and reports.
    pub name: String,
    /// Number of destinations of this kind.
    pub destinations: u32,
    /// Number of endpoints of each destination, rounded and at least 1.
    #[serde(rename = "targets", default = "defaults::constant_one")]
    pub endpoints: Distribution,
    /// Factor of each destination's part of the traffic, in addition to the [skew](super::Traffic::skew).
    #[serde(rename = "traffic", default = "defaults::factor_one")]
    pub traffic_weight: Amount,
    /// Whether each endpoint has its own circuit breaker and rate limit, instead of one for the destination.
    #[serde(rename = "apart", default)]
    pub circuit_per_endpoint: bool,
    /// Maximum number of messages in one request.
    #[serde(rename = "batch", default = "defaults::max_batch")]
    pub max_batch: u32,
    /// Type of the destinations' request limit.
    #[serde(rename = "limit", default)]
    pub rate_limit: RateLimit,
    /// Ratio of the request limit to the baseline traffic of the destination.
    #[serde(default = "defaults::headroom")]
    pub headroom: Distribution,
    /// Minimum request limit of a destination, in requests a second.
    #[serde(rename = "least_per_s", default = "defaults::factor_one")]
    pub min_limit_per_s: Amount,
    /// Ratio of the capacity of a destination to its request limit.
    #[serde(rename = "spare", default = "defaults::capacity_factor")]
    pub capacity_factor: Distribution,
    /// Maximum queue of an endpoint, in seconds of its capacity.
    #[serde(default = "defaults::queue_s")]
    pub queue_s: Distribution,
    /// Factor by which the duration of work is multiplied at a destination.
    #[serde(rename = "pace", default = "defaults::constant_one")]
    pub work_factor: Distribution,
    /// Share of rejections that carry Retry-After.
    #[serde(rename = "told_waits", default)]
    pub retry_after_share: Share,
    /// Whether rejected requests count against the limit too.
    #[serde(rename = "refused_use_up", default)]
    pub rejected_use_up_limit: bool,
    /// Maximum number of connections of an endpoint, idle ones included; `None` for no maximum.
    #[serde(rename = "connections", default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// Share of queued requests that are still served after the forwarder stopped waiting for them.
    #[serde(rename = "runs_on", default = "defaults::full_share")]
    pub abandoned_served_share: Share,
}

/// Type of request limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RateLimit {
    /// No limit other than the capacity.
    #[default]
    None,
    /// Token bucket with a burst of half a second's requests.
    #[serde(rename = "rate")]
    TokenBucket,
    /// Maximum number of requests in each window of this length.
    #[serde(rename = "span")]
    FixedWindow(Span),
}
