//! Sort keys of queued messages.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::message_key::MessageKey;

/// Properties by which the queue of a destination is grouped; fields are compared in their order. Within a
/// group, messages are ordered by latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    pub priority: PriorityClass,
    /// Number of attempts that were answered with an error.
    pub errors: u32,
    /// Whether an attempt was started before.
    pub previously_attempted: bool,
    /// Whether an earlier attempt may have executed the message.
    pub possibly_executed: bool,
    /// Whether an earlier message with the same ordering key must finish first.
    pub blocked: bool,
}

/// Class of messages that have equal priority when they are equally late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityClass {
    /// Index of the message class in the policy's parameters.
    pub class: usize,
    /// Whether the tenant's quota was used up when the message was submitted.
    pub over_quota: bool,
}

/// Values that determine the place of a message in the queue. The message is removed from the queue with the
/// values that it was inserted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub queue_class: QueueClass,
    /// Time until which a delivery meets the latency objective, since the host's start time.
    pub objective_ends_at: Duration,
    /// Sequence number of the message, in the order of submission.
    pub arrival_number: u64,
    /// Time at which the final answer is due, since the host's start time.
    pub deadline: Duration,
    /// Time until which a retry may begin; `None` if no idempotency key limits the time.
    pub key_valid_until: Option<Duration>,
}

impl QueuePosition {
    /// Returns the sort key among messages with the same [`QueueClass`].
    pub(super) fn objective_order(&self) -> ObjectiveOrder {
        ObjectiveOrder { objective_ends_at: self.objective_ends_at, arrival_number: self.arrival_number }
    }
}

/// Sort key among messages with the same [`QueueClass`]: end of the latency objective, then arrival number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ObjectiveOrder {
    pub objective_ends_at: Duration,
    pub arrival_number: u64,
}

impl ObjectiveOrder {
    /// Returns a key that sorts after all messages whose latency objective ends by the given time, and before
    /// all other messages.
    pub(super) fn end_of(objective_ends_at: Duration) -> ObjectiveOrder {
        ObjectiveOrder { objective_ends_at, arrival_number: u64::MAX }
    }
}

impl Ord for ObjectiveOrder {
    #[inline]
    fn cmp(&self, other: &ObjectiveOrder) -> Ordering {
        (self.objective_ends_at, self.arrival_number).cmp(&(other.objective_ends_at, other.arrival_number))
    }
}

impl PartialOrd for ObjectiveOrder {
    #[inline]
    fn partial_cmp(&self, other: &ObjectiveOrder) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Queued messages of a destination with the same [`QueueClass`].
pub(super) type ClassEntries = BTreeMap<ObjectiveOrder, MessageKey>;

/// Queued message, ordered by latency objective across all classes and destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedMessage {
    /// Time until which a delivery meets the latency objective, since the host's start time.
    pub objective_ends_at: Duration,
    /// Sequence number of the message, in the order of submission.
    pub arrival_number: u64,
    pub key: MessageKey,
}

impl QueuedMessage {
    pub(super) fn new(order: ObjectiveOrder, key: MessageKey) -> QueuedMessage {
        QueuedMessage {
            objective_ends_at: order.objective_ends_at,
            arrival_number: order.arrival_number,
            key,
        }
    }
}

/// Longest destination queue that has messages of a priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LongestQueue {
    /// Number of messages of all classes in the queue.
    pub len: usize,
    /// Message of the priority class whose latency objective ends last.
    pub last: QueuedMessage,
}

/// Entry of an index by time: a time, and the message or destination that it belongs to. Entries are ordered
/// by time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TimeIndexEntry<T> {
    pub at: Duration,
    pub item: T,
}

impl<T> TimeIndexEntry<T> {
    pub(super) fn new(at: Duration, item: T) -> TimeIndexEntry<T> {
        TimeIndexEntry { at, item }
    }
}

impl<T: Ord> Ord for TimeIndexEntry<T> {
    #[inline]
    fn cmp(&self, other: &TimeIndexEntry<T>) -> Ordering {
        (self.at, &self.item).cmp(&(other.at, &other.item))
    }
}

impl<T: Ord> PartialOrd for TimeIndexEntry<T> {
    #[inline]
    fn partial_cmp(&self, other: &TimeIndexEntry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
