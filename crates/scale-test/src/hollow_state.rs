//! What a hollow forwarder knows of the endpoint list, and how it differs from the authoritative one.

use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use crate::endpoint_list::{ListSnapshot, ListedEndpoint};
use crate::list_decoder::{Entry, ListEvent};

/// What is kept of one endpoint, beside its name, which follows from its index.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    address: SocketAddrV4,
    destination: u32,
    /// The generation of the line that named the endpoint last.
    generation: u32,
    listed: bool,
}

/// Memory that a hollow forwarder takes for each endpoint, in bytes.
pub const HOLLOW_BYTES_PER_ENDPOINT: u64 = std::mem::size_of::<Slot>() as u64;

const UNLISTED: Slot = Slot {
    address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    destination: 0,
    generation: 0,
    listed: false,
};

impl Slot {
    fn matches(&self, index: u32, endpoint: &ListedEndpoint) -> bool {
        self.address == endpoint.address
            && self.destination == index
            && u64::from(self.generation) >= endpoint.generation
    }
}

/// A change that has come into force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedChange {
    /// The generation of the change.
    pub generation: u64,
    /// When the end of its line had been applied.
    pub applied_at: Instant,
}

/// How a forwarder's list differs from the authoritative one.
#[derive(Debug, PartialEq)]
pub enum Difference {
    /// The generations differ.
    Generation {
        /// The forwarder's generation.
        actual: u64,
        /// The authoritative one.
        expected: u64,
    },
    /// An endpoint is listed in one of the lists only, or differs between them.
    Endpoint {
        /// The endpoint's index.
        index: u32,
    },
    /// A line skipped a change.
    SkippedChange {
        /// The generation of the change.
        generation: u64,
    },
}

/// The form in which the detail of a check shows a difference; part of the JSON output.
impl Display for Difference {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Difference::Generation { actual, expected } => {
                write!(f, "Generation {{ has: {actual}, should: {expected} }}")
            }
            Difference::Endpoint { index } => write!(f, "Target {{ place: {index} }}"),
            Difference::SkippedChange { generation } => write!(f, "Missing {{ generation: {generation} }}"),
        }
    }
}

/// What a hollow forwarder knows of the endpoint list.
#[derive(Default)]
pub struct HollowState {
    generation: u64,
    /// The endpoints by index.
    slots: Vec<Slot>,
    /// The line that is being received.
    line: Option<PartialLine>,
    applied: Vec<AppliedChange>,
    /// The generation of the first full list.
    first_generation: Option<u64>,
    /// Generations of changes that a line skipped.
    skipped: Vec<u64>,
    /// A seeded defect that the checks have to find: the change of this generation is not applied.
    dropped_change: Option<u64>,
    /// When the forwarder was started last.
    started_at: Option<Instant>,
    /// Whether a full list has come since the last start.
    has_list: bool,
    list_latencies: Vec<Duration>,
}

/// A line that has begun.
struct PartialLine {
    generation: u64,
    full: bool,
    entries: u64,
    /// Which indices a full list has named.
    named: Vec<bool>,
}

impl HollowState {
    /// The state of a forwarder that has not been started. `dropped_change` seeds a defect; none for a sound one.
    pub fn new(dropped_change: Option<u64>) -> HollowState {
        HollowState { dropped_change, ..HollowState::default() }
    }

