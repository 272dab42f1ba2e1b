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

/// Lives from submission to the final answer. What is fixed with its acceptance can be read directly; what its
/// attempts change goes through methods.
pub(crate) struct Message {
    pub(crate) id: MessageId,
    /// The index of its class.
    pub(crate) class: usize,
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) destination: DestinationId,
    /// Its number among all arrivals and requests.
    pub(crate) arrival_number: u64,
    pub(crate) deadline: Duration,
    /// Its tenant had used its quota up when it came.
    pub(crate) over_quota: bool,
    objective_at: Duration,
    /// Attempts that were started.
    attempts: u32,
    /// Answers with an error that it got.
    errors: u32,
    in_flight: BTreeSet<AttemptNumber>,
    possible_execution: Option<PossibleExecution>,
    /// None while an attempt is in flight.
    queue_entry: Option<QueueEntry>,
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
            arrival_number: 0,
            deadline: times.deadline,
            over_quota,
            objective_at: times.objective_at,
            attempts: 0,
            errors: 0,
            in_flight: BTreeSet::new(),
            possible_execution: None,
            queue_entry: None,
        }
    }

    /// The message is accepted under this arrival number.
    pub(crate) fn set_arrival_number(&mut self, arrival_number: u64) {
        self.arrival_number = arrival_number;
    }

    /// Until when it meets its latency objective.
    pub(crate) fn objective_at(&self) -> Duration {
        self.objective_at
    }

    /// Puts the end of its latency objective off until this time, unless that is later already.
    pub(crate) fn extend_objective(&mut self, until: Duration) {
        self.objective_at = self.objective_at.max(until);
    }

    /// Attempts that were started.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Sets how many attempts were started before this start of the program.
    pub(crate) fn set_previous_attempts(&mut self, attempts: u32) {
        self.attempts = attempts;
    }

    /// Starts the next attempt; returns its number.
    pub(crate) fn start_attempt(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight.insert(number);
        number
    }

    /// An attempt has ended, with whatever outcome.
    pub(crate) fn end_attempt(&mut self, number: AttemptNumber) {
        self.in_flight.remove(&number);
    }

    /// The numbers of its attempts in flight, in ascending order.
    pub(crate) fn in_flight(&self) -> &BTreeSet<AttemptNumber> {
        &self.in_flight
    }

    /// Answers with an error that it got.
    pub(crate) fn errors(&self) -> u32 {
        self.errors
    }

    /// An attempt was answered with an error.
    pub(crate) fn record_error(&mut self) {
        self.errors += 1;
    }

    /// The earliest attempt that may have executed it; none if it is known not to have been executed.
    pub(crate) fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    pub(crate) fn set_possible_execution(&mut self, attempt: Option<PossibleExecution>) {
        self.possible_execution = attempt;
    }

    /// Its place in the queue; none while an attempt is in flight.
    pub(crate) fn queue_entry(&self) -> Option<&QueueEntry> {
        self.queue_entry.as_ref()
    }

    /// It has been inserted into the queue.
    pub(crate) fn set_queue_entry(&mut self, entry: QueueEntry) {
        self.queue_entry = Some(entry);
    }

    /// Takes its place in the queue, from which it is to be removed.
    pub(crate) fn take_queue_entry(&mut self) -> Option<QueueEntry> {
        self.queue_entry.take()
    }
}
