//! All destination queues with the indices over them, as the policy uses them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::destination_queue::DestinationQueue;
use super::indices::Indices;
use super::position::{LongestQueue, PriorityClass, QueuePosition, QueuedMessage};
use super::segment::QueueSegment;
use super::wake_schedule::WakeSchedule;
use crate::interface::DestinationId;
use crate::message_key::MessageKey;

/// All queued messages.
#[derive(Default)]
pub(crate) struct MessageQueue {
    /// Only destinations with queued messages have one.
    pub(super) destinations: BTreeMap<DestinationId, DestinationQueue>,
    pub(super) schedule: WakeSchedule,
    /// Destinations whose entries in the indices have to be renewed.
    pub(super) stale: BTreeSet<DestinationId>,
    pub(super) indices: Indices,
}

impl MessageQueue {
    /// Queues a message. A destination without queued messages is awake from then on.
    pub fn insert(&mut self, destination: DestinationId, key: MessageKey, position: &QueuePosition) {
        let queue = self.destinations.entry(destination).or_insert_with(|| {
            self.schedule.awake.insert(destination);
            DestinationQueue::default()
        });
        queue.insert(key, position);
        self.stale.insert(destination);
    }

    /// Removes a message, which was queued at this position.
    pub fn remove(&mut self, destination: DestinationId, key: MessageKey, position: &QueuePosition) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        queue.remove(key, position);
        if queue.len > 0 {
            self.stale.insert(destination);
        } else {
            self.remove_destination(destination);
        }
    }

    fn remove_destination(&mut self, destination: DestinationId) {
        self.stale.remove(&destination);
        if let Some(queue) = self.destinations.remove(&destination) {
            self.schedule.remove(destination, queue.wakefulness);
            self.indices.remove(destination, &queue.indexed);
        }
    }

    /// The queue of a destination; none while nothing is queued for it.
    pub fn destination_queue(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.destinations.get(&destination)
    }

    /// What is queued for a destination, in segments, without messages that their ordering key blocks.
    pub fn segments(
        &self,
        destination: DestinationId,
        now: Duration,
    ) -> impl Iterator<Item = QueueSegment<'_>> {
        self.destinations.get(&destination).into_iter().flat_map(move |queue| queue.segments(now))
    }

    /// Records an event that may change what holds a destination's messages back: wakes it, and has its entries
    /// in the indices renewed.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        self.stale.insert(destination);
        self.schedule.wake(destination, &mut queue.wakefulness);
    }

    /// Destinations with queued messages that are to be checked.
    pub fn awake_destinations(&self) -> &BTreeSet<DestinationId> {
        &self.schedule.awake
    }

    /// The destination need not be checked before this time, or, without one, before [`MessageQueue::mark_changed`].
    pub fn sleep(&mut self, destination: DestinationId, until: Option<Duration>) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        queue.wakefulness = self.schedule.sleep(destination, until);
    }

    /// Wakes all destinations whose time has come.
    pub fn wake_due(&mut self, now: Duration) {
        while let Some(destination) = self.schedule.first_due(now) {
            let Some(queue) = self.destinations.get_mut(&destination) else { return };
            self.schedule.wake(destination, &mut queue.wakefulness);
        }
    }

    /// When the next destination wakes by time alone.
    pub fn next_wake(&self) -> Option<Duration> {
        self.schedule.wake_times.first().map(|due| due.at)
    }

    /// Destinations whose entries have to be renewed by [`MessageQueue::update_indices`] before the indices are read.
    #[must_use]
    pub fn take_stale(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.stale)
    }

    /// Renews the entries of a destination; `available_at` is when the first of its endpoints may be called.
    pub fn update_indices(&mut self, destination: DestinationId, available_at: Duration) {
        let Some(queue) = self.destinations.get_mut(&destination) else { return };
        let entries = queue.index_entries(available_at);
        if entries == queue.indexed {
            return;
        }
        self.indices.remove(destination, &queue.indexed);
        self.indices.insert(destination, &entries);
        queue.indexed = entries;
    }

    /// Messages that expire by now, where an answer takes so long: their deadline or the validity of their
    /// idempotency key ends before an answer could come, or will before any of their endpoints may be called.
    pub fn expiring_messages(&self, now: Duration, answer: Duration) -> BTreeSet<MessageKey> {
        let mut expiring = BTreeSet::new();
        let last_deadline = now.saturating_add(answer);
        for due in self.indices.deadlines.iter().take_while(|due| due.at <= last_deadline) {
            expiring.extend(self.destinations[&due.subject].deadlines_up_to(last_deadline));
        }
        for due in self.indices.key_expiries.iter().take_while(|due| due.at <= now) {
            expiring.extend(self.destinations[&due.subject].key_expiries_up_to(now));
        }
        for entry in
            self.indices.times_left_when_available.iter().take_while(|entry| entry.time_left <= answer)
        {
            let queue = &self.destinations[&entry.destination];
            let available_at = queue.indexed.available_at;
            expiring.extend(queue.deadlines_up_to(available_at.saturating_add(answer)));
            expiring.extend(queue.key_expiries_up_to(available_at));
        }
        expiring
    }

    /// When the next message expires, where an answer takes so long.
    pub fn next_expiry(&self, answer: Duration) -> Option<Duration> {
        let deadline = self.indices.deadlines.first().map(|due| due.at.saturating_sub(answer));
        let key_expiry = self.indices.key_expiries.first().map(|due| due.at);
        deadline.into_iter().chain(key_expiry).min()
    }

    /// Priority classes with queued messages, in their order.
    pub fn priority_classes(&self) -> impl Iterator<Item = PriorityClass> + '_ {
        self.indices.priority_classes()
    }

    /// The message of a priority class whose latency objective ends first.
    pub fn earliest_message(&self, priority: PriorityClass) -> Option<QueuedMessage> {
        Some(self.indices.earliest.get(&priority)?.first()?.first)
    }

    /// The length of the longest destination queue that has messages of a priority class, and that one of them
    /// whose latency objective ends last.
    pub fn longest_queue(&self, priority: PriorityClass) -> Option<LongestQueue> {
        let longest = self.indices.longest.get(&priority)?.last()?;
        Some(LongestQueue { len: longest.len, last: longest.last })
    }
}
