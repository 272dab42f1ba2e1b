//! Queues of ordering keys, which determine the next message of each key, and how long an attempt with an
//! unknown outcome delays the messages that follow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::OrderingKey;
use crate::message_key::MessageKey;

/// Messages of an ordering key, in the order of their arrival.
#[derive(Default)]
struct OrderingQueue {
    by_arrival: BTreeMap<u64, MessageKey>,
    /// End of the delay after an attempt with an unknown outcome. Before this time, only the message with
    /// arrival number `delay_started_by` is sent.
    delayed_until: Duration,
    /// Arrival number of the message whose attempt started the delay.
    delay_started_by: u64,
}

/// Queues of all ordering keys in use.
#[derive(Default)]
pub(crate) struct OrderingQueues {
    queues: BTreeMap<OrderingKey, OrderingQueue>,
    /// Keys whose queues became empty since the last call of [`OrderingQueues::remove_idle`].
    emptied: Vec<OrderingKey>,
    /// Keys with empty queues, by the time from which the queue may be removed: the end of the delay after an
    /// attempt with an unknown outcome.
    remove_at: BTreeSet<(Duration, OrderingKey)>,
}

impl OrderingQueues {
    /// Adds a message to the end of its key's queue.
    pub(crate) fn push(&mut self, key: OrderingKey, arrival_number: u64, message: MessageKey) {
        self.queues.entry(key).or_default().by_arrival.insert(arrival_number, message);
    }

    /// Removes the message with the given arrival number. Returns the message that is then first in the
    /// queue.
    pub(crate) fn remove(&mut self, key: OrderingKey, arrival_number: u64) -> Option<MessageKey> {
        let queue = self.queues.get_mut(&key)?;
        queue.by_arrival.remove(&arrival_number);
        let next = queue.by_arrival.first_key_value().map(|(_, next)| *next);
        if next.is_none() {
            self.emptied.push(key);
        }
        next
    }

    /// Delays the messages that follow the one with the given arrival number until the given time.
    pub(crate) fn delay_following_messages(
        &mut self,
        key: Option<OrderingKey>,
        arrival_number: u64,
        until: Duration,
    ) {
        let Some(queue) = key.and_then(|key| self.queues.get_mut(&key)) else { return };
        if queue.by_arrival.contains_key(&arrival_number) {
            queue.delayed_until = until;
            queue.delay_started_by = arrival_number;
        }
    }

    /// Returns whether no other message of the key precedes the one with the given arrival number.
    pub(crate) fn is_first(&self, key: Option<OrderingKey>, arrival_number: u64) -> bool {
        let queue = key.and_then(|key| self.queues.get(&key));
        let first = queue.and_then(|queue| queue.by_arrival.first_key_value());
        first.is_none_or(|(first, _)| *first == arrival_number)
    }

    /// Returns whether a message is the first of its key and is not delayed by an attempt of another message.
    pub(crate) fn may_send(&self, key: Option<OrderingKey>, arrival_number: u64, now: Duration) -> bool {
        let queue = key.and_then(|key| self.queues.get(&key));
        let may_proceed =
            |queue: &OrderingQueue| now >= queue.delayed_until || queue.delay_started_by == arrival_number;
        self.is_first(key, arrival_number) && queue.is_none_or(may_proceed)
    }

    /// Removes the queues of keys that have no message and whose delay has ended.
    pub(crate) fn remove_idle(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.emptied) {
            if let Some(queue) = self.queues.get(&key) {
                self.remove_at.insert((queue.delayed_until, key));
            }
        }
        while let Some((_, key)) = self.remove_at.first().copied().filter(|(at, _)| *at <= now) {
            self.remove_at.pop_first();
            let idle = |queue: &OrderingQueue| queue.by_arrival.is_empty() && now >= queue.delayed_until;
            if self.queues.get(&key).is_some_and(idle) {
                self.queues.remove(&key);
            }
        }
    }
}
