//! The endpoint list that discovery sends: the watch request and the decoders of its response.
//!
//! A watch response is a sequence of parts, each a JSON object. [`ListDecoder`] decodes it incrementally from
//! chunks of bytes, one entry at a time. [`ListPart`] is a complete part in memory.

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
pub use event::{ListEvent, ListLimits, MIN_ENTRY_MEMORY_BYTES};

/// One part of a watch response: the full endpoint list or its changes.
#[derive(Debug, PartialEq)]
pub struct ListPart {
    /// Version of the list after this part is applied. It increases with each change.
    pub generation: u64,
    /// Whether the part is the full list, so that endpoints not named in it are gone.
    pub is_full_list: bool,
    /// Entries of the endpoints that the part names.
    pub entries: Vec<ListEntry>,
}

/// The wire format of a [`ListPart`].
#[derive(Deserialize)]
#[serde(expecting = "a part of the endpoint list as a JSON object")]
struct WirePart {
    generation: u64,
    #[serde(default, rename = "reset")]
    is_full_list: bool,
    #[serde(default, rename = "instances")]
    entries: Vec<ListEntry>,
}

impl ListPart {
    /// Decodes a complete part in memory. Use [`ListDecoder`] for lists that may be large.
    pub fn decode(json: &[u8]) -> Result<ListPart, ListPartError> {
        let WirePart { generation, is_full_list, entries } = serde_json::from_slice(json)?;
        Ok(ListPart { generation, is_full_list, entries })
    }
}

/// Builds a watch request, whose response carries the changes after a generation of the endpoint list until
/// the connection ends.
pub fn watch_request(discovery: SocketAddr, after_generation: u64) -> http::Result<Request<Full<Bytes>>> {
    Request::get(format!("/v1/servers?stream=1&index={after_generation}"))
        .header("host", discovery.to_string())
        .body(Full::default())
}
