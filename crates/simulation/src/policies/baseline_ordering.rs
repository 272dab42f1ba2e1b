//! Messages of one ordering key go one after the other, at a baseline.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use reeddock::OrderingKey;

/// Messages are numbered in the order in which they were submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageNumber(pub(super) u64);

/// An ordering key that is held after an attempt that may still be running.
struct OrderingHold {
    until: Duration,
    /// The message of that attempt; its own retries pass.
    holder: MessageNumber,
}

/// The queue of each ordering key, and the keys that are held.
#[derive(Default)]
pub(super) struct OrderingKeys {
    queues: BTreeMap<OrderingKey, VecDeque<MessageNumber>>,
    holds: BTreeMap<OrderingKey, OrderingHold>,
}

impl OrderingKeys {
    /// Adds a message to the end of its key's queue.
    pub(super) fn enqueue(&mut self, key: OrderingKey, message: MessageNumber) {
        self.queues.entry(key).or_default().push_back(message);
    }

    /// Removes a message from its key's queue.
    pub(super) fn remove(&mut self, key: OrderingKey, message: MessageNumber) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.retain(|queued| *queued != message);
        }
    }

    /// Holds a key for all messages but one.
    pub(super) fn hold(&mut self, key: OrderingKey, until: Duration, holder: MessageNumber) {
        self.holds.insert(key, OrderingHold { until, holder });
    }

    /// Drops holds that have ended.
    pub(super) fn release_expired(&mut self, now: Duration) {
        self.holds.retain(|_, hold| hold.until > now);
    }

    /// Whether a message is the first of its key, and the key is not held for another one.
    pub(super) fn lets_pass(&self, key: OrderingKey, message: MessageNumber, now: Duration) -> bool {
        let first = self.queues.get(&key).and_then(|queue| queue.front());
        let hold = self.holds.get(&key);
        first.is_none_or(|first| *first == message)
            && hold.is_none_or(|hold| now >= hold.until || hold.holder == message)
    }

    /// The ends of all holds.
    pub(super) fn hold_ends(&self) -> impl Iterator<Item = Duration> + '_ {
        self.holds.values().map(|hold| hold.until)
    }
}
