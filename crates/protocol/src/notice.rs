//! Encoding of delivery notices, which report to the platform the final answers of accepted messages that
//! were not delivered.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use reeddock::MessageId;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The final answer for a message that was accepted but not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// The message was not executed. The client can submit it again.
    Rejected {
        /// Recommended wait before the client submits it again. `None` if no wait is recommended.
        retry_after: Option<Duration>,
    },
    /// Delivery failed, and the message may have been executed.
    Failed,
}

/// Formats the final answer for logs and listings.
impl fmt::Display for FinalAnswer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FinalAnswer::Rejected { retry_after: None } => f.write_str("rejected"),
            FinalAnswer::Rejected { retry_after: Some(wait) } => write!(f, "rejected, retry after {wait:?}"),
            FinalAnswer::Failed => f.write_str("failed"),
        }
    }
}

/// A delivery notice, which reports the final answer for one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeliveryNotice {
    /// Id of the message.
    pub id: MessageId,
    /// Final answer for the message.
    pub answer: FinalAnswer,
}

/// Builds a request with all of these notices, one JSON object per line.
pub fn notices_request(
    discovery: SocketAddr,
    notices: &[DeliveryNotice],
) -> http::Result<Request<Full<Bytes>>> {
    let lines: String = notices.iter().map(|notice| format!("{}\n", encode_notice(notice))).collect();
    Request::post("/v2/finals").header("host", discovery.to_string()).body(Full::new(Bytes::from(lines)))
}

fn encode_notice(notice: &DeliveryNotice) -> Value {
    let id = &*notice.id.0;
    match notice.answer {
        FinalAnswer::Failed => json!({"id": id, "status": "undeliverable"}),
        FinalAnswer::Rejected { retry_after: None } => json!({"id": id, "status": "deferred"}),
        FinalAnswer::Rejected { retry_after: Some(wait) } => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            json!({"id": id, "status": "deferred", "again_ms": wait_ms})
        }
    }
}
