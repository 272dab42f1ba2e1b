//! What a world keeps of submissions, messages, attempts and requests.

use std::time::Duration;

use reeddock::{AttemptOutcome, MessageId};

use crate::ids::{
    DestinationIndex, EndpointIndex, ForwarderIncarnation, MessageIndex, RequestIndex, SubmissionIndex,
};
use crate::invariants::RetryAfterScope;

/// What a client wants delivered, over all its submissions.
pub(super) struct ClientSubmission {
    /// Index of its message class.
    pub(super) class: usize,
    pub(super) program: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) destination: DestinationIndex,
    /// Time of the first submission.
    pub(super) submitted_at: Duration,
    /// Seconds of work at a destination of usual speed.
    pub(super) work_seconds: f64,
    pub(super) resubmissions_left: u32,
    /// How often its effect was applied.
    pub(super) times_applied: u32,
    /// Nothing more happens to it.
    pub(super) finished: bool,
}

/// One submission to one forwarder.
pub(super) struct MessageRecord {
    pub(super) id: MessageId,
    pub(super) submission: SubmissionIndex,
    /// The forwarder that accepted it; its present incarnation where the message was restored.
    pub(super) owner: ForwarderIncarnation,
    pub(super) deadline: Duration,
    /// It has its final answer.
    pub(super) finished: bool,
    pub(super) attempts: Vec<AttemptRecord>,
}

/// One attempt for a message.
pub(super) struct AttemptRecord {
    pub(super) endpoint: EndpointIndex,
    pub(super) started_at: Duration,
    /// Where it travels; absent where it was never sent.
    pub(super) position: Option<BatchPosition>,
    pub(super) outcome: Option<AttemptOutcome>,
    /// The outcome was reported to the forwarder, and its write-ahead log holds it.
    pub(super) reported: bool,
}

/// A place in the batch of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchPosition {
    pub(super) request: RequestIndex,
    pub(super) index: usize,
}

/// An attempt, named by its message and its number.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) message: MessageIndex,
    pub(super) number: usize,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) attempt: AttemptRef,
    pub(super) outcome: AttemptOutcome,
    /// The message has its final answer by now.
    pub(super) finished: bool,
    /// What a Retry-After in the outcome holds for.
    pub(super) scope: RetryAfterScope,
}

/// One attempt in the batch of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchEntry {
    pub(super) attempt: AttemptRef,
    /// The forwarder still waits for its outcome.
    pub(super) awaited: bool,
}

/// One request, with all that travels in it.
pub(super) struct RequestRecord {
    pub(super) sender: ForwarderIncarnation,
    pub(super) endpoint: EndpointIndex,
    /// The endpoint's incarnation that its connection belongs to.
    pub(super) endpoint_incarnation: u32,
    pub(super) batch: Vec<BatchEntry>,
    pub(super) started_at: Duration,
    /// Nobody waits for it any more, and the endpoint knows so before it begins to serve it.
    pub(super) dropped: bool,
    /// It has a connection, which counts at the endpoint.
    pub(super) connected: bool,
    /// Work that serving it takes, in seconds; 0 until it is served.
    pub(super) work_seconds: f64,
    /// The endpoint has begun to serve it.
    pub(super) serving_started: bool,
}

impl RequestRecord {
    /// An empty request that has not left.
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

    /// Whether the forwarder waits for the outcome of any of its attempts.
    pub(super) fn is_awaited(&self) -> bool {
        self.batch.iter().any(|entry| entry.awaited)
    }
}
