//! The life of a message from its acceptance to its final answer: it is queued, indexed while it is queued, and
//! forgotten.

#[cfg(debug_assertions)]
use std::collections::BTreeSet;
use std::time::Duration;

use super::DeliveryPolicy;
#[cfg(debug_assertions)]
use crate::interface::RequestId;
use crate::interface::{MessageId, OrderingKey, PolicyHost};
use crate::message_key::MessageKey;
use crate::queue::{PriorityClass, QueueClass, QueuePosition};
use crate::state::{Message, QueueEntry};

impl DeliveryPolicy {
    /// Accepts a message and queues it. Another one with an id that is in use already is ignored.
    pub(super) fn accept(&mut self, mut message: Message, now: Duration) {
        if self.messages.contains(&message.id) {
            return;
        }
        message.set_arrival_number(self.numbers.next());
        let (destination, ordering_key, arrival_number) =
            (message.destination, message.ordering_key, message.arrival_number);
        let key = self.messages.insert(message);
        if let Some(ordering_key) = ordering_key {
            self.ordering.push(ordering_key, arrival_number, key);
        }
        let span = self.recent_span();
        self.endpoints.traffic_mut(destination).record_arrival(now, span);
        self.enqueue(key);
    }

    /// Queues a message for its destination, behind all that were queued before.
    pub(super) fn enqueue(&mut self, key: MessageKey) {
        let number = self.queue_entries.next();
        self.insert_into_queue(key, number);
    }

    fn insert_into_queue(&mut self, key: MessageKey, number: u64) {
        let Some(message) = self.messages.get(key) else { return };
        let (destination, position) = (message.destination, self.queue_position(message));
        self.queue.insert(destination, key, &position);
        if let Some(message) = self.messages.get_mut(key) {
            message.set_queue_entry(QueueEntry { number, position });
        }
    }

    /// The position in the queue that a message is to have.
    fn queue_position(&self, message: &Message) -> QueuePosition {
        let until = self.key_valid_until(message);
        QueuePosition {
            queue_class: QueueClass {
                priority: PriorityClass { class: message.class, over_quota: message.over_quota },
                errors: message.errors(),
                previously_attempted: message.attempts() > 0,
                possibly_executed: message.possible_execution().is_some(),
                blocked: !self.ordering.is_first(message.ordering_key, message.arrival_number),
            },
            objective_at: message.objective_at(),
            arrival_number: message.arrival_number,
            deadline: message.deadline,
            key_valid_until: Some(until).filter(|until| *until < Duration::MAX),
        }
    }

    /// Takes a message out of the queue; returns the number of its entry, if it had one.
    pub(super) fn dequeue(&mut self, key: MessageKey) -> Option<u64> {
        let message = self.messages.get_mut(key)?;
        let entry = message.take_queue_entry()?;
        self.queue.remove(message.destination, key, &entry.position);
        Some(entry.number)
    }

    /// Renews the position of a message that has changed; one that is not queued stays so.
    pub(super) fn requeue(&mut self, key: MessageKey) {
        if let Some(number) = self.dequeue(key) {
            self.insert_into_queue(key, number);
        }
    }

    /// Renews the indices for destinations whose queues changed, before the indices over all are read.
    pub(super) fn refresh_indices(&mut self) {
        for destination in self.queue.take_stale() {
            let available_at = self.retry_after_ends(destination);
            self.queue.update_indices(destination, available_at);
        }
        #[cfg(debug_assertions)]
        self.check_indices();
    }

    /// Compares all indices with full walks: always where little is queued, otherwise now and then.
    #[cfg(debug_assertions)]
    fn check_indices(&self) {
        const ALWAYS_UP_TO: usize = 64;
        const OTHERWISE_ONE_IN: u64 = 64;
        if self.messages.len() > ALWAYS_UP_TO && !self.queue_entries.last().is_multiple_of(OTHERWISE_ONE_IN) {
            return;
        }
        let queued = self
            .messages
            .iter()
            .filter_map(|(key, message)| Some((message.destination, key, message.queue_entry()?.position)));
        self.queue.assert_consistent(queued);
        for (_, message) in self.messages.iter() {
            if let Some(entry) = message.queue_entry() {
                assert_eq!(entry.position, self.queue_position(message), "position of {:?}", message.id);
                assert!(message.in_flight().is_empty(), "{:?} is queued and in flight", message.id);
            }
        }
        for (scope, circuit) in self.circuits.iter() {
            let attempts = self.in_flight.attempts().map(|(_, attempt)| attempt);
            let requests: BTreeSet<RequestId> =
                attempts.filter(|attempt| attempt.scope == scope).map(|attempt| attempt.request).collect();
            let recorded = circuit.in_flight().iter().map(|request| &request.id);
            assert!(requests.iter().eq(recorded), "requests in flight to {scope:?}");
        }
    }

    /// Forgets a message that has its final answer or was withdrawn, and cancels what is in flight for it.
    pub fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        if let Some(key) = self.messages.key_of(id) {
            self.remove_message(key, host);
        }
    }

    /// Forgets a message that has its final answer, and cancels what is in flight for it.
    pub(super) fn remove_message(&mut self, key: MessageKey, host: &mut dyn PolicyHost) {
        self.dequeue(key);
        let Some(message) = self.messages.remove(key) else { return };
        self.leave_ordering_queue(&message.id, message.ordering_key, message.arrival_number);
        message.in_flight().iter().for_each(|number| host.cancel_attempt(&message.id, *number));
    }

    /// Takes a message out of its key's queue once it is finished and none of its attempts is in flight.
    pub(super) fn leave_ordering_queue(
        &mut self,
        id: &MessageId,
        ordering_key: Option<OrderingKey>,
        arrival_number: u64,
    ) {
        let Some(ordering_key) = ordering_key else { return };
        if self.in_flight.has_attempt_of(id) || self.messages.contains(id) {
            return;
        }
        if let Some(next) = self.ordering.remove(ordering_key, arrival_number) {
            self.requeue(next);
        }
    }
}
