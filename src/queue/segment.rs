//! Groups of queued messages that the scheduler treats alike: equal [`QueueClass`], and latency objectives
//! that have either all passed (late) or all not passed (in time).

use std::ops::Bound;
use std::time::Duration;

use super::position::{ClassEntries, ObjectiveOrder, QueueClass, QueuedMessage};

/// Queued messages of a destination with the same [`QueueClass`] whose latency objectives have either all
/// passed or all not passed.
#[derive(Clone, Copy)]
pub(crate) struct QueueSegment<'q> {
    pub queue_class: QueueClass,
    /// Whether the latency objectives have passed.
    pub late: bool,
    now: Duration,
    entries: &'q ClassEntries,
}

impl<'q> QueueSegment<'q> {
    /// Returns the segment of the messages whose latency objective has passed, followed by the segment of the
    /// other messages. All have the given queue class.
    pub(super) fn late_and_in_time(
        queue_class: QueueClass,
        entries: &'q ClassEntries,
        now: Duration,
    ) -> impl Iterator<Item = QueueSegment<'q>> {
        [true, false].map(|late| QueueSegment { queue_class, late, now, entries }).into_iter()
    }

    /// Returns the messages in the order of their latency objectives.
    pub fn messages(&self) -> impl Iterator<Item = QueuedMessage> + 'q {
        let last_late = ObjectiveOrder::end_of(self.now);
        let bounds = if self.late {
            (Bound::Unbounded, Bound::Included(last_late))
        } else {
            (Bound::Excluded(last_late), Bound::Unbounded)
        };
        self.entries.range(bounds).map(|(order, key)| QueuedMessage::new(*order, *key))
    }
}
