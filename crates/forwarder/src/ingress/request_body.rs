//! Reads the body of a request into a buffer of its own, whose capacity counts against a memory budget.
//!
//! The capacity is granted before it is allocated. A body beyond the budget is received and discarded.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use reeddock_protocol::{ClientResponse, SubmissionError, MAX_BODY_BYTES};
use tokio::time::timeout;

use crate::body_reader::{self, BodyError};
use crate::connections::lock;
use crate::log_throttle::LogThrottle;
use crate::memory_budget::{BudgetExceeded, MemoryBudget, MemoryGrant};

/// The time limit for receiving a body, counted from the end of the request head.
const BODY_TIMEOUT: Duration = Duration::from_millis(600);
/// The step in which the buffer of a body grows as the body is received, in bytes.
const GROWTH_STEP: usize = 4 * 1024;

/// The memory for the bodies of all requests.
pub(super) struct BodyMemory {
    budget: MemoryBudget,
    /// Limits log lines about bodies that exceed the budget.
    log_throttle: Mutex<LogThrottle>,
}

impl BodyMemory {
    /// Creates the memory for bodies whose capacities sum up to at most `bytes`.
    pub(super) fn new(bytes: u64) -> BodyMemory {
        BodyMemory { budget: MemoryBudget::new(bytes), log_throttle: Mutex::default() }
    }

    fn log_exceeded(&self, body_bytes: usize) {
        if let Some(suppressed) = lock(&self.log_throttle).admit() {
            tracing::warn!(body_bytes, suppressed, "submission rejected, no memory for its body");
        }
    }
}

/// A body that was received completely.
pub(super) struct ReceivedBody {
    /// The length of the body in bytes.
    pub length: usize,
    /// The content. The error says that the memory budget did not suffice for it.
    pub content: Result<BodyContent, BudgetExceeded>,
}

/// The content of a body, with the grant for its memory.
pub(super) struct BodyContent {
    /// The bytes, which share no buffer with anything else.
    pub bytes: Bytes,
    /// The grant for the capacity of `bytes`.
    pub grant: MemoryGrant,
}

/// Reads a whole body within the limits of size and time. A body that exceeds the memory budget is read to its
/// end and discarded, so that the connection can be used again. The error is the response to the request.
pub(super) async fn read_body(body: Incoming, memory: &BodyMemory) -> Result<ReceivedBody, ClientResponse> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(ClientResponse::TooLarge);
    }
    let buffer = BodyBuffer::new(expected_length(&body), &memory.budget);
    let received = timeout(BODY_TIMEOUT, receive(body, buffer)).await;
    let body = received.unwrap_or(Err(ClientResponse::RequestTimeout))?;
    if body.content.is_err() {
        memory.log_exceeded(body.length);
    }
    Ok(body)
}

/// Returns the length that the request head declares, at most [`MAX_BODY_BYTES`].
fn expected_length(body: &Incoming) -> usize {
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    declared.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES)
}

async fn receive(body: Incoming, buffer: BodyBuffer) -> Result<ReceivedBody, ClientResponse> {
    let mut length = 0;
    // Dropped with its grant once the memory budget is exceeded.
    let mut buffer: Result<BodyBuffer, BudgetExceeded> = Ok(buffer);
    let read = body_reader::read_body(body, MAX_BODY_BYTES, |bytes| {
        length += bytes.len();
        if let Ok(kept) = &mut buffer {
            if let Err(exceeded) = kept.append(bytes) {
                buffer = Err(exceeded);
            }
        }
    });
    match read.await {
        Ok(()) => Ok(ReceivedBody { length, content: buffer.map(BodyBuffer::into_content) }),
        Err(BodyError::TooLong) => Err(ClientResponse::TooLarge),
        Err(BodyError::Unreadable(error)) => {
            let error = SubmissionError::UnreadableBody { reason: error.to_string() };
            Err(ClientResponse::Malformed { error })
        }
    }
}

/// A buffer that grows as a body is received. Its capacity is granted before it is allocated.
struct BodyBuffer {
    bytes: Vec<u8>,
    expected_length: usize,
    grant: MemoryGrant,
}

impl BodyBuffer {
    fn new(expected_length: usize, budget: &MemoryBudget) -> BodyBuffer {
        BodyBuffer { bytes: Vec::new(), expected_length, grant: budget.empty_grant() }
    }

    /// Appends bytes. With an error, the buffer stays as it was.
    fn append(&mut self, bytes: &[u8]) -> Result<(), BudgetExceeded> {
        let length = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if length > capacity {
            let stepped = length.next_multiple_of(GROWTH_STEP).min(self.expected_length).max(length);
            self.grant.grow(stepped - capacity)?;
            self.bytes.reserve_exact(stepped - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn into_content(self) -> BodyContent {
        BodyContent { bytes: self.bytes.into(), grant: self.grant }
    }
}
