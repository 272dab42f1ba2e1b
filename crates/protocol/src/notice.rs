//! Notices: how the platform hears of the end of a message that was accepted and not delivered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock::MessageId;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// Handing it in again is harmless, best after this time.
    Rejected {
        retry_after: Option<Duration>,
    },
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeliveryNotice {
    pub id: MessageId,
    pub end: FinalAnswer,
}

/// One message with all of these notices.
pub fn notices_request(
    discovery: SocketAddr,
    notices: &[DeliveryNotice],
) -> http::Result<Request<Full<Bytes>>> {
    let mut body = String::new();
    for DeliveryNotice { id, end } in notices {
        let id = &*id.0;
        let line = match end {
            FinalAnswer::Failed => json!({"id": id, "status": "undeliverable"}),
            FinalAnswer::Rejected { retry_after: None } => json!({"id": id, "status": "deferred"}),
            FinalAnswer::Rejected { retry_after: Some(again) } => {
                let again = u64::try_from(again.as_millis()).unwrap_or(u64::MAX);
                json!({"id": id, "status": "deferred", "again_ms": again})
            }
        };
        body.push_str(&line.to_string());
        body.push('\n');
    }
    Request::post("/v2/finals").header("host", discovery.to_string()).body(Full::new(Bytes::from(body)))
}
