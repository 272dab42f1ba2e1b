//! Records of submissions, messages, attempts and requests.

use std::time::Duration;

use reeddock::{AttemptOutcome, MessageId};

use crate::ids::{
    DestinationIndex, EndpointIndex, ForwarderIncarnation, MessageIndex, RequestIndex, SubmissionIndex,
};
use crate::invariants::RetryAfterScope;

/// A message of a client, across all its submissions.
pub(super) struct ClientSubmission {
    /// Index of the message class in the scenario.
    pub(super) class: usize,
    pub(super) program: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) destination: DestinationIndex,
    /// Time of the first submission.
    pub(super) submitted_at: Duration,
    /// Work in seconds at an endpoint without slowdown.
    pub(super) work_seconds: f64,
    pub(super) resubmissions_left: u32,
    /// Number of times that a destination applied the effect of the message.
    pub(super) times_applied: u32,
    /// Whether the submission has ended: no later event changes its result.
    pub(super) finished: bool,
}

/// A message that one forwarder accepted. A repeated submission of the same message gets a new record.
pub(super) struct MessageRecord {
    pub(super) id: MessageId,
    pub(super) submission: SubmissionIndex,
    /// Incarnation of the forwarder that accepted the message, or the latest that restored it.
    pub(super) owner: ForwarderIncarnation,
    pub(super) deadline: Duration,
    /// Whether the message has a final answer or was lost with its forwarder.
    pub(super) finished: bool,
    pub(super) attempts: Vec<AttemptRecord>,
}

pub(super) struct AttemptRecord {
    pub(super) endpoint: EndpointIndex,
    pub(super) started_at: Duration,
    /// Position in the batch of a request, `None` if the attempt was not sent.
    pub(super) position: Option<BatchPosition>,
    pub(super) outcome: Option<AttemptOutcome>,
    /// Whether the outcome was reported to the forwarder and is in its write-ahead log.
    pub(super) reported: bool,
}

/// A position in the batch of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchPosition {
    pub(super) request: RequestIndex,
    pub(super) index: usize,
}

/// Identifies an attempt by its message and its number within the message.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) message: MessageIndex,
    pub(super) number: usize,
}

/// The outcome of an attempt as it is reported to the forwarder.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) attempt: AttemptRef,
    pub(super) outcome: AttemptOutcome,
    /// Whether the message was finished when the attempt ended.
    pub(super) finished: bool,
    /// Scope of a Retry-After in the outcome.
    pub(super) scope: RetryAfterScope,
}

/// One attempt in the batch of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchEntry {
    pub(super) attempt: AttemptRef,
    /// Whether the forwarder still waits for the outcome of the attempt.
    pub(super) awaited: bool,
}

/// A request with its batch of attempts.
pub(super) struct RequestRecord {
    pub(super) sender: ForwarderIncarnation,
    pub(super) endpoint: EndpointIndex,
    /// Incarnation of the endpoint to which the request was sent.
    pub(super) endpoint_incarnation: u32,
    pub(super) batch: Vec<BatchEntry>,
    pub(super) started_at: Duration,
    /// Whether the endpoint discards the request instead of serving it, because no outcome is awaited.
    pub(super) dropped: bool,
    /// Whether the request has a connection, which counts at the endpoint.
    pub(super) connected: bool,
    /// Service time in seconds, excluding pauses from faults; 0 until serving starts.
    pub(super) work_seconds: f64,
    /// Whether the endpoint has started to serve the request.
    pub(super) serving_started: bool,
}

impl RequestRecord {
    /// Creates a request without attempts that has not been sent.
    pub(super) fn new(
        sender: ForwarderIncarnation,
        endpoint: EndpointIndex,
        endpoint_incarnation: u32,
        started_at: Duration,
    ) -> RequestRecord {
        RequestRecord {
            sender,
            endpoint,
            endpoint_incarnation,
            batch: Vec::new(),
            started_at,
            dropped: false,
            connected: false,
            work_seconds: 0.0,
            serving_started: false,
        }
    }

    /// Returns whether the forwarder still waits for the outcome of an attempt in the request.
    pub(super) fn is_awaited(&self) -> bool {
        self.batch.iter().any(|entry| entry.awaited)
    }
}
