//! Record of a message that has no final answer yet.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::interface::{AttemptNumber, DestinationId, EndpointId, MessageId, OrderingKey};
use crate::queue::QueuePosition;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageTimes {
    /// Time until which a delivery meets the latency objective.
    pub(crate) objective_ends_at: Duration,
    pub(crate) deadline: Duration,
}

/// Attempts that may have executed a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PossibleExecution {
    /// Start time of the earliest attempt that may have executed the message.
    pub(crate) started_at: Duration,
    /// Endpoint of the latest attempt that may have executed the message.
    pub(crate) endpoint: EndpointId,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    /// Sequence number of the entry.
    pub(crate) number: u64,
    pub(crate) position: QueuePosition,
}

/// Message between its submission and its final answer. Fields that attempts change are only changed by
/// methods.
pub(crate) struct Message {
    pub(crate) id: MessageId,
    /// Index of the message class.
    pub(crate) class: usize,
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) destination: DestinationId,
    /// Number in the order of acceptance, from the same sequence as request numbers.
    pub(crate) arrival_number: u64,
    pub(crate) deadline: Duration,
    /// Whether the tenant's quota was used up when the message was submitted.
    pub(crate) over_quota: bool,
    objective_ends_at: Duration,
    /// Number of attempts that were started.
    attempts: u32,
    /// Number of attempts that were answered with an error.
    errors: u32,
    in_flight: BTreeSet<AttemptNumber>,
    possible_execution: Option<PossibleExecution>,
    /// `None` while an attempt is in flight.
    queue_entry: Option<QueueEntry>,
}

impl Message {
    /// Returns a message without attempts. Its arrival number is set when the message is accepted.
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
            objective_ends_at: times.objective_ends_at,
            attempts: 0,
            errors: 0,
            in_flight: BTreeSet::new(),
            possible_execution: None,
            queue_entry: None,
        }
    }

    pub(crate) fn set_arrival_number(&mut self, arrival_number: u64) {
        self.arrival_number = arrival_number;
    }

    /// Returns the time until which a delivery meets the latency objective.
    pub(crate) fn objective_ends_at(&self) -> Duration {
        self.objective_ends_at
    }

    /// Postpones the end of the latency objective to the given time, unless it is already later.
    pub(crate) fn extend_objective(&mut self, until: Duration) {
        self.objective_ends_at = self.objective_ends_at.max(until);
    }

    /// Returns the number of attempts that were started.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Sets the number of attempts that were started before the program's last restart.
    pub(crate) fn set_previous_attempts(&mut self, attempts: u32) {
        self.attempts = attempts;
    }

    /// Records the start of the next attempt and returns its number.
    pub(crate) fn start_attempt(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight.insert(number);
        number
    }

    /// Records the end of an attempt with any outcome.
    pub(crate) fn end_attempt(&mut self, number: AttemptNumber) {
        self.in_flight.remove(&number);
    }

    /// Returns the numbers of the attempts in flight, in ascending order.
    pub(crate) fn in_flight(&self) -> &BTreeSet<AttemptNumber> {
        &self.in_flight
    }

    /// Returns the number of attempts that were answered with an error.
    pub(crate) fn errors(&self) -> u32 {
        self.errors
    }

    /// Records an attempt that was answered with an error.
    pub(crate) fn record_error(&mut self) {
        self.errors += 1;
    }

    /// Returns the attempts that may have executed the message; `None` if it was certainly not executed.
    pub(crate) fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    pub(crate) fn set_possible_execution(&mut self, attempt: Option<PossibleExecution>) {
        self.possible_execution = attempt;
    }

    /// Returns the entry in the queue; `None` while an attempt is in flight.
    pub(crate) fn queue_entry(&self) -> Option<&QueueEntry> {
        self.queue_entry.as_ref()
    }

    /// Records that the message was inserted into the queue.
    pub(crate) fn set_queue_entry(&mut self, entry: QueueEntry) {
        self.queue_entry = Some(entry);
    }

    /// Removes and returns the queue entry; the caller removes the message from the queue.
    pub(crate) fn take_queue_entry(&mut self) -> Option<QueueEntry> {
        self.queue_entry.take()
    }
}
