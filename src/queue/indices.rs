//! Indices over all destination queues.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::position::{PriorityClass, QueuedMessage, TimeIndexEntry};
use crate::interface::DestinationId;

/// Entries of a destination queue in the indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct IndexEntries {
    /// Earliest deadline of the messages; `None` if the queue is empty.
    pub deadline: Option<Duration>,
    /// Earliest expiry of an idempotency key that a message needs; `None` if no message needs one.
    pub key_expiry: Option<Duration>,
    /// Time at which the first endpoint of the destination may receive a request.
    pub available_at: Duration,
    /// Time from `available_at` to the earliest deadline; zero if an idempotency key expires at or before
    /// `available_at`, and `None` if the queue is empty.
    pub time_left_when_available: Option<Duration>,
    /// Number of queued messages.
    pub len: usize,
    /// Messages with the first and the last latency objective of each priority class with queued messages, in
    /// ascending order of the classes.
    pub objective_ranges: Vec<ObjectiveRange>,
}

/// Messages of a priority class in a destination queue whose latency objectives end first and last.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ObjectiveRange {
    pub priority: PriorityClass,
    pub first: QueuedMessage,
    pub last: QueuedMessage,
}

/// Index entry of a destination queue, ordered by the end of the earliest latency objective in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByFirstMessage {
    pub first: QueuedMessage,
    pub destination: DestinationId,
}

/// Index entry of a destination queue, ordered by its number of messages, and then by the end of the latest
/// latency objective in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByLength {
    pub len: usize,
    pub last: QueuedMessage,
    pub destination: DestinationId,
}

/// Index entry of a destination queue, ordered by the time from the availability of the first endpoint to the
/// earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ByTimeLeft {
    pub time_left: Duration,
    pub destination: DestinationId,
}

/// Index entries of all destination queues, sorted in each order that the policy uses.
#[derive(Default)]
pub(super) struct Indices {
    /// Destinations by earliest deadline.
    pub deadlines: BTreeSet<TimeIndexEntry<DestinationId>>,
    /// Destinations by earliest expiry of an idempotency key.
    pub key_expiries: BTreeSet<TimeIndexEntry<DestinationId>>,
    /// Destinations by the time that is left until the earliest deadline once an endpoint may receive a
    /// request.
    pub by_time_left: BTreeSet<ByTimeLeft>,
    /// Destinations by the earliest latency objective, for each priority class. Empty sets are kept.
    pub by_first_message: BTreeMap<PriorityClass, BTreeSet<ByFirstMessage>>,
    /// Destinations by number of queued messages of all classes, for each priority class. Empty sets are
    /// kept.
    pub by_length: BTreeMap<PriorityClass, BTreeSet<ByLength>>,
}

impl Indices {
    pub(super) fn insert(&mut self, destination: DestinationId, entries: &IndexEntries) {
        self.deadlines.extend(entries.deadline.map(|at| TimeIndexEntry::new(at, destination)));
        self.key_expiries.extend(entries.key_expiry.map(|at| TimeIndexEntry::new(at, destination)));
        let time_left = entries.time_left_when_available;
        self.by_time_left.extend(time_left.map(|time_left| ByTimeLeft { time_left, destination }));
        for ObjectiveRange { priority, first, last } in &entries.objective_ranges {
            let by_first_message = ByFirstMessage { first: *first, destination };
            self.by_first_message.entry(*priority).or_default().insert(by_first_message);
            let by_length = ByLength { len: entries.len, last: *last, destination };
            self.by_length.entry(*priority).or_default().insert(by_length);
        }
    }

    pub(super) fn remove(&mut self, destination: DestinationId, entries: &IndexEntries) {
        if let Some(at) = entries.deadline {
            self.deadlines.remove(&TimeIndexEntry::new(at, destination));
        }
        if let Some(at) = entries.key_expiry {
            self.key_expiries.remove(&TimeIndexEntry::new(at, destination));
        }
        if let Some(time_left) = entries.time_left_when_available {
            self.by_time_left.remove(&ByTimeLeft { time_left, destination });
        }
        for ObjectiveRange { priority, first, last } in &entries.objective_ranges {
            if let Some(earliest) = self.by_first_message.get_mut(priority) {
                earliest.remove(&ByFirstMessage { first: *first, destination });
            }
            if let Some(longest) = self.by_length.get_mut(priority) {
                longest.remove(&ByLength { len: entries.len, last: *last, destination });
            }
        }
    }

    /// Returns the priority classes with queued messages in ascending order.
    pub(super) fn priority_classes(&self) -> impl Iterator<Item = PriorityClass> + '_ {
        self.by_first_message.iter().filter(|(_, queues)| !queues.is_empty()).map(|(priority, _)| *priority)
    }
}
