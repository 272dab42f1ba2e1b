//! The messages of one class that have, or have not, missed their latency objective.

use std::ops::Bound;
use std::time::Duration;

use super::position::{ClassEntries, ObjectiveOrder, QueueClass};
use crate::messages::MessageKey;

/// The messages of one class of a destination queue whose latency objectives have all passed, or all not yet.
#[derive(Clone, Copy)]
pub(crate) struct QueueSegment<'q> {
    /// The class that all of them are in.
    pub queue_class: QueueClass,
    /// Whether their objectives have passed.
    pub late: bool,
    now: Duration,
    entries: &'q ClassEntries,
}

impl<'q> QueueSegment<'q> {
    /// The late messages of a class, and then those that are in time.
    pub(super) fn late_and_in_time(
        queue_class: QueueClass,
        entries: &'q ClassEntries,
        now: Duration,
    ) -> impl Iterator<Item = QueueSegment<'q>> {
        [true, false].map(|late| QueueSegment { queue_class, late, now, entries }).into_iter()
    }

    /// Each message with its latency objective and its arrival, in that order.
    pub fn entries(&self) -> impl Iterator<Item = ((Duration, u64), MessageKey)> + 'q {
        let last_late = ObjectiveOrder::end_of(self.now);
        let bounds = if self.late {
            (Bound::Unbounded, Bound::Included(last_late))
        } else {
            (Bound::Excluded(last_late), Bound::Unbounded)
        };
        self.entries.range(bounds).map(|(order, key)| ((order.objective_at, order.arrival), *key))
    }
}
