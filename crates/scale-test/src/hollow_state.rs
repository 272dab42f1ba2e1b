//! A hollow forwarder's copy of the endpoint list, and its differences from the authoritative list.

use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use crate::endpoint_list::{ListSnapshot, ListedEndpoint};
use crate::list_decoder::{Entry, ListEvent};

/// The stored data of one endpoint. The endpoint's name is derived from its index.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    address: SocketAddrV4,
    destination: u32,
    /// The generation of the last line that contains the endpoint.
    generation: u32,
    listed: bool,
}

/// Memory that each hollow forwarder uses per endpoint, in bytes.
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

/// A change that a hollow forwarder applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedChange {
    /// The generation of the change.
    pub generation: u64,
    /// When the end of the line with the change was applied.
    pub applied_at: Instant,
}

/// A difference between a hollow forwarder's list and the authoritative list.
#[derive(Debug, PartialEq)]
pub enum Difference {
    /// The generations differ.
    Generation {
        /// The forwarder's generation.
        actual: u64,
        /// The generation of the authoritative list.
        expected: u64,
    },
    /// An endpoint is missing in one of the lists, or has different data in them.
    Endpoint {
        /// The endpoint's index.
        index: u32,
    },
    /// A line omitted a change, whether or not a later change replaced it.
    SkippedChange {
        /// The generation of the change.
        generation: u64,
    },
}

/// Formats a difference for the detail of a check; part of the JSON output.
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

/// A hollow forwarder's copy of the endpoint list, with a record of the changes that it applied.
#[derive(Default)]
pub struct HollowState {
    generation: u64,
    /// The endpoints by index; removed ones are [`UNLISTED`].
    slots: Vec<Slot>,
    /// The line that is being received; `None` between lines.
    line: Option<PartialLine>,
    applied: Vec<AppliedChange>,
    /// The generation of the first full list; `None` before it is complete.
    first_generation: Option<u64>,
    /// Generations of changes that lines omitted.
    skipped: Vec<u64>,
    /// A seeded defect: the change of this generation is not applied. `None` in ordinary runs.
    dropped_change: Option<u64>,
    /// When the forwarder was last started; `None` before the first start.
    started_at: Option<Instant>,
    /// Whether a complete full list was received since the last start.
    has_list: bool,
    /// The time from each start until the first full list was applied.
    list_latencies: Vec<Duration>,
}

/// A line that is not yet complete.
struct PartialLine {
    generation: u64,
    full: bool,
    /// Number of entries received so far.
    entries: u64,
    /// Whether the full list contains the endpoint, by index; empty for a line with changes.
    listed_indices: Vec<bool>,
}

impl HollowState {
    /// Creates the state of a forwarder before its first start. `dropped_change` is the generation of a
    /// change that is not applied, as a seeded defect; `None` in ordinary runs.
    pub fn new(dropped_change: Option<u64>) -> HollowState {
        HollowState { dropped_change, ..HollowState::default() }
    }

    /// Applies one event of the decoder. `now` is recorded as the time at which a finished line takes effect.
    pub fn apply(&mut self, event: ListEvent, now: Instant) {
        match event {
            ListEvent::EmptyLine => {}
            ListEvent::LineStarted { generation, full } => {
                let listed_indices = if full { vec![false; self.slots.len()] } else { Vec::new() };
                self.line = Some(PartialLine { generation, full, entries: 0, listed_indices });
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
            line.listed_indices.resize(line.listed_indices.len().max(index + 1), false);
            line.listed_indices[index] = true;
        }
        let generation = self.generation + line.entries;
        if !line.full && self.dropped_change == Some(generation) {
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
            self.finish_full_list(&line.listed_indices, now);
        }
        let new_generations = self.generation + 1..=line.generation;
        // A correct line contains one entry for each new generation.
        if !line.full && line.entries < line.generation.saturating_sub(self.generation) {
            self.skipped.extend(new_generations.clone().skip(line.entries as usize));
        }
        if self.first_generation.is_some() {
            self.record_applied(new_generations, now);
        }
        self.first_generation.get_or_insert(line.generation);
        self.generation = line.generation.max(self.generation);
    }

    /// Removes the endpoints that a full list doesn't contain.
    fn finish_full_list(&mut self, listed_indices: &[bool], now: Instant) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if !listed_indices.get(index).copied().unwrap_or(false) {
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

    /// Discards the list, as a restart does. The record of applied changes is kept.
    pub fn restart(&mut self, now: Instant) {
        self.slots = Vec::new();
        self.line = None;
        self.started_at = Some(now);
        self.has_list = false;
    }

    /// Returns whether a complete full list was received since the last start.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the generation after which a new watch sends changes; 0 requests a full list.
    pub fn watch_index(&self) -> u64 {
        if self.has_list {
            self.generation
        } else {
            0
        }
    }

    /// Returns the generation of the first full list, or 0 before it. All later changes are in
    /// [`Self::applied`].
    pub fn first_generation(&self) -> u64 {
        self.first_generation.unwrap_or(0)
    }

    /// Returns all changes applied after the first full list, in order.
    pub fn applied(&self) -> &[AppliedChange] {
        &self.applied
    }

    /// Returns the time from each start until the first full list was applied.
    pub fn list_latencies(&self) -> &[Duration] {
        &self.list_latencies
    }

    /// Returns all differences from the authoritative list, including the changes that lines omitted.
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
