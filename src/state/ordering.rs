//! The queues of ordering keys: which message of a key comes first, and how long a key is held off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::OrderingKey;
use crate::message_key::MessageKey;

/// The messages of one ordering key, in the order of their arrival.
#[derive(Default)]
struct OrderingQueue {
    by_arrival: BTreeMap<u64, MessageKey>,
    /// No message but that of `held_off_by` is sent before this time.
    held_off_until: Duration,
    /// The arrival number of the message whose attempt holds the others off.
    held_off_by: u64,
}

/// The queues of all ordering keys in use.
#[derive(Default)]
pub(crate) struct OrderingQueues {
    queues: BTreeMap<OrderingKey, OrderingQueue>,
    /// Keys that lost their last message since idle ones were last removed.
    emptied: Vec<OrderingKey>,
    /// Empty keys by the end of their hold-off.
    remove_at: BTreeSet<(Duration, OrderingKey)>,
}

impl OrderingQueues {
    /// Adds a message to the end of its key's queue.
    pub(crate) fn push(&mut self, key: OrderingKey, arrival_number: u64, message: MessageKey) {
        self.queues.entry(key).or_default().by_arrival.insert(arrival_number, message);
    }

    /// Takes out the message with this arrival number. Returns the one that comes first now.
    pub(crate) fn remove(&mut self, key: OrderingKey, arrival_number: u64) -> Option<MessageKey> {
        let queue = self.queues.get_mut(&key)?;
        queue.by_arrival.remove(&arrival_number);
        let next = queue.by_arrival.first_key_value().map(|(_, next)| *next);
        if next.is_none() {
            self.emptied.push(key);
        }
        next
    }

    /// Holds the messages behind this one off until the given time.
    pub(crate) fn hold_off(&mut self, key: Option<OrderingKey>, arrival_number: u64, until: Duration) {
        let Some(queue) = key.and_then(|key| self.queues.get_mut(&key)) else { return };
        if queue.by_arrival.contains_key(&arrival_number) {
            queue.held_off_until = until;
            queue.held_off_by = arrival_number;
        }
    }

    /// Whether no other message of its key comes before the one with this arrival number.
    pub(crate) fn is_first(&self, key: Option<OrderingKey>, arrival_number: u64) -> bool {
        let queue = key.and_then(|key| self.queues.get(&key));
        let first = queue.and_then(|queue| queue.by_arrival.first_key_value());
        first.is_none_or(|(first, _)| *first == arrival_number)
    }

    /// Whether a message is the first of its key and not held off.
    pub(crate) fn may_send(&self, key: Option<OrderingKey>, arrival_number: u64, now: Duration) -> bool {
        let queue = key.and_then(|key| self.queues.get(&key));
        let open = |queue: &OrderingQueue| now >= queue.held_off_until || queue.held_off_by == arrival_number;
        self.is_first(key, arrival_number) && queue.is_none_or(open)
    }

    /// Removes the queues of keys that have no message and are not held off.
    pub(crate) fn remove_idle(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.emptied) {
            if let Some(queue) = self.queues.get(&key) {
                self.remove_at.insert((queue.held_off_until, key));
            }
        }
        while let Some((_, key)) = self.remove_at.first().copied().filter(|(at, _)| *at <= now) {
            self.remove_at.pop_first();
            let idle = |queue: &OrderingQueue| queue.by_arrival.is_empty() && now >= queue.held_off_until;
            if self.queues.get(&key).is_some_and(idle) {
                self.queues.remove(&key);
            }
        }
    }
}
