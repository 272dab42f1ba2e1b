//! Accepts, queues and removes messages, and updates the indices of the queue.

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
    /// Accepts a message and queues it. A message whose id is already in use is ignored.
    pub(super) fn accept(&mut self, mut message: Message, now: Duration) {
        if self.messages.contains(&message.id) {
            return;
        }
        message.set_arrival_number(self.sequence_numbers.next());
        let (destination, ordering_key, arrival_number) =
            (message.destination, message.ordering_key, message.arrival_number);
        let key = self.messages.insert(message);
        if let Some(ordering_key) = ordering_key {
            self.ordering_queues.push(ordering_key, arrival_number, key);
        }
        let span = self.recent_traffic_span();
        self.endpoints.traffic_mut(destination).record_arrival(now, span);
        self.enqueue(key);
    }

    /// Queues a message for its destination, with the next queue entry number.
    pub(super) fn enqueue(&mut self, key: MessageKey) {
        let number = self.queue_entry_numbers.next();
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

    /// Returns the queue position for the current state of a message.
    fn queue_position(&self, message: &Message) -> QueuePosition {
        let until = self.key_valid_until(message);
        QueuePosition {
            queue_class: QueueClass {
                priority: PriorityClass { class: message.class, over_quota: message.over_quota },
                errors: message.errors(),
                previously_attempted: message.attempts() > 0,
                possibly_executed: message.possible_execution().is_some(),
                blocked: !self.ordering_queues.is_first(message.ordering_key, message.arrival_number),
            },
            objective_ends_at: message.objective_ends_at(),
            arrival_number: message.arrival_number,
            deadline: message.deadline,
            key_valid_until: Some(until).filter(|until| *until < Duration::MAX),
        }
    }

    /// Removes a message from the queue and returns the number of its entry; `None` if it was not queued.
    pub(super) fn dequeue(&mut self, key: MessageKey) -> Option<u64> {
        let message = self.messages.get_mut(key)?;
        let entry = message.take_queue_entry()?;
        self.queue.remove(message.destination, key, &entry.position);
        Some(entry.number)
    }

    /// Updates the queue position of a message that has changed. A message that is not queued is ignored.
    pub(super) fn requeue(&mut self, key: MessageKey) {
        if let Some(number) = self.dequeue(key) {
            self.insert_into_queue(key, number);
        }
    }

    /// Updates the indices of destinations whose queues changed. The indices over all destinations are read
    /// only after this update.
    pub(super) fn refresh_indices(&mut self) {
        for destination in self.queue.take_stale_destinations() {
            let available_at = self.earliest_retry_after_end(destination);
            self.queue.update_indices(destination, available_at);
        }
        #[cfg(debug_assertions)]
        self.check_indices();
    }

    /// Compares all indices with full scans. With many pending messages, only some of the calls compare.
    #[cfg(debug_assertions)]
    fn check_indices(&self) {
        const MAX_MESSAGES_ALWAYS_CHECKED: usize = 64;
        const CHECK_ONE_IN: u64 = 64;
        if self.messages.len() > MAX_MESSAGES_ALWAYS_CHECKED
            && !self.queue_entry_numbers.last().is_multiple_of(CHECK_ONE_IN)
        {
            return;
        }
        let queued = self
            .messages
            .iter()
            .filter_map(|(key, message)| Some((message.destination, key, message.queue_entry()?.position)));
        self.queue.assert_consistent(queued);
        for (_, message) in self.messages.iter() {
            if let Some(entry) = message.queue_entry() {
                assert_eq!(
                    entry.position,
                    self.queue_position(message),
                    "queue position of {:?} is out of date",
                    message.id
                );
                assert!(message.in_flight().is_empty(), "{:?} is queued and in flight", message.id);
            }
        }
        for (scope, circuit) in self.circuits.iter() {
            let attempts = self.in_flight.attempts().map(|(_, attempt)| attempt);
            let requests: BTreeSet<RequestId> =
                attempts.filter(|attempt| attempt.scope == scope).map(|attempt| attempt.request).collect();
            let recorded = circuit.in_flight().iter().map(|request| &request.id);
            assert!(
                requests.iter().eq(recorded),
                "requests in flight to {scope:?} differ from those of its circuit breaker"
            );
        }
    }

    /// Removes a message that has its final answer or was withdrawn, and cancels its attempts in flight.
    pub fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        if let Some(key) = self.messages.key_of(id) {
            self.remove_message(key, host);
        }
    }

    /// Removes a message that has its final answer, and cancels its attempts in flight.
    pub(super) fn remove_message(&mut self, key: MessageKey, host: &mut dyn PolicyHost) {
        self.dequeue(key);
        let Some(message) = self.messages.remove(key) else { return };
        self.remove_from_ordering_queue(&message.id, message.ordering_key, message.arrival_number);
        message.in_flight().iter().for_each(|number| host.cancel_attempt(&message.id, *number));
    }

    /// Removes a message from the queue of its ordering key once the message is finished and none of its
    /// attempts is in flight.
    pub(super) fn remove_from_ordering_queue(
        &mut self,
        id: &MessageId,
        ordering_key: Option<OrderingKey>,
        arrival_number: u64,
    ) {
        let Some(ordering_key) = ordering_key else { return };
        if self.in_flight.has_attempt_of(id) || self.messages.contains(id) {
            return;
        }
        if let Some(next) = self.ordering_queues.remove(ordering_key, arrival_number) {
            self.requeue(next);
        }
    }
}
