//! Notices: how the platform hears of the end of an envelope that was taken on and not delivered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock::EnvelopeId;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Fault;

/// How an envelope ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GivenUp {
    /// Handing it in again is harmless, best after this time.
    Shed(Option<Duration>),
    BrokenOff,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub id: EnvelopeId,
    pub end: GivenUp,
}

/// One message with all of these notices.
pub fn notices(discovery: SocketAddr, notices: &[Notice]) -> Result<Request<Full<Bytes>>, Fault> {
    let mut body = String::new();
    for Notice { id, end } in notices {
        let id = &*id.0;
        let line = match end {
            GivenUp::BrokenOff => json!({"id": id, "status": "undeliverable"}),
            GivenUp::Shed(None) => json!({"id": id, "status": "deferred"}),
            GivenUp::Shed(Some(again)) => {
                let again = u64::try_from(again.as_millis()).unwrap_or(u64::MAX);
                json!({"id": id, "status": "deferred", "again_ms": again})
            }
        };
        body.push_str(&line.to_string());
        body.push('\n');
    }
    Request::post("/v2/finals")
        .header("host", discovery.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| e.to_string())
}
