//! What was drawn of a world.

use crate::ids::{DestinationIndex, EndpointIndex};
use crate::limit::RequestLimit;

/// A destination as it was drawn.
#[derive(Clone, Debug)]
pub struct DestinationPlan {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Part of all messages that are for it.
    pub traffic_part: f64,
    /// Messages a second on a usual day.
    pub baseline_per_s: f64,
    /// Time that its work takes against the usual.
    pub work_factor: f64,
    /// Limit that its endpoints share; open where each has its own.
    pub limit: RequestLimit,
    /// Its endpoints.
    pub endpoints: Vec<EndpointIndex>,
}

/// An endpoint as it was drawn.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// The destination that it belongs to.
    pub destination: DestinationIndex,
    /// Its zone.
    pub zone: u32,
    /// Requests that it serves at once.
    pub workers: usize,
    /// Requests that may queue.
    pub max_queued: usize,
    /// Requests a second that it is built for.
    pub capacity_per_s: f64,
    /// Limit of its own; open where the destination's endpoints share one.
    pub limit: RequestLimit,
    /// Requests a second that the endpoint list gives for it, where lists give rates.
    pub listed_rate: Option<f64>,
}

/// A forwarder as it was drawn.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderPlan {
    /// Its zone.
    pub zone: u32,
    /// Part of the traffic that comes to it.
    pub traffic_part: f64,
}

/// All that was drawn of a world.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// By rank of traffic, the largest first.
    pub destinations: Vec<DestinationPlan>,
    /// Endpoints of all destinations.
    pub endpoints: Vec<EndpointPlan>,
    /// All forwarders.
    pub forwarders: Vec<ForwarderPlan>,
}
