//! Debug builds: every index against a full walk over the queued messages.

use super::message_queue::MessageQueue;
use super::position::QueuePosition;
use super::wake_schedule::Wakefulness;
use crate::interface::DestinationId;
use crate::message_key::MessageKey;

impl MessageQueue {
    /// Compares every index with one built afresh from what is queued. To be called when nothing is stale.
    ///
    /// # Panics
    ///
    /// Where the two differ: an index was not kept up to date.
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
            "a queue for each destination that has queued messages"
        );
        for destination in self.destinations.keys() {
            self.check_destination(*destination, &mut fresh);
        }
        self.check_indices(&fresh);
        self.check_wake_times();
    }

    fn check_destination(&self, destination: DestinationId, fresh: &mut MessageQueue) {
        let queue = &self.destinations[&destination];
        let walked = &fresh.destinations[&destination];
        assert_eq!(queue.classes, walked.classes, "classes of {destination:?}");
        assert_eq!(queue.deadlines, walked.deadlines, "deadlines of {destination:?}");
        assert_eq!(queue.key_expiries, walked.key_expiries, "key expiries of {destination:?}");
        assert_eq!(queue.len, walked.len, "length of {destination:?}");
        fresh.update_indices(destination, queue.indexed.available_at);
        let renewed = &fresh.destinations[&destination].indexed;
        assert_eq!(queue.indexed, *renewed, "index entries of {destination:?}");
        let asleep = queue.wakefulness != Wakefulness::Awake;
        assert_ne!(asleep, self.schedule.awake.contains(&destination), "wakefulness of {destination:?}");
    }

    fn check_indices(&self, fresh: &MessageQueue) {
        let (ours, walked) = (&self.indices, &fresh.indices);
        assert_eq!((&ours.deadlines, &ours.key_expiries), (&walked.deadlines, &walked.key_expiries));
        assert_eq!(ours.times_left_when_available, walked.times_left_when_available);
        let by_priority = |queue: &MessageQueue| -> Vec<_> {
            let indices = &queue.indices;
            let of_class = |c| (c, indices.earliest[&c].clone(), indices.longest[&c].clone());
            indices.priority_classes().map(of_class).collect()
        };
        assert_eq!(by_priority(self), by_priority(fresh));
    }

    fn check_wake_times(&self) {
        let sleeps_until = |wakefulness: Wakefulness| matches!(wakefulness, Wakefulness::AsleepUntil(_));
        let timed = self.destinations.values().filter(|queue| sleeps_until(queue.wakefulness)).count();
        assert_eq!(self.schedule.wake_times.len(), timed);
    }
}
