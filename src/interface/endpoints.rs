//! Endpoints as discovery and their own responses describe them.

use super::ids::{DestinationId, EndpointId};

/// What a response or a health check reports of the rate limit of its endpoint. Reports are up to a second old
/// and a little noisy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that was left, 0 to 1.
    pub remaining_share: f64,
    /// Requests a second that the limit allows; 0 if there is no limit.
    pub limit_per_second: f64,
}

impl LoadReport {
    /// A report of both values as they were received. None if one is missing, negative or not finite; a share
    /// over 1 counts as 1.
    #[must_use]
    pub fn new(left: Option<f64>, limit: Option<f64>) -> Option<LoadReport> {
        let valid = |value: &f64| value.is_finite() && *value >= 0.0;
        Some(LoadReport {
            remaining_share: left.filter(valid)?.min(1.0),
            limit_per_second: limit.filter(valid)?,
        })
    }
}

/// What the weights in the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeights {
    /// They have no agreed meaning.
    #[default]
    Unspecified,
    /// Requests a second that an endpoint accepts, up to half too high or too low.
    ApproximateRates,
    /// Requests a second that an endpoint accepts on an ordinary day.
    Rates,
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new requests.
    Active,
    /// It finishes its requests in flight and accepts no new ones.
    Draining,
    /// It has left the list.
    Removed,
}

/// One entry of the endpoint list.
pub struct EndpointUpdate<'a> {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Its meaning is that of the settings' [`ListedWeights`]; none if the list gives no weight.
    pub weight: Option<f64>,
    /// The zone that it is in; empty if unknown.
    pub zone: &'a str,
    /// The name of its [`EndpointKind`](crate::EndpointKind); empty if unknown.
    pub kind: &'a str,
}
