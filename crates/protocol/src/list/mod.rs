//! The list of endpoints, whole or in part, as discovery tells it.

mod decoder;
mod value_scan;

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock::{DestinationId, EndpointState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::{EntryError, ListPartError};
pub use decoder::{ListDecoder, ListEvent, ListLimits};

/// One part of the list: all of it, or what changed.
#[derive(Debug, PartialEq)]
pub struct ListPart {
    pub generation: u64,
    pub whole: bool,
    pub entries: Vec<ListEntry>,
}

/// What the list says of one endpoint.
#[derive(Debug, PartialEq)]
pub struct ListEntry {
    /// The same at every forwarder and at each start.
    pub name: String,
    /// None where it is told no more, as the endpoint is gone.
    pub address: Option<SocketAddr>,
    pub destination: DestinationId,
    pub state: EndpointState,
    pub weight: Option<f64>,
    pub zone: String,
    pub kind: String,
}

/// An entry as it stands on the wire.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance<'a> {
    instance_id: String,
    #[serde(default, borrow)]
    host_port: Cow<'a, str>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    cell: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    weight: Option<f64>,
}

impl TryFrom<Instance<'_>> for ListEntry {
    type Error = EntryError;

    fn try_from(instance: Instance) -> Result<ListEntry, EntryError> {
        let state = match instance.lifecycle.as_ref() {
            "Ready" => EndpointState::Active,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(EntryError::UnknownLifecycle(other.to_owned())),
        };
        let address = instance.host_port.parse().ok();
        if address.is_none() && state != EndpointState::Removed {
            return Err(EntryError::InvalidAddress(instance.host_port.into_owned()));
        }
        Ok(ListEntry {
            name: instance.instance_id,
            address,
            destination: DestinationId(instance.cell),
            state,
            weight: instance.weight,
            zone: instance.zone,
            kind: instance.machine_type,
        })
    }
}

impl<'de> Deserialize<'de> for ListEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ListEntry, D::Error> {
        ListEntry::try_from(Instance::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}

/// A part as it stands on the wire.
#[derive(Deserialize)]
struct Line {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<ListEntry>,
}

impl ListPart {
    /// Decodes a part that is there whole. What may be large is read with [`ListDecoder`].
    pub fn decode(line: &[u8]) -> Result<ListPart, ListPartError> {
        let Line { generation, reset, instances } = serde_json::from_slice(line)?;
        Ok(ListPart { generation, whole: reset, entries: instances })
    }
}

/// Asks for what changes after a generation of the list.
pub fn watch_request(discovery: SocketAddr, after: u64) -> http::Result<Request<Full<Bytes>>> {
    Request::get(format!("/v1/servers?stream=1&index={after}"))
        .header("host", discovery.to_string())
        .body(Full::default())
}
