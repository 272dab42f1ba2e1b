//! What becomes of a message from submission to its final answer: it is held, indexed while it is held, and forgotten.

#[cfg(debug_assertions)]
use std::collections::BTreeSet;
use std::time::Duration;

#[cfg(debug_assertions)]
use crate::interface::RequestId;
use crate::interface::{MessageId, PolicyHost};
use crate::messages::MessageKey;
use crate::queue::{PriorityClass, QueueClass, QueuePosition};
use crate::state::{DeliveryPolicy, Message};

impl DeliveryPolicy {
    /// Takes a message on and holds it. Another one with an id that is in use already is ignored.
    pub(crate) fn take(&mut self, mut message: Message, now: Duration) {
        if self.messages.contains(&message.id) {
            return;
        }
        self.counter += 1;
        message.arrival = self.counter;
        let (destination, key_id, arrival) = (message.destination, message.key, message.arrival);
        let key = self.messages.insert(message);
        if let Some(key_id) = key_id {
            self.keys.entry(key_id).or_default().line.insert(arrival, key);
        }
        let span = self.parameters.slow_start_duration / 2;
        let traffic = self.destinations.entry(destination).or_default().traffic_mut();
        if traffic.arrivals == 0 {
            traffic.first_seen = now;
        }
        traffic.arrivals += 1;
        traffic.recent_rate = traffic.lately_at(now, span) + 1.0;
        traffic.reckoned = now;
        self.hold(key);
    }

    /// Holds a message for its destination.
    pub(crate) fn hold(&mut self, key: MessageKey) {
        self.enqueued_count += 1;
        self.file(key, self.enqueued_count);
    }

    fn file(&mut self, key: MessageKey, held_as: u64) {
        let Some(message) = self.messages.get(key) else { return };
        let (destination, queue_position) = (message.destination, self.queue_position(message));
        self.queue.file(destination, key, &queue_position);
        if let Some(message) = self.messages.get_mut(key) {
            message.queued = Some((held_as, queue_position));
        }
    }

    /// What a message is to be filed under.
    pub(crate) fn queue_position(&self, message: &Message) -> QueuePosition {
        let until = self.key_valid_until(message);
        QueuePosition {
            queue_class: QueueClass {
                priority: PriorityClass { class: message.class, over_quota: message.over_quota },
                errors: message.errors,
                tried: message.attempts > 0,
                possibly_executed: message.possibly_executed.is_some(),
                blocked: !self.is_first_of_key(message),
            },
            objective_at: message.objective_at,
            arrival: message.arrival,
            deadline: message.deadline,
            key_valid_until: Some(until).filter(|until| *until < Duration::MAX),
        }
    }

    /// The message is not held any more; returns its place in the order of all that were held.
    pub(crate) fn dequeue(&mut self, key: MessageKey) -> Option<u64> {
        let message = self.messages.get_mut(key)?;
        let (held_as, queue_position) = message.queued.take()?;
        self.queue.remove(message.destination, key, &queue_position);
        Some(held_as)
    }

    /// What a message is filed under has changed; one that is not held stays so.
    pub(crate) fn requeue(&mut self, key: MessageKey) {
        if let Some(held_as) = self.dequeue(key) {
            self.file(key, held_as);
        }
    }

    /// Renews the entries of lines that changed, before the indices over all lines are read.
    pub(crate) fn refresh_indices(&mut self) {
        for destination in self.queue.take_stale() {
            let available_at = self.available_at(destination);
            self.queue.index(destination, available_at);
        }
        #[cfg(debug_assertions)]
        self.check_indices();
    }

    /// Compares all indices with full walks: always where little is held, else now and then.
    #[cfg(debug_assertions)]
    fn check_indices(&self) {
        const ALWAYS_UP_TO: usize = 64;
        const ELSE_ONE_IN: u64 = 64;
        if self.messages.len() > ALWAYS_UP_TO && !self.enqueued_count.is_multiple_of(ELSE_ONE_IN) {
            return;
        }
        let queued =
            self.messages.iter().filter_map(|(key, e)| Some((e.destination, key, e.queued.as_ref()?.1)));
        self.queue.check(queued);
        for (_, e) in self.messages.iter() {
            if let Some((_, queue_position)) = e.queued {
                assert_eq!(queue_position, self.queue_position(e), "filing of {:?}", e.id);
                assert!(e.out.is_empty(), "{:?} is held and out", e.id);
            }
        }
        for (scope, circuit) in &self.circuits {
            let open = self.attempts.values().filter(|d| d.scope == *scope).map(|d| d.call);
            let open: BTreeSet<RequestId> = open.collect();
            assert!(open.iter().eq(circuit.out.iter().map(|(call, _)| call)), "calls out to {scope:?}");
        }
    }

    /// Drops a message that has its final answer; returns it with the attempts that are still out for it.
    pub(crate) fn forget(&mut self, key: MessageKey) -> Option<Message> {
        self.dequeue(key);
        let message = self.messages.remove(key)?;
        self.leave_ordering_queue(&message.id, message.key, message.arrival);
        Some(message)
    }

    /// Forgets a message that has its final answer or was withdrawn, and cancels what is out for it.
    pub fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        if let Some(key) = self.messages.key_of(id) {
            self.remove_message(key, host);
        }
    }

    pub(crate) fn remove_message(&mut self, key: MessageKey, host: &mut dyn PolicyHost) {
        if let Some(message) = self.forget(key) {
            message.out.iter().for_each(|no| host.cancel(&message.id, *no));
        }
    }
}
