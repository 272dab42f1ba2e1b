//! The events that reach the event loop.

use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, ClientResponse, ListEvent, Submission};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::malformed_list::MalformedList;

/// What the other tasks report to the event loop.
pub enum Event {
    /// A client submitted a message.
    Submission {
        /// What the client submitted.
        submission: Submission,
        /// When its last byte was read; the message's time left counts from here.
        received_at: Instant,
        /// Takes the response to the client. It is closed once the client has disconnected.
        reply: oneshot::Sender<ClientResponse>,
    },
    /// An attempt has finished.
    AttemptFinished {
        /// The message that was attempted.
        message: MessageId,
        /// The number of the attempt among those of its message.
        number: AttemptNumber,
        /// How it ended.
        result: AttemptResult,
    },
    /// An endpoint sent a `Retry-After` although it accepted messages.
    RetryAfter {
        /// The endpoint that asked.
        endpoint: EndpointId,
        /// For how long no request is to be sent to it, from now on.
        retry_after: Duration,
    },
    /// A response carried a load report. The attempts that it finished follow as events of their own.
    LoadReported {
        /// The endpoint that responded.
        endpoint: EndpointId,
        /// The limit of its circuit, and what is left of it.
        report: LoadReport,
    },
    /// Events of a watch, in their order: at most `MAX_LIST_EVENTS_PER_PIECE` events (`list_reader`).
    ListEvents(Vec<ListEvent>),
    /// A watch sent a malformed list; what it sent before that stays applied.
    ListMalformed(MalformedList),
    /// A watch has ended, possibly in the middle of a list, or could not be opened.
    WatchLost,
    /// The platform has acknowledged the notices about these messages, or they were dropped as malformed.
    NoticesAcknowledged(Vec<MessageId>),
    /// A shutdown was requested; the process stops at this time at the latest.
    ShutdownRequested(Instant),
    /// All client connections are closed, and no more are accepted.
    ClientsDisconnected,
}
