//! The indices over all destination queues.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::position::{Due, PriorityClass, QueuedMessage};
use crate::interface::DestinationId;

/// The entries under which one destination queue stands in the indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct IndexEntries {
    /// The earliest deadline of its messages.
    pub deadline: Option<Duration>,
    /// The earliest end of an idempotency key that a message needs.
    pub key_expiry: Option<Duration>,
    /// When the first of the destination's endpoints may be called.
    pub available_at: Duration,
    /// How much is left then before the earliest deadline; nothing if a key expires before.
    pub time_left_when_available: Option<Duration>,
    /// How many messages are queued.
    pub len: usize,
    /// One for each priority class with queued messages, in their order.
    pub objective_ranges: Vec<ObjectiveRange>,
}

/// The first and the last message of one priority class in a destination queue, by latency objective.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ObjectiveRange {
    pub priority: PriorityClass,
    pub first: QueuedMessage,
    pub last: QueuedMessage,
}

/// A destination queue in the order of its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByFirstMessage {
    pub first: QueuedMessage,
    pub destination: DestinationId,
}

/// A destination queue in the order of its length, and where that is equal, of its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByLength {
    pub len: usize,
    pub last: QueuedMessage,
    pub destination: DestinationId,
}

/// A destination queue in the order of what is left before its earliest deadline once an endpoint may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByTimeLeft {
    pub time_left: Duration,
    pub destination: DestinationId,
}

/// Destination queues in the orders that the policy needs.
#[derive(Default)]
pub(super) struct Indices {
    /// By the earliest deadline.
    pub deadlines: BTreeSet<Due<DestinationId>>,
    /// By the earliest end of an idempotency key.
    pub key_expiries: BTreeSet<Due<DestinationId>>,
    /// By what is left before the earliest deadline once an endpoint may be called; nothing is left if an
    /// idempotency key expires before.
    pub times_left_when_available: BTreeSet<ByTimeLeft>,
    /// For each priority class, by the first message. Sets that became empty stay.
    pub earliest: BTreeMap<PriorityClass, BTreeSet<ByFirstMessage>>,
    /// For each priority class, by the length of the whole queue. Sets that became empty stay.
    pub longest: BTreeMap<PriorityClass, BTreeSet<ByLength>>,
}

impl Indices {
    pub(super) fn insert(&mut self, destination: DestinationId, entries: &IndexEntries) {
        self.deadlines.extend(entries.deadline.map(|at| Due::new(at, destination)));
        self.key_expiries.extend(entries.key_expiry.map(|at| Due::new(at, destination)));
        let time_left = entries.time_left_when_available;
        self.times_left_when_available
            .extend(time_left.map(|time_left| ByTimeLeft { time_left, destination }));
        for ObjectiveRange { priority, first, last } in &entries.objective_ranges {
            let by_first_message = ByFirstMessage { first: *first, destination };
            self.earliest.entry(*priority).or_default().insert(by_first_message);
            let by_length = ByLength { len: entries.len, last: *last, destination };
            self.longest.entry(*priority).or_default().insert(by_length);
        }
    }

    pub(super) fn remove(&mut self, destination: DestinationId, entries: &IndexEntries) {
        if let Some(at) = entries.deadline {
            self.deadlines.remove(&Due::new(at, destination));
        }
        if let Some(at) = entries.key_expiry {
            self.key_expiries.remove(&Due::new(at, destination));
        }
        if let Some(time_left) = entries.time_left_when_available {
            self.times_left_when_available.remove(&ByTimeLeft { time_left, destination });
        }
        for ObjectiveRange { priority, first, last } in &entries.objective_ranges {
            if let Some(earliest) = self.earliest.get_mut(priority) {
                earliest.remove(&ByFirstMessage { first: *first, destination });
            }
            if let Some(longest) = self.longest.get_mut(priority) {
                longest.remove(&ByLength { len: entries.len, last: *last, destination });
            }
        }
    }

    /// Priority classes with queued messages, in their order.
    pub(super) fn priority_classes(&self) -> impl Iterator<Item = PriorityClass> + '_ {
        self.earliest.iter().filter(|(_, queues)| !queues.is_empty()).map(|(priority, _)| *priority)
    }
}
