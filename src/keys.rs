//! The lines of ordered keys: whose turn it is, and how long a key rests.

use std::time::Duration;

use crate::interface::{AttemptNumber, MessageId, OrderingKey};
use crate::state::{DeliveryPolicy, Message, OrderingQueue};

impl DeliveryPolicy {
    /// Takes a message out of its key's line once it is over and none of its attempts is out.
    pub(crate) fn leave_ordering_queue(&mut self, id: &MessageId, key: Option<OrderingKey>, arrival: u64) {
        let Some(key) = key else { return };
        let mut attempts = self.attempts.range((id.clone(), AttemptNumber(0))..);
        if attempts.next().is_some_and(|((i, _), _)| i == id) || self.messages.contains(id) {
            return;
        }
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.line.remove(&arrival);
        match line.line.first_key_value() {
            // The next one may be the first now.
            Some((_, next)) => {
                let next = *next;
                self.requeue(next);
            }
            None => self.emptied_keys.push(key),
        }
    }

    /// Forgets keys that no message has, once nothing rests any more.
    pub(crate) fn remove_idle_keys(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.emptied_keys) {
            if let Some(line) = self.keys.get(&key) {
                self.keys_due.insert((line.rest_until, key));
            }
        }
        while let Some((_, key)) = self.keys_due.first().copied().filter(|(until, _)| *until <= now) {
            self.keys_due.pop_first();
            if self.keys.get(&key).is_some_and(|l| l.line.is_empty() && now >= l.rest_until) {
                self.keys.remove(&key);
            }
        }
    }

    /// Lets the key of a message rest for those behind it.
    pub(crate) fn hold_off_key(&mut self, key: Option<OrderingKey>, arrival: u64, until: Duration) {
        if let Some(line) = key.and_then(|k| self.keys.get_mut(&k)) {
            if line.line.contains_key(&arrival) {
                (line.rest_until, line.rest_owner) = (until, arrival);
            }
        }
    }

    /// Whether no other message with its key comes first.
    pub(crate) fn is_first_of_key(&self, message: &Message) -> bool {
        let line = message.key.and_then(|k| self.keys.get(&k));
        let first = line.and_then(|l| l.line.first_key_value());
        first.is_none_or(|(arrival, _)| *arrival == message.arrival)
    }

    /// Whether a message is the first of its key, and that does not rest.
    pub(crate) fn ordering_key_free(&self, message: &Message, now: Duration) -> bool {
        let rested = |l: &OrderingQueue| now >= l.rest_until || l.rest_owner == message.arrival;
        let line = message.key.and_then(|k| self.keys.get(&k));
        self.is_first_of_key(message) && line.is_none_or(rested)
    }
}
