//! The list of targets, whole or in part, as discovery tells it.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock::{DestinationId, Standing};
use serde::Deserialize;
use serde_json::Value;

use crate::Fault;

/// One part of the list: all of it, or what changed.
#[derive(Debug, PartialEq)]
pub struct ListPart {
    pub generation: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

/// What the list says of one target.
#[derive(Debug, PartialEq)]
pub struct Entry {
    /// The same at every forwarder and at each start.
    pub name: String,
    /// None where it is told no more, as the target is gone.
    pub address: Option<SocketAddr>,
    pub destination: DestinationId,
    pub standing: Standing,
    pub weight: Option<f64>,
    pub zone: String,
    pub kind: String,
}

#[derive(Deserialize)]
struct Line {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    cell: u64,
    lifecycle: String,
    weight: Option<f64>,
}

impl ListPart {
    pub fn decode(line: &[u8]) -> Result<ListPart, Fault> {
        ListPart::of(serde_json::from_slice(line).map_err(|e| e.to_string())?)
    }

    pub fn decode_value(value: Value) -> Result<ListPart, Fault> {
        ListPart::of(serde_json::from_value(value).map_err(|e| e.to_string())?)
    }

    fn of(line: Line) -> Result<ListPart, Fault> {
        let entry = |i: Instance| {
            let standing = match i.lifecycle.as_str() {
                "Ready" => Standing::Active,
                "Terminating" => Standing::Leaving,
                "Gone" => Standing::Gone,
                other => return Err(format!("unknown lifecycle {other:?}")),
            };
            let address = i.host_port.parse().ok();
            if address.is_none() && standing != Standing::Gone {
                return Err(format!("{:?} is no address", i.host_port));
            }
            Ok(Entry {
                name: i.instance_id,
                address,
                destination: DestinationId(i.cell),
                standing,
                weight: i.weight,
                zone: i.zone,
                kind: i.machine_type,
            })
        };
        let entries = line.instances.into_iter().map(entry).collect::<Result<_, Fault>>()?;
        Ok(ListPart { generation: line.generation, whole: line.reset, entries })
    }
}

/// Asks for what changes after a generation of the list.
pub fn watch(discovery: SocketAddr, after: u64) -> Result<Request<Full<Bytes>>, Fault> {
    Request::get(format!("/v1/servers?stream=1&index={after}"))
        .header("host", discovery.to_string())
        .body(Full::default())
        .map_err(|e| e.to_string())
}
