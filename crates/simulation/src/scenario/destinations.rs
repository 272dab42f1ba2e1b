//! Sections of the scenario file on destinations and their endpoints.

use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, Share, Span};

/// A kind of destinations, which are drawn alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a kind of destinations")]
pub struct DestinationKind {
    /// Name in settings, endpoint lists and reports.
    pub name: String,
    /// How many destinations are of this kind.
    pub destinations: u32,
    /// Endpoints of each.
    #[serde(rename = "targets", default = "defaults::constant_one")]
    pub endpoints: Distribution,
    /// Weight of its destinations' traffic beside their rank in the skew.
    #[serde(rename = "traffic", default = "defaults::one_amount")]
    pub traffic_weight: Amount,
    /// Each endpoint has a circuit and a rate limit of its own, instead of one for the destination.
    #[serde(rename = "apart", default)]
    pub circuit_per_endpoint: bool,
    /// Messages in one request at most.
    #[serde(rename = "batch", default = "defaults::single_message_batch")]
    pub max_batch: u32,
    /// How its destinations limit requests.
    #[serde(rename = "limit", default)]
    pub rate_limit: RateLimit,
    /// The limit against the usual requests.
    #[serde(default = "defaults::headroom")]
    pub headroom: Distribution,
    /// Least limit, in requests a second.
    #[serde(rename = "least_per_s", default = "defaults::one_amount")]
    pub min_limit_per_s: Amount,
    /// Requests that it can serve against its limit.
    #[serde(rename = "spare", default = "defaults::spare")]
    pub capacity_factor: Distribution,
    /// Work that may queue at an endpoint, in seconds of what it can serve.
    #[serde(default = "defaults::queue")]
    pub queue_s: Distribution,
    /// Time that its work takes against the usual.
    #[serde(rename = "pace", default = "defaults::constant_one")]
    pub work_factor: Distribution,
    /// Share of rejections that carry Retry-After.
    #[serde(rename = "told_waits", default)]
    pub retry_after_share: Share,
    /// Requests that are rejected use up the limit too.
    #[serde(rename = "refused_use_up", default)]
    pub rejected_use_up_limit: bool,
    /// Connections that an endpoint accepts, idle ones counted; absent where there is no bound.
    #[serde(rename = "connections", default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// Share of queued requests that are still served after the forwarder has stopped waiting.
    #[serde(rename = "runs_on", default = "defaults::all")]
    pub abandoned_served_share: Share,
}

/// How a destination limits requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RateLimit {
    /// By its capacity only.
    #[default]
    None,
    /// Token bucket that holds half a second's requests.
    #[serde(rename = "rate")]
    TokenBucket,
    /// A count in each window of this length.
    #[serde(rename = "span")]
    FixedWindow(Span),
}
