//! A submission that the policy has accepted and whose client has no response yet.

use reeddock::MessageId;
use reeddock_protocol::ClientResponse;
use reeddock_wal::AcceptedMessage;
use tokio::sync::oneshot;

/// A message that was submitted since the last run of due work and whose client has no response yet.
pub(super) struct NewSubmission {
    pub id: MessageId,
    /// The record of the message for the write-ahead log.
    pub accepted: AcceptedMessage,
    pub reply: oneshot::Sender<ClientResponse>,
}