    /// Applies one event of the decoder; `now` is when a finished line comes into force.
    pub fn apply(&mut self, event: ListEvent, now: Instant) {
        match event {
            ListEvent::EmptyLine => {}
            ListEvent::LineStarted { generation, full } => {
                let named = if full { vec![false; self.slots.len()] } else { Vec::new() };
                self.line = Some(PartialLine { generation, full, entries: 0, named });
            }
            ListEvent::Entry(entry) => self.apply_entry(entry),
            ListEvent::LineFinished => self.finish_line(now),
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        let Some(line) = &mut self.line else { return };
        line.entries += 1;
        let index = entry.index as usize;
        if line.full {
            line.named.resize(line.named.len().max(index + 1), false);
            line.named[index] = true;
        }
        let change = self.generation + line.entries;
        if !line.full && self.dropped_change == Some(change) {
            return;
        }
        if self.slots.len() <= index {
            self.slots.resize(index + 1, UNLISTED);
        }
        self.slots[index] = Slot {
            address: entry.address.unwrap_or(UNLISTED.address),
            destination: entry.destination,
            generation: u32::try_from(line.generation).unwrap_or(u32::MAX),
            listed: entry.address.is_some(),
        };
    }

    fn finish_line(&mut self, now: Instant) {
        let Some(line) = self.line.take() else { return };
        if line.full {
            self.finish_full_list(&line.named, now);
        }
        let new_generations = self.generation + 1..=line.generation;
        // Each generation is one change, and a line leaves none out.
        if !line.full && line.entries < line.generation.saturating_sub(self.generation) {
            self.skipped.extend(new_generations.clone().skip(line.entries as usize));
        }
        if self.first_generation.is_some() {
            self.record_applied(new_generations, now);
        }
        self.first_generation.get_or_insert(line.generation);
        self.generation = line.generation.max(self.generation);
    }

    /// Drops the endpoints that a full list has not named.
    fn finish_full_list(&mut self, named: &[bool], now: Instant) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if !named.get(index).copied().unwrap_or(false) {
                *slot = UNLISTED;
            }
        }
        self.slots.shrink_to_fit();
        if !std::mem::replace(&mut self.has_list, true) {
            self.list_latencies.extend(self.started_at.map(|started| now.duration_since(started)));
        }
    }

    fn record_applied(&mut self, generations: RangeInclusive<u64>, applied_at: Instant) {
        let applied = generations.filter(|generation| self.dropped_change != Some(*generation));
        self.applied.extend(applied.map(|generation| AppliedChange { generation, applied_at }));
    }

    /// Restarts the forwarder without a list; which changes it had before stays recorded.
    pub fn restart(&mut self, now: Instant) {
        self.slots = Vec::new();
        self.line = None;
        self.started_at = Some(now);
        self.has_list = false;
    }

    /// Whether a full list has come since the last start.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The generation after which a watch is to send changes; 0 requests a full list.
    pub fn watch_index(&self) -> u64 {
        if self.has_list {
            self.generation
        } else {
            0
        }
    }

    /// The generation of the first full list that it had; all later changes have come into force one by one.
    pub fn first_generation(&self) -> u64 {
        self.first_generation.unwrap_or(0)
    }

    /// Each change that has come into force after the first full list, in order.
    pub fn applied(&self) -> &[AppliedChange] {
        &self.applied
    }

    /// The time from each start until the full list was in force.
    pub fn list_latencies(&self) -> &[Duration] {
        &self.list_latencies
    }

    /// All differences from the authoritative list.
    pub fn differences(&self, authoritative: &ListSnapshot) -> Vec<Difference> {
        let ListSnapshot { generation, endpoints } = authoritative;
        let mut differences = Vec::new();
        if self.generation != *generation {
            differences.push(Difference::Generation { actual: self.generation, expected: *generation });
        }
        let length = u32::try_from(endpoints.len().max(self.slots.len())).unwrap_or(u32::MAX);
        for index in 0..length {
            let slot = self.slots.get(index as usize).filter(|slot| slot.listed);
            let same = match (slot, endpoints.get(index as usize)) {
                (None, None) => true,
                (Some(slot), Some(endpoint)) => slot.matches(index, endpoint),
                _ => false,
            };
            if !same {
                differences.push(Difference::Endpoint { index });
            }
        }
        let skipped = self.skipped.iter();
        differences.extend(skipped.map(|generation| Difference::SkippedChange { generation: *generation }));
        differences
    }
}
