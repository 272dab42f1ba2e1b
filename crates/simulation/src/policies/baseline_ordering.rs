//! Ordering keys of a baseline: messages of one key are sent one after the other.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use reeddock::OrderingKey;

/// Number of a message in the order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageNumber(pub(super) u64);

/// Hold on an ordering key after an attempt that may still be running.
struct OrderingHold {
    until: Duration,
    /// Message of the attempt, whose retries are exempt from the hold.
    holder: MessageNumber,
}

/// Queue of each ordering key, and holds on keys.
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

    /// Holds a key until a time, for all messages except `holder`.
    pub(super) fn hold(&mut self, key: OrderingKey, until: Duration, holder: MessageNumber) {
        self.holds.insert(key, OrderingHold { until, holder });
    }

    /// Removes holds that have ended.
    pub(super) fn release_expired(&mut self, now: Duration) {
        self.holds.retain(|_, hold| hold.until > now);
    }

    /// Returns whether a message is the first of its key, and the key is not held for another message.
    pub(super) fn allows(&self, key: OrderingKey, message: MessageNumber, now: Duration) -> bool {
        let first = self.queues.get(&key).and_then(|queue| queue.front());
        let hold = self.holds.get(&key);
        first.is_none_or(|first| *first == message)
            && hold.is_none_or(|hold| now >= hold.until || hold.holder == message)
    }

    /// Returns the end times of all holds.
    pub(super) fn hold_ends(&self) -> impl Iterator<Item = Duration> + '_ {
        self.holds.values().map(|hold| hold.until)
    }
}
