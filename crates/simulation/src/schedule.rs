//! Events that are still to come, in order of time; those of the same time come in the order in which they were
//! scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event whose time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledEvent<E> {
    /// When it happens, since the start of the run.
    pub at: Duration,
    /// The event itself.
    pub event: E,
}

/// An event that is still to come, and its place in the order in which events were scheduled.
struct Entry<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed: the heap gives its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The simulated clock and the events that move it.
pub struct EventSchedule<E> {
    heap: BinaryHeap<Entry<E>>,
    scheduled: u64,
    now: Duration,
}

impl<E> Default for EventSchedule<E> {
    fn default() -> Self {
        EventSchedule { heap: BinaryHeap::new(), scheduled: 0, now: Duration::ZERO }
    }
}

impl<E> EventSchedule<E> {
    /// The simulated time, since the start of the run: that of the last event taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event; one that would lie in the past happens now.
    pub fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.scheduled, event });
    }

    /// Takes the next event and moves the clock to it.
    pub fn pop(&mut self) -> Option<ScheduledEvent<E>> {
        let Entry { at, event, .. } = self.heap.pop()?;
        self.now = at;
        Some(ScheduledEvent { at, event })
    }

    /// Events scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
