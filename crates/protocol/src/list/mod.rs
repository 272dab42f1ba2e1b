//! The endpoint list as discovery sends it: the request for a watch, and decoders of what comes back.
//!
//! A watch response is a sequence of parts, a JSON object each. [`ListDecoder`] decodes it from bytes that come in any
//! pieces and never holds more than one entry; [`ListPart`] is one part that is in memory completely.

mod decoder;
mod entry;
mod event;
mod grammar;
mod part_progress;
mod value_scan;

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use crate::ListPartError;
pub use decoder::ListDecoder;
pub use entry::ListEntry;
pub use event::{ListEvent, ListLimits};

/// One part of the endpoint list: all of it, or what changed.
#[derive(Debug, PartialEq)]
pub struct ListPart {
    /// The version of the list that a forwarder has with this part; it grows with each change.
    pub generation: u64,
    /// The part is the whole list: endpoints that it does not name are gone.
    pub is_full_list: bool,
    /// The endpoints that it names.
    pub entries: Vec<ListEntry>,
}

/// A part in the form of the wire. The name given here is part of error messages.
#[derive(Deserialize)]
#[serde(expecting = "struct Line")]
struct WirePart {
    generation: u64,
    #[serde(default, rename = "reset")]
    is_full_list: bool,
    #[serde(default, rename = "instances")]
    entries: Vec<ListEntry>,
}

impl ListPart {
    /// Decodes a part that is in memory completely. A list that may be large is read with [`ListDecoder`].
    pub fn decode(json: &[u8]) -> Result<ListPart, ListPartError> {
        let WirePart { generation, is_full_list, entries } = serde_json::from_slice(json)?;
        Ok(ListPart { generation, is_full_list, entries })
    }
}

/// The request for a watch: what changes after a generation of the endpoint list, until the connection ends.
pub fn watch_request(discovery: SocketAddr, after_generation: u64) -> http::Result<Request<Full<Bytes>>> {
    Request::get(format!("/v1/servers?stream=1&index={after_generation}"))
        .header("host", discovery.to_string())
        .body(Full::default())
}
