//! Endpoint list entries and load reports.

use super::ids::{DestinationId, EndpointId};

/// Load report of an endpoint, received with a response or a health check. Values are approximate and up to
/// one second old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Unused share of the rate limit, 0 to 1.
    pub remaining_limit_share: f64,
    /// Rate limit in requests per second; 0 if the endpoint has no limit.
    pub limit_per_second: f64,
}

impl LoadReport {
    /// Returns a report of the received values, or `None` if one is missing, negative or not finite. A share
    /// above 1 is reduced to 1.
    #[must_use]
    pub fn new(remaining_limit_share: Option<f64>, limit_per_second: Option<f64>) -> Option<LoadReport> {
        let valid = |value: &f64| value.is_finite() && *value >= 0.0;
        Some(LoadReport {
            remaining_limit_share: remaining_limit_share.filter(valid)?.min(1.0),
            limit_per_second: limit_per_second.filter(valid)?,
        })
    }
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeights {
    /// The weights in the endpoint list have no defined meaning, and the policy ignores them.
    #[default]
    Unspecified,
    /// Each weight is the number of requests per second that the endpoint accepts, up to 50% too high or too
    /// low.
    ApproximateRates,
    /// Each weight is the number of requests per second that the endpoint accepts in normal operation.
    Rates,
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Active,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// Entry of the endpoint list.
pub struct EndpointUpdate<'a> {
    /// Endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// Destination that the endpoint serves.
    pub destination: DestinationId,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Weight with the meaning set by [`Settings::listed_weights`](crate::Settings::listed_weights); `None`
    /// if not listed.
    pub weight: Option<f64>,
    /// Zone of the endpoint; empty if unknown.
    pub zone: &'a str,
    /// Name of the endpoint's [`EndpointKind`](crate::EndpointKind); empty if unknown.
    pub kind: &'a str,
}
