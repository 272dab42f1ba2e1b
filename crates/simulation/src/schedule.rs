//! What is still to come, in order of time; what falls on one instant comes in the order in which it was
//! entered.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<E> {
    at: Duration,
    place: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.place) == (other.at, other.place)
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
        (other.at, other.place).cmp(&(self.at, self.place))
    }
}

pub struct EventSchedule<E> {
    heap: BinaryHeap<Entry<E>>,
    entered: u64,
    now: Duration,
}

impl<E> Default for EventSchedule<E> {
    fn default() -> Self {
        EventSchedule { heap: BinaryHeap::new(), entered: 0, now: Duration::ZERO }
    }
}

impl<E> EventSchedule<E> {
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What would lie in the past comes now.
    pub fn enter(&mut self, at: Duration, event: E) {
        self.entered += 1;
        self.heap.push(Entry { at: at.max(self.now), place: self.entered, event });
    }

    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    /// Events entered so far.
    pub fn entered(&self) -> u64 {
        self.entered
    }
}
