//! Faults that a scenario injects.

use serde::{Deserialize, Serialize};

use crate::distribution::{Amount, Distribution, Share, Span};

/// Share of requests answered with an error above which an endpoint counts as down.
const OUTAGE_ERROR_SHARE: f64 = 0.5;

/// Selects the endpoints that a fault affects, by destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table with destinations, or a share of them")]
pub struct EndpointSelector {
    /// Destinations by rank of traffic, from 0; empty if `destination_share` is set.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub destinations: Vec<u32>,
    /// Share of all destinations, which are drawn at random; `None` if `destinations` names them.
    #[serde(rename = "share", skip_serializing_if = "Option::is_none")]
    pub destination_share: Option<Share>,
    /// Share of each selected destination's endpoints, one endpoint at least; `None` for all endpoints.
    #[serde(rename = "targets", skip_serializing_if = "Option::is_none")]
    pub endpoint_share: Option<Share>,
}

/// Selects the forwarders that a fault affects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table with forwarders, or a share of them")]
pub struct ForwarderSelector {
    /// Forwarders by number, from 0; empty if `share` is set.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forwarders: Vec<u32>,
    /// Share of the fleet, counted from the first forwarder; `None` if `forwarders` names them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

/// A fault that is active for a limited time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "a table of the fault's values")]
pub enum Fault {
    /// New connections are refused at once, and established ones are reset.
    #[serde(rename = "refused")]
    ConnectionsRefused {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Packets are lost: no connection can be established, and requests get no response.
    #[serde(rename = "silent")]
    Unreachable {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Requests are accepted, but get no response before the end of the fault.
    #[serde(rename = "hang")]
    Hang {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// All requests are rejected, some with a Retry-After that lasts until the end of the fault.
    #[serde(rename = "shut")]
    RejectsAll {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// A share of requests is answered with an error at once and not executed.
    #[serde(rename = "fast_errors")]
    FastErrors {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of requests that are answered with an error.
        #[serde(default = "default_error_share")]
        share: Share,
    },
    /// The affected endpoints take longer for all work.
    #[serde(rename = "slow")]
    Slow {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Factor by which the duration of work is multiplied.
        #[serde(rename = "times")]
        duration_factor: Amount,
    },
    /// The affected endpoints stop all work periodically.
    #[serde(rename = "pauses")]
    Pauses {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Duration of each pause; shorter than `interval`.
        #[serde(rename = "each_s")]
        duration: Span,
        /// Time from the start of one pause to the start of the next.
        #[serde(rename = "every_s")]
        interval: Span,
    },
    /// A share of requests takes longer.
    #[serde(rename = "heavy_tail")]
    HeavyTail {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of requests that take longer.
        share: Share,
        /// Factor by which the duration of these requests is multiplied; a value below 1 counts as 1.
        #[serde(rename = "times")]
        duration_factor: Distribution,
    },
    /// Requests that contain a message of one class are answered with an error.
    #[serde(rename = "category_fails")]
    ClassFails {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Name of the message class in the scenario.
        #[serde(rename = "category")]
        class: String,
    },
    /// Requests are executed, but the connection is reset before the response.
    #[serde(rename = "answers_lost")]
    ResponsesLost {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of responses that are lost.
        share: Share,
    },
    /// Endpoints are replaced by others at the same address; the endpoint list shows the change later.
    #[serde(rename = "replaced")]
    Replaced {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Endpoints are listed as draining, and are removed at the end of the fault.
    #[serde(rename = "leaves")]
    Drains {
        /// Endpoints that the fault affects.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// No forwarder receives changes of the endpoint list.
    #[serde(rename = "list_frozen")]
    ListFrozen {},
    /// Forwarders are killed, and restarted at the end of the fault.
    #[serde(rename = "killed")]
    ForwardersKilled {
        /// Forwarders that are killed.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
    },
    /// No gossip passes between the selected forwarders and the others.
    #[serde(rename = "cut_off")]
    GossipPartition {
        /// Forwarders on one side of the partition.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
    },
    /// A share of all traffic is directed to the selected forwarders.
    #[serde(rename = "shift")]
    TrafficShift {
        /// Forwarders that receive the share.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
        /// Share of all traffic that is directed to the selected forwarders.
        share: Share,
    },
    /// All programs send more traffic.
    #[serde(rename = "burst")]
    TrafficBurst {
        /// Factor by which the rate of arrivals is multiplied.
        #[serde(rename = "times")]
        rate_factor: Amount,
    },
    /// One program sends more traffic.
    #[serde(rename = "surge")]
    ProgramSurge {
        /// Name of the program in the scenario.
        program: String,
        /// Factor by which the program's rate of arrivals is multiplied.
        #[serde(rename = "times")]
        rate_factor: Amount,
    },
}

fn default_error_share() -> Share {
    Share::clamped(0.95)
}

impl Fault {
    /// Returns the selector of affected endpoints; `None` if the fault affects no endpoints.
    pub fn endpoint_selector(&self) -> Option<&EndpointSelector> {
        match self {
            Fault::ConnectionsRefused { endpoints }
            | Fault::Unreachable { endpoints }
            | Fault::Hang { endpoints }
            | Fault::RejectsAll { endpoints }
            | Fault::FastErrors { endpoints, .. }
            | Fault::Slow { endpoints, .. }
            | Fault::Pauses { endpoints, .. }
            | Fault::HeavyTail { endpoints, .. }
            | Fault::ClassFails { endpoints, .. }
            | Fault::ResponsesLost { endpoints, .. }
            | Fault::Replaced { endpoints }
            | Fault::Drains { endpoints } => Some(endpoints),
            Fault::ListFrozen {}
            | Fault::ForwardersKilled { .. }
            | Fault::GossipPartition { .. }
            | Fault::TrafficShift { .. }
            | Fault::TrafficBurst { .. }
            | Fault::ProgramSurge { .. } => None,
        }
    }

    /// Returns the selector of affected forwarders; `None` if the fault affects no forwarders.
    pub fn forwarder_selector(&self) -> Option<&ForwarderSelector> {
        match self {
            Fault::ForwardersKilled { forwarders }
            | Fault::GossipPartition { forwarders }
            | Fault::TrafficShift { forwarders, .. } => Some(forwarders),
            _ => None,
        }
    }

    /// Returns whether an affected endpoint counts as down and has to warm up afterwards, see
    /// [`Rule::NoOverload`](crate::rule::Rule::NoOverload).
    pub fn is_outage(&self) -> bool {
        match self {
            Fault::ConnectionsRefused { .. }
            | Fault::Unreachable { .. }
            | Fault::Hang { .. }
            | Fault::RejectsAll { .. } => true,
            Fault::FastErrors { share, .. } => share.get() > OUTAGE_ERROR_SHARE,
            _ => false,
        }
    }
}
