//! Queue of one destination.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::indices::{IndexEntries, ObjectiveRange};
use super::position::{
    ClassEntries, ObjectiveOrder, PriorityClass, QueueClass, QueuePosition, QueuedMessage, TimeIndexEntry,
};
use super::segment::QueueSegment;
use super::wake_schedule::WakeState;
use crate::message_key::MessageKey;

/// Queued messages of one destination.
#[derive(Default)]
pub(crate) struct DestinationQueue {
    pub(super) classes: BTreeMap<QueueClass, ClassEntries>,
    /// All messages by deadline.
    pub(super) deadlines: BTreeSet<TimeIndexEntry<MessageKey>>,
    /// Messages that may only be retried while their idempotency key is valid, by expiry of the key.
    pub(super) key_expiries: BTreeSet<TimeIndexEntry<MessageKey>>,
    pub(super) len: usize,
    pub(super) wake_state: WakeState,
    /// Entries of this queue in the indices, as of the last update.
    pub(super) indexed_entries: IndexEntries,
}

impl DestinationQueue {
    /// Returns, for each queue class, the end of the first latency objective that ends after `now`. Classes
    /// without one are left out.
    pub fn next_objectives(&self, now: Duration) -> impl Iterator<Item = (&QueueClass, Duration)> {
        self.classes.iter().filter_map(move |(queue_class, entries)| {
            let after_now = ObjectiveOrder::end_of(now);
            let mut upcoming = entries.range(after_now..).map(|(order, _)| order.objective_ends_at);
            Some((queue_class, upcoming.find(|objective_ends_at| *objective_ends_at > now)?))
        })
    }

    pub(super) fn insert(&mut self, key: MessageKey, position: &QueuePosition) {
        let entries = self.classes.entry(position.queue_class).or_default();
        entries.insert(position.objective_order(), key);
        self.deadlines.insert(TimeIndexEntry::new(position.deadline, key));
        if let Some(until) = position.key_valid_until {
            self.key_expiries.insert(TimeIndexEntry::new(until, key));
        }
        self.len += 1;
    }

    pub(super) fn remove(&mut self, key: MessageKey, position: &QueuePosition) {
        if let Some(entries) = self.classes.get_mut(&position.queue_class) {
            entries.remove(&position.objective_order());
            if entries.is_empty() {
                self.classes.remove(&position.queue_class);
            }
        }
        self.deadlines.remove(&TimeIndexEntry::new(position.deadline, key));
        if let Some(until) = position.key_valid_until {
            self.key_expiries.remove(&TimeIndexEntry::new(until, key));
        }
        self.len -= 1;
    }

    /// Returns the messages in segments, without those that wait for an earlier message with the same
    /// ordering key.
    pub(super) fn segments(&self, now: Duration) -> impl Iterator<Item = QueueSegment<'_>> {
        let unblocked = self.classes.iter().filter(|(queue_class, _)| !queue_class.blocked);
        unblocked.flat_map(move |(queue_class, entries)| {
            QueueSegment::late_and_in_time(*queue_class, entries, now)
        })
    }

    /// Returns the messages whose deadline is at or before `last`.
    pub(super) fn messages_with_deadline_up_to(
        &self,
        last: Duration,
    ) -> impl Iterator<Item = MessageKey> + '_ {
        items_up_to(&self.deadlines, last)
    }

    /// Returns the messages whose idempotency key expires at or before `last`.
    pub(super) fn messages_with_key_expiry_up_to(
        &self,
        last: Duration,
    ) -> impl Iterator<Item = MessageKey> + '_ {
        items_up_to(&self.key_expiries, last)
    }

    /// Returns the current entries of this queue for the indices. `available_at` is the time at which the
    /// first endpoint of the destination may receive a request.
    pub(super) fn index_entries(&self, available_at: Duration) -> IndexEntries {
        let deadline = self.deadlines.first().map(|entry| entry.at);
        let key_expiry = self.key_expiries.first().map(|entry| entry.at);
        let time_left_when_available = match key_expiry {
            Some(until) if until <= available_at => Some(Duration::ZERO),
            _ => deadline.map(|at| at.saturating_sub(available_at)),
        };
        IndexEntries {
            deadline,
            key_expiry,
            available_at,
            time_left_when_available,
            len: self.len,
            objective_ranges: self.objective_ranges(),
        }
    }

    /// Returns the messages with the first and the last latency objective of each priority class.
    fn objective_ranges(&self) -> Vec<ObjectiveRange> {
        let mut ranges: BTreeMap<PriorityClass, ObjectiveRange> = BTreeMap::new();
        for (queue_class, entries) in &self.classes {
            let (Some(first), Some(last)) = (entries.first_key_value(), entries.last_key_value()) else {
                continue;
            };
            let first = QueuedMessage::new(*first.0, *first.1);
            let last = QueuedMessage::new(*last.0, *last.1);
            let priority = queue_class.priority;
            let range = ranges.entry(priority).or_insert(ObjectiveRange { priority, first, last });
            range.first = range.first.min(first);
            range.last = range.last.max(last);
        }
        ranges.into_values().collect()
    }
}

fn items_up_to(
    entries: &BTreeSet<TimeIndexEntry<MessageKey>>,
    last: Duration,
) -> impl Iterator<Item = MessageKey> + '_ {
    entries.iter().take_while(move |entry| entry.at <= last).map(|entry| entry.item)
}
