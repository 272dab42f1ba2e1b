//! Decoding of one entry of the endpoint list.

use std::borrow::Cow;
use std::net::SocketAddr;

use reeddock::{DestinationId, EndpointState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::EntryError;

/// An entry of the endpoint list, which describes one endpoint.
#[derive(Debug, PartialEq)]
pub struct ListEntry {
    /// Name that discovery gives the endpoint, identical for all forwarders and across restarts.
    pub name: String,
    /// Address that the endpoint listens on. `None` only if the endpoint is
    /// [`Removed`](EndpointState::Removed) and the entry has no valid address.
    pub address: Option<SocketAddr>,
    /// Destination that the endpoint serves.
    pub destination: DestinationId,
    /// Whether the endpoint accepts messages.
    pub state: EndpointState,
    /// Weight of the endpoint, whose meaning the settings define. `None` if not given.
    pub weight: Option<f64>,
    /// Zone of the endpoint; empty if not given.
    pub zone: String,
    /// Machine type of the endpoint, which is the name of an endpoint kind in the settings; empty if not
    /// given.
    pub kind: String,
}

/// The wire format of a [`ListEntry`].
#[derive(Deserialize)]
#[serde(expecting = "an endpoint as a JSON object")]
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
