//! Checks that messages with the same ordering key are delivered one after the other.

use std::time::Duration;

use super::checker::{InvariantChecker, OrderingQueueId};
use super::history::MessageHistory;
use crate::ids::{ForwarderIndex, MessageIndex};

impl InvariantChecker {
    /// Returns why the order of a key forbids an attempt for a message, or `None` if the attempt is allowed.
    /// Removes messages that block no others from the queue.
    pub(super) fn find_order_blocker(
        &mut self,
        now: Duration,
        forwarder: ForwarderIndex,
        key: u64,
        message: MessageIndex,
    ) -> Option<String> {
        let (histories, hold_off) = (&self.histories, self.fleet.ordering_hold_off);
        let history = |message: &MessageIndex| -> &MessageHistory { &histories[message.0] };
        let key_held_until = |message: &MessageIndex| history(message).key_held_until(hold_off);
        let queue = self.ordering_queues.get_mut(&OrderingQueueId { forwarder, key })?;
        queue.retain(|other| {
            *other == message || !history(other).is_finished() || now < key_held_until(other)
        });
        let mut earlier = queue.iter().take_while(|other| **other != message);
        if let Some(open) = earlier.find(|other| !history(other).is_finished()) {
            return Some(format!("envelope {} of key {key} was taken before and is not over", open.0));
        }
        let mut others = queue.iter().filter(|other| **other != message);
        let holding = others.find(|other| now < key_held_until(other))?;
        let until = key_held_until(holding).as_secs_f64();
        Some(format!("key {key} rests until {until:.6} after an unsure end of envelope {}", holding.0))
    }
}
