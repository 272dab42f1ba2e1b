//! Checks the indices against the queued messages in debug builds.

use super::message_queue::MessageQueue;
use super::position::QueuePosition;
use super::wake_schedule::WakeState;
use crate::interface::DestinationId;
use crate::message_key::MessageKey;

impl MessageQueue {
    /// Compares every index with one that is rebuilt from the queued messages. The caller has updated the
    /// indices of all destinations before.
    ///
    /// # Panics
    ///
    /// Panics if an index was not kept up to date.
    pub fn assert_consistent(
        &self,
        queued: impl Iterator<Item = (DestinationId, MessageKey, QueuePosition)>,
    ) {
        let mut fresh = MessageQueue::default();
        for (destination, key, position) in queued {
            fresh.insert(destination, key, &position);
        }
        assert!(
            fresh.destinations.keys().eq(self.destinations.keys()),
            "expected one queue for each destination with queued messages"
        );
        for destination in self.destinations.keys() {
            self.check_destination(*destination, &mut fresh);
        }
        self.check_indices(&fresh);
        self.check_wake_times();
    }

    fn check_destination(&self, destination: DestinationId, fresh: &mut MessageQueue) {
        let queue = &self.destinations[&destination];
        let rebuilt = &fresh.destinations[&destination];
        assert_eq!(
            queue.classes, rebuilt.classes,
            "queue classes of {destination:?} differ from the rebuilt ones"
        );
        assert_eq!(
            queue.deadlines, rebuilt.deadlines,
            "deadlines of {destination:?} differ from the rebuilt ones"
        );
        assert_eq!(
            queue.key_expiries, rebuilt.key_expiries,
            "key expiries of {destination:?} differ from the rebuilt ones"
        );
        assert_eq!(queue.len, rebuilt.len, "queue length of {destination:?} differs from the rebuilt one");
        fresh.update_indices(destination, queue.indexed_entries.available_at);
        let updated = &fresh.destinations[&destination].indexed_entries;
        assert_eq!(
            queue.indexed_entries, *updated,
            "index entries of {destination:?} differ from the rebuilt ones"
        );
        let asleep = queue.wake_state != WakeState::Awake;
        assert_ne!(
            asleep,
            self.schedule.awake.contains(&destination),
            "wake state of {destination:?} contradicts the wake schedule"
        );
    }

    fn check_indices(&self, fresh: &MessageQueue) {
        let (actual, rebuilt) = (&self.indices, &fresh.indices);
        assert_eq!(
            (&actual.deadlines, &actual.key_expiries),
            (&rebuilt.deadlines, &rebuilt.key_expiries),
            "indices by deadline and key expiry differ from the rebuilt ones"
        );
        assert_eq!(
            actual.by_time_left, rebuilt.by_time_left,
            "index by time left differs from the rebuilt one"
        );
        let by_priority = |queue: &MessageQueue| -> Vec<_> {
            let indices = &queue.indices;
            let of_class = |c| (c, indices.by_first_message[&c].clone(), indices.by_length[&c].clone());
            indices.priority_classes().map(of_class).collect()
        };
        assert_eq!(
            by_priority(self),
            by_priority(fresh),
            "indices of priority classes differ from the rebuilt ones"
        );
    }

    fn check_wake_times(&self) {
        let has_wake_time = |wake_state: WakeState| matches!(wake_state, WakeState::AsleepUntil(_));
        let expected = self.destinations.values().filter(|queue| has_wake_time(queue.wake_state)).count();
        assert_eq!(
            self.schedule.wake_times.len(),
            expected,
            "expected one wake time for each destination that is asleep until a time"
        );
    }
}
