//! Queued messages of all destinations, with the indices over the destination queues.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::destination_queue::DestinationQueue;
use super::indices::Indices;
use super::position::{LongestQueue, PriorityClass, QueuePosition, QueuedMessage};
use super::segment::QueueSegment;
use super::wake_schedule::WakeSchedule;
use crate::interface::DestinationId;
use crate::message_key::MessageKey;

/// Queued messages of all destinations.
#[derive(Default)]
pub(crate) struct MessageQueue {
    /// Queues of the destinations with queued messages.
    pub(super) destinations: BTreeMap<DestinationId, DestinationQueue>,
    pub(super) schedule: WakeSchedule,
    /// Destinations whose entries in the indices are out of date.
    pub(super) stale_destinations: BTreeSet<DestinationId>,
    pub(super) indices: Indices,
}

impl MessageQueue {
    /// Queues a message. A destination that had no queued messages becomes awake.
    pub fn insert(&mut self, destination: DestinationId, key: MessageKey, position: &QueuePosition) {
        let queue = self.destinations.entry(destination).or_insert_with(|| {
            self.schedule.awake.insert(destination);
            DestinationQueue::default()
        });
        queue.insert(key, position);
        self.stale_destinations.insert(destination);
    }

    /// Removes a message that was queued at the given position.
    pub fn remove(&mut self, destination: DestinationId, key: MessageKey, position: &QueuePosition) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        queue.remove(key, position);
        if queue.len > 0 {
            self.stale_destinations.insert(destination);
        } else {
            self.remove_destination(destination);
        }
    }

    fn remove_destination(&mut self, destination: DestinationId) {
        self.stale_destinations.remove(&destination);
        if let Some(queue) = self.destinations.remove(&destination) {
            self.schedule.remove(destination, queue.wake_state);
            self.indices.remove(destination, &queue.indexed_entries);
        }
    }

    /// Returns the queue of a destination; `None` if the destination has no queued messages.
    pub fn destination_queue(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.destinations.get(&destination)
    }

    /// Returns the queued messages of a destination in segments, without those that wait for an
    /// earlier message with the same ordering key.
    pub fn segments(
        &self,
        destination: DestinationId,
        now: Duration,
    ) -> impl Iterator<Item = QueueSegment<'_>> {
        self.destinations.get(&destination).into_iter().flat_map(move |queue| queue.segments(now))
    }

    /// Wakes a destination and marks its index entries as out of date, after an event that may allow its
    /// messages to be sent.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        self.stale_destinations.insert(destination);
        self.schedule.wake(destination, &mut queue.wake_state);
    }

    /// Returns the destinations with queued messages that are checked in each run of due work.
    pub fn awake_destinations(&self) -> &BTreeSet<DestinationId> {
        &self.schedule.awake
    }

    /// Excludes a destination from checks until the given time or an event that affects the destination
    /// ([`MessageQueue::mark_changed`]). With `None`, only an event ends the exclusion.
    pub fn sleep(&mut self, destination: DestinationId, until: Option<Duration>) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        queue.wake_state = self.schedule.sleep(destination, until);
    }

    /// Wakes all destinations whose wake time has passed.
    pub fn wake_due_destinations(&mut self, now: Duration) {
        while let Some(destination) = self.schedule.first_due_destination(now) {
            let Some(queue) = self.destinations.get_mut(&destination) else { return };
            self.schedule.wake(destination, &mut queue.wake_state);
        }
    }

    /// Returns the earliest wake time of all sleeping destinations; `None` if there is none.
    pub fn next_wake(&self) -> Option<Duration> {
        self.schedule.wake_times.first().map(|entry| entry.at)
    }

    /// Removes and returns the destinations whose index entries are out of date. The caller passes each of
    /// them to [`MessageQueue::update_indices`] before the indices are read.
    #[must_use]
    pub fn take_stale_destinations(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.stale_destinations)
    }

    /// Updates the index entries of a destination. `available_at` is the time at which its first endpoint may
    /// receive a request.
    pub fn update_indices(&mut self, destination: DestinationId, available_at: Duration) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        let entries = queue.index_entries(available_at);
        if entries == queue.indexed_entries {
            return;
        }
        self.indices.remove(destination, &queue.indexed_entries);
        self.indices.insert(destination, &entries);
        queue.indexed_entries = entries;
    }

    /// Returns the messages that can no longer be delivered: no response can arrive before the deadline,
    /// given the expected response time, or the idempotency key expires before an endpoint may receive a
    /// request.
    pub fn expiring_messages(&self, now: Duration, response_time: Duration) -> BTreeSet<MessageKey> {
        let mut expiring = BTreeSet::new();
        let last_deadline = now.saturating_add(response_time);
        for entry in self.indices.deadlines.iter().take_while(|entry| entry.at <= last_deadline) {
            expiring.extend(self.destinations[&entry.item].messages_with_deadline_up_to(last_deadline));
        }
        for entry in self.indices.key_expiries.iter().take_while(|entry| entry.at <= now) {
            expiring.extend(self.destinations[&entry.item].messages_with_key_expiry_up_to(now));
        }
        for entry in self.indices.by_time_left.iter().take_while(|entry| entry.time_left <= response_time) {
            let queue = &self.destinations[&entry.destination];
            let available_at = queue.indexed_entries.available_at;
            expiring.extend(queue.messages_with_deadline_up_to(available_at.saturating_add(response_time)));
            expiring.extend(queue.messages_with_key_expiry_up_to(available_at));
        }
        expiring
    }

    /// Returns the time at which the next message expires, given the expected response time; `None` if no
    /// message is queued.
    pub fn next_expiry(&self, response_time: Duration) -> Option<Duration> {
        let deadline = self.indices.deadlines.first().map(|entry| entry.at.saturating_sub(response_time));
        let key_expiry = self.indices.key_expiries.first().map(|entry| entry.at);
        deadline.into_iter().chain(key_expiry).min()
    }

    /// Returns the priority classes with queued messages in ascending order.
    pub fn priority_classes(&self) -> impl Iterator<Item = PriorityClass> + '_ {
        self.indices.priority_classes()
    }

    /// Returns the message of a priority class whose latency objective ends first.
    pub fn earliest_message(&self, priority: PriorityClass) -> Option<QueuedMessage> {
        Some(self.indices.by_first_message.get(&priority)?.first()?.first)
    }

    /// Returns the longest destination queue that has messages of a priority class.
    pub fn longest_queue(&self, priority: PriorityClass) -> Option<LongestQueue> {
        let longest = self.indices.by_length.get(&priority)?.last()?;
        Some(LongestQueue { len: longest.len, last: longest.last })
    }
}
