//! A submission between its acceptance by the policy and the answer to its client.

use reeddock::MessageId;
use reeddock_protocol::ClientResponse;
use reeddock_wal::AcceptedMessage;
use tokio::sync::oneshot;

/// A message that was submitted since the last due work and is not answered yet.
pub(super) struct NewSubmission {
    pub id: MessageId,
    /// Its record for the write-ahead log.
    pub accepted: AcceptedMessage,
    pub reply: oneshot::Sender<ClientResponse>,
}
