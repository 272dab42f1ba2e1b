//! Queue of scheduled events in order of time. Events of the same time keep the order of scheduling.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event that is due, and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledEvent<E> {
    /// Time of the event, since the start of the run.
    pub at: Duration,
    /// The event that takes place.
    pub event: E,
}

/// A pending event.
struct Entry<E> {
    at: Duration,
    /// Number of the event in the order of scheduling, which orders events of the same time.
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
    /// Compares in reverse, because `BinaryHeap` pops the greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Simulated clock and pending events; taking an event advances the clock.
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
    /// Returns the simulated time since the start of the run, which is the time of the last event taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event; a time in the past is replaced by the current time.
    pub fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.scheduled, event });
    }

    /// Removes the next event and advances the clock to its time; returns `None` if no event is pending.
    pub fn pop(&mut self) -> Option<ScheduledEvent<E>> {
        let Entry { at, event, .. } = self.heap.pop()?;
        self.now = at;
        Some(ScheduledEvent { at, event })
    }

    /// Returns the number of events scheduled so far, taken ones included.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
