//! Initial properties of destinations, endpoints and forwarders.

use crate::ids::{DestinationIndex, EndpointIndex};
use crate::limit::RequestLimit;

/// Properties of a destination.
#[derive(Clone, Debug)]
pub struct DestinationPlan {
    /// Index of the destination's kind in the scenario.
    pub kind: usize,
    /// Share of all messages that are for the destination.
    pub traffic_part: f64,
    /// Messages a second for the destination at the baseline load.
    pub baseline_per_s: f64,
    /// Factor by which the duration of work is multiplied.
    pub work_factor: f64,
    /// Request limit shared by the endpoints; unlimited if each endpoint has its own.
    pub limit: RequestLimit,
    /// Initial endpoints of the destination.
    pub endpoints: Vec<EndpointIndex>,
}

/// Properties of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Destination to which the endpoint belongs.
    pub destination: DestinationIndex,
    /// Index of the endpoint's zone.
    pub zone: u32,
    /// Number of requests that the endpoint serves concurrently.
    pub workers: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Nominal capacity in requests a second.
    pub capacity_per_s: f64,
    /// Request limit of the endpoint; unlimited if the endpoints of the destination share one.
    pub limit: RequestLimit,
    /// Rate in the endpoint list, in requests a second, if the list gives rates.
    pub listed_rate: Option<f64>,
}

/// Properties of a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderPlan {
    /// Index of the forwarder's zone.
    pub zone: u32,
    /// Share of the traffic that the forwarder receives.
    pub traffic_part: f64,
}

/// Initial state of a world.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Destinations by rank of traffic, the largest first.
    pub destinations: Vec<DestinationPlan>,
    /// Endpoints of all destinations, by [`EndpointIndex`].
    pub endpoints: Vec<EndpointPlan>,
    /// Forwarders of the fleet.
    pub forwarders: Vec<ForwarderPlan>,
}
