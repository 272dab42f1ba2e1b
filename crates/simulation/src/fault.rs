//! Faults that a scenario injects. A new one is an arm of [`Fault`], and the places that the compiler then names.

use serde::{Deserialize, Serialize};

use crate::distribution::{Amount, Distribution, Share, Span};

/// Share of failing requests above which an endpoint counts as down.
const OUTAGE_ERROR_SHARE: f64 = 0.5;

/// The endpoints that a fault affects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table with destinations, or a share of them")]
pub struct EndpointSelector {
    /// Destinations by rank of traffic, from 0; where none are named, a share is drawn.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub destinations: Vec<u32>,
    /// Share of all destinations, drawn by the seed.
    #[serde(rename = "share", skip_serializing_if = "Option::is_none")]
    pub destination_share: Option<Share>,
    /// Share of the endpoints of each of these, one at least; all of them where it is absent.
    #[serde(rename = "targets", skip_serializing_if = "Option::is_none")]
    pub endpoint_share: Option<Share>,
}

/// Forwarders, by number or as a share of the fleet from the first one on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table with forwarders, or a share of them")]
pub struct ForwarderSelector {
    /// Forwarders by number, from 0.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forwarders: Vec<u32>,
    /// Share of all forwarders, where none are named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "a table of the fault's values")]
pub enum Fault {
    /// Connections are refused at once, and those that stand are reset.
    #[serde(rename = "refused")]
    ConnectionsRefused {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Packets are lost: no connection is made, and requests are never answered.
    #[serde(rename = "silent")]
    Unreachable {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Requests are accepted and not answered before the end of the fault.
    #[serde(rename = "hang")]
    Hang {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// All requests are rejected, some with Retry-After up to the end of the fault.
    #[serde(rename = "shut")]
    RejectsAll {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// A share of requests is answered with an error at once, and nothing is executed.
    #[serde(rename = "fast_errors")]
    FastErrors {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of requests that fail.
        #[serde(default = "default_error_share")]
        share: Share,
    },
    /// All work takes several times as long.
    #[serde(rename = "slow")]
    Slow {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Factor of the time that work takes.
        #[serde(rename = "times")]
        factor: Amount,
    },
    /// All work stands still again and again.
    #[serde(rename = "pauses")]
    Pauses {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Length of each pause.
        #[serde(rename = "each_s")]
        duration: Span,
        /// From the start of a pause to the start of the next.
        #[serde(rename = "every_s")]
        interval: Span,
    },
    /// A share of requests takes several times as long.
    #[serde(rename = "heavy_tail")]
    HeavyTail {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of requests that take longer.
        share: Share,
        /// Factor of the time that these take.
        #[serde(rename = "times")]
        factor: Distribution,
    },
    /// Requests with a message of one class are answered with an error.
    #[serde(rename = "category_fails")]
    ClassFails {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Name of the message class.
        #[serde(rename = "category")]
        class: String,
    },
    /// Requests are executed, and the connection is reset before the response.
    #[serde(rename = "answers_lost")]
    ResponsesLost {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
        /// Share of responses that are lost.
        share: Share,
    },
    /// Endpoints are replaced by others at the same address; the endpoint list says so late.
    #[serde(rename = "replaced")]
    Replaced {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// Endpoints drain by the endpoint list, and are removed at the end of the fault.
    #[serde(rename = "leaves")]
    Drains {
        /// Endpoints that are struck.
        #[serde(rename = "whom")]
        endpoints: EndpointSelector,
    },
    /// No forwarder learns of a change of the endpoint list.
    #[serde(rename = "list_frozen")]
    ListFrozen {},
    /// Forwarders are killed, and started again at the end of the fault.
    #[serde(rename = "killed")]
    ForwardersKilled {
        /// Forwarders that are struck.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
    },
    /// No gossip passes between these forwarders and the others.
    #[serde(rename = "cut_off")]
    GossipPartition {
        /// Forwarders on one side.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
    },
    /// A share of all traffic comes to these forwarders.
    #[serde(rename = "shift")]
    TrafficShift {
        /// Forwarders that get it.
        #[serde(rename = "which")]
        forwarders: ForwarderSelector,
        /// Share of the traffic.
        share: Share,
    },
    /// All traffic is several times the usual.
    #[serde(rename = "burst")]
    TrafficBurst {
        /// Factor of the traffic.
        #[serde(rename = "times")]
        factor: Amount,
    },
    /// One program sends several times its usual traffic.
    #[serde(rename = "surge")]
    ProgramSurge {
        /// Name of the program.
        program: String,
        /// Factor of its traffic.
        #[serde(rename = "times")]
        factor: Amount,
    },
}

fn default_error_share() -> Share {
    Share::clamped(0.95)
}

impl Fault {
    /// The endpoints it affects, where it affects endpoints.
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

    /// The forwarders it affects, where it affects forwarders.
    pub fn forwarder_selector(&self) -> Option<&ForwarderSelector> {
        match self {
            Fault::ForwardersKilled { forwarders }
            | Fault::GossipPartition { forwarders }
            | Fault::TrafficShift { forwarders, .. } => Some(forwarders),
            _ => None,
        }
    }

    /// Whether an endpoint that it affects counts as down, in the sense of [`Rule::NoOverload`](crate::rule::Rule::NoOverload).
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
