//! What a message is queued under, and the orders that follow from it.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::message_key::MessageKey;

/// What decides, besides the latency objective, which message of a destination goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    /// Its priority; compared first.
    pub priority: PriorityClass,
    /// Attempts so far that were answered with an error.
    pub errors: u32,
    /// An attempt was started before.
    pub previously_attempted: bool,
    /// An earlier attempt may have been executed.
    pub possibly_executed: bool,
    /// An earlier message with its ordering key has to finish first.
    pub blocked: bool,
}

/// Messages that have the same priority as long as they are equally late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityClass {
    /// Index of the message class in the policy's parameters.
    pub class: usize,
    /// The tenant had used its quota up when the message came.
    pub over_quota: bool,
}

/// What a message is queued under; needed again, unchanged, to remove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    /// The class whose messages it waits among.
    pub queue_class: QueueClass,
    /// Until when it meets its latency objective, since the start.
    pub objective_at: Duration,
    /// Number of the message in the order of submission.
    pub arrival_number: u64,
    /// When its final answer is due, since the start.
    pub deadline: Duration,
    /// Until when a retry may begin, where its idempotency key has a window.
    pub key_valid_until: Option<Duration>,
}

impl QueuePosition {
    /// Its place among the messages of its class.
    pub(super) fn objective_order(&self) -> ObjectiveOrder {
        ObjectiveOrder { objective_at: self.objective_at, arrival_number: self.arrival_number }
    }
}

/// The order within a class: by latency objective, then by arrival.
///
/// It is compared as a tuple, as [`Due`] is: a derived `Ord` took more instructions, and these comparisons are
/// most of what it costs to queue a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ObjectiveOrder {
    pub objective_at: Duration,
    pub arrival_number: u64,
}

impl ObjectiveOrder {
    /// Behind every message whose objective ends at or before this time, and before all others.
    pub(super) fn end_of(objective_at: Duration) -> ObjectiveOrder {
        ObjectiveOrder { objective_at, arrival_number: u64::MAX }
    }
}

impl Ord for ObjectiveOrder {
    #[inline]
    fn cmp(&self, other: &ObjectiveOrder) -> Ordering {
        (self.objective_at, self.arrival_number).cmp(&(other.objective_at, other.arrival_number))
    }
}

impl PartialOrd for ObjectiveOrder {
    #[inline]
    fn partial_cmp(&self, other: &ObjectiveOrder) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The queued messages of one class.
pub(super) type ClassEntries = BTreeMap<ObjectiveOrder, MessageKey>;

/// One queued message in the order of latency objectives, over all classes and destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedMessage {
    /// Until when it meets its latency objective, since the start.
    pub objective_at: Duration,
    /// Number of the message in the order of submission.
    pub arrival_number: u64,
    /// The message.
    pub key: MessageKey,
}

impl QueuedMessage {
    pub(super) fn new(order: ObjectiveOrder, key: MessageKey) -> QueuedMessage {
        QueuedMessage { objective_at: order.objective_at, arrival_number: order.arrival_number, key }
    }
}

/// The longest destination queue that has messages of a priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LongestQueue {
    /// Messages of all classes in it.
    pub len: usize,
    /// The message of the priority class whose latency objective ends last.
    pub last: QueuedMessage,
}

/// Something that is due at a time; ordered by the time, then by what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Due<T> {
    pub at: Duration,
    pub subject: T,
}

impl<T> Due<T> {
    pub(super) fn new(at: Duration, subject: T) -> Due<T> {
        Due { at, subject }
    }
}

impl<T: Ord> Ord for Due<T> {
    #[inline]
    fn cmp(&self, other: &Due<T>) -> Ordering {
        (self.at, &self.subject).cmp(&(other.at, &other.subject))
    }
}

impl<T: Ord> PartialOrd for Due<T> {
    #[inline]
    fn partial_cmp(&self, other: &Due<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
