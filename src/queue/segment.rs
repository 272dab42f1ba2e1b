//! Messages of one queue class that are all late or all in time.

use std::ops::Bound;
use std::time::Duration;

use super::position::{ClassEntries, ObjectiveOrder, QueueClass, QueuedMessage};

/// Messages of one queue class of a destination whose latency objectives have either all passed or all not
/// passed.
#[derive(Clone, Copy)]
pub(crate) struct QueueSegment<'q> {
    /// Queue class of the messages.
    pub queue_class: QueueClass,
    /// Whether the latency objectives have passed.
    pub late: bool,
    now: Duration,
    entries: &'q ClassEntries,
}

impl<'q> QueueSegment<'q> {
    /// Returns the segment of the late messages of a queue class, followed by the segment of those in time.
    pub(super) fn late_and_in_time(
        queue_class: QueueClass,
        entries: &'q ClassEntries,
        now: Duration,
    ) -> impl Iterator<Item = QueueSegment<'q>> {
        [true, false].map(|late| QueueSegment { queue_class, late, now, entries }).into_iter()
    }

    /// Returns the messages in the order of their latency objectives.
    pub fn entries(&self) -> impl Iterator<Item = QueuedMessage> + 'q {
        let last_late = ObjectiveOrder::end_of(self.now);
        let bounds = if self.late {
            (Bound::Unbounded, Bound::Included(last_late))
        } else {
            (Bound::Excluded(last_late), Bound::Unbounded)
        };
        self.entries.range(bounds).map(|(order, key)| QueuedMessage::new(*order, *key))
    }
}
