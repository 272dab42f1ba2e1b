//! The events that reach the event loop.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, ClientResponse, ListEvent, Submission};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::malformed_list::MalformedList;

/// An event that another task reports to the event loop.
pub enum Event {
    /// A client submitted a message.
    Submission {
        /// The decoded submission.
        submission: Submission,
        /// The time at which the last byte of the submission was read. The remaining time of the message
        /// counts from here.
        received_at: Instant,
        /// The channel for the response to the client, closed once the client has disconnected.
        reply: oneshot::Sender<ClientResponse>,
    },
    /// An attempt has finished.
    AttemptFinished {
        /// The message of the attempt.
        message: MessageId,
        /// The number of the attempt among the attempts of its message, from 0.
        number: AttemptNumber,
        /// The address that the request was scheduled for.
        address: SocketAddr,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// An endpoint sent a `Retry-After` header although it accepted messages.
    RetryAfter {
        /// The endpoint to which the request was sent.
        endpoint: EndpointId,
        /// The address that sent the header.
        address: SocketAddr,
        /// How long no request may be sent to the endpoint, counted from the handling of this event.
        retry_after: Duration,
    },
    /// A response contained a load report. Results of the attempts in the response are separate events.
    LoadReported {
        /// The endpoint that sent the report.
        endpoint: EndpointId,
        /// The rate limit that the endpoint reports, and the unused share of it.
        report: LoadReport,
    },
    /// Events of a watch in their order, at most `MAX_LIST_EVENTS_PER_CHUNK` of them (`list_reader`).
    ListEvents(Vec<ListEvent>),
    /// A watch sent a malformed list. The events before the fault stay applied.
    ListMalformed(MalformedList),
    /// A watch has ended, possibly in the middle of a list, or could not be opened.
    WatchLost,
    /// The address of discovery has changed. The watch is opened again at the new address.
    DiscoveryMoved,
    /// The platform has acknowledged the notices about these messages, or the notices were dropped as
    /// malformed.
    NoticesAcknowledged(Vec<MessageId>),
    /// A shutdown was requested. The process stops at this instant at the latest.
    ShutdownRequested(Instant),
    /// All client connections are closed, and no more are accepted.
    ClientsDisconnected,
}
