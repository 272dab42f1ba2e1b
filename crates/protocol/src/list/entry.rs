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
    /// Unix time at which the endpoint last started, in milliseconds; 0 if it was long ago or is not given.
    pub started_at_unix_ms: u64,
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
    #[serde(rename = "startedAtMs")]
    started_at_unix_ms: Option<f64>,
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
            // The conversion saturates: a number below zero becomes zero.
            started_at_unix_ms: wire.started_at_unix_ms.unwrap_or_default() as u64,
        })
    }
}

impl<'de> Deserialize<'de> for ListEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ListEntry, D::Error> {
        ListEntry::try_from(WireEntry::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
