//! The record of one message that waits for its final answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::interface::{AttemptNumber, DestinationId, EndpointId, MessageId, OrderingKey};
use crate::queue::QueuePosition;

/// Until when a message has its full weight, and until when it may be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageTimes {
    pub(crate) objective_at: Duration,
    pub(crate) deadline: Duration,
}

/// The earliest attempt that may have executed a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PossibleExecution {
    pub(crate) started_at: Duration,
    /// Where the latest such attempt went.
    pub(crate) endpoint: EndpointId,
}

/// The place of a message in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    /// Its number among all entries ever made.
    pub(crate) number: u64,
    pub(crate) position: QueuePosition,
}

/// Lives from submission to the final answer.
pub(crate) struct Message {
    pub(crate) id: MessageId,
    /// The index of its class.
    pub(crate) class: usize,
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) destination: DestinationId,
    /// Its number among all arrivals and requests.
    pub(crate) arrival: u64,
    pub(crate) objective_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) over_quota: bool,
    /// Attempts that were started.
    pub(crate) attempts: u32,
    /// Answers with an error that it got.
    pub(crate) errors: u32,
    pub(crate) in_flight: BTreeSet<AttemptNumber>,
    pub(crate) possibly_executed: Option<PossibleExecution>,
    /// None while an attempt is in flight.
    pub(crate) queued: Option<QueueEntry>,
}

impl Message {
    /// A message of which no attempt was made; its arrival number is given when it is accepted.
    pub(crate) fn new(
        id: MessageId,
        class: usize,
        ordering_key: Option<OrderingKey>,
        destination: DestinationId,
        times: MessageTimes,
        over_quota: bool,
    ) -> Message {
        Message {
            id,
            class,
            ordering_key,
            destination,
            arrival: 0,
            objective_at: times.objective_at,
            deadline: times.deadline,
            over_quota,
            attempts: 0,
            errors: 0,
            in_flight: BTreeSet::new(),
            possibly_executed: None,
            queued: None,
        }
    }
}
