//! One entry of the endpoint list.

use std::borrow::Cow;
use std::net::SocketAddr;

use reeddock::{DestinationId, EndpointState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::EntryError;

/// What the endpoint list says of one endpoint.
#[derive(Debug, PartialEq)]
pub struct ListEntry {
    /// Discovery's name of the endpoint: the same at every forwarder and at each start of one.
    pub name: String,
    /// Where it listens. None only if it is [`Removed`](EndpointState::Removed) and its address was left out.
    pub address: Option<SocketAddr>,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Whether it accepts messages.
    pub state: EndpointState,
    /// Its weight; the settings say what it means.
    pub weight: Option<f64>,
    /// Its zone; empty if not given.
    pub zone: String,
    /// The name of its kind in the settings; empty if not given.
    pub kind: String,
}

/// An entry in the form of the wire. The name given here is part of error messages.
#[derive(Deserialize)]
#[serde(expecting = "struct Instance")]
struct WireEntry<'a> {
    #[serde(rename = "instanceId")]
    name: String,
    #[serde(default, borrow, rename = "hostPort")]
    address: Cow<'a, str>,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "machineType")]
    kind: String,
    #[serde(rename = "cell")]
    destination: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    weight: Option<f64>,
}

impl TryFrom<WireEntry<'_>> for ListEntry {
    type Error = EntryError;

    fn try_from(wire: WireEntry) -> Result<ListEntry, EntryError> {
        let state = match wire.lifecycle.as_ref() {
            "Ready" => EndpointState::Active,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(EntryError::UnknownLifecycle(other.to_owned())),
        };
        let address = wire.address.parse().ok();
        if address.is_none() && state != EndpointState::Removed {
            return Err(EntryError::InvalidAddress(wire.address.into_owned()));
        }
        Ok(ListEntry {
            name: wire.name,
            address,
            destination: DestinationId(wire.destination),
            state,
            weight: wire.weight,
            zone: wire.zone,
            kind: wire.kind,
        })
    }
}

impl<'de> Deserialize<'de> for ListEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ListEntry, D::Error> {
        ListEntry::try_from(WireEntry::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
