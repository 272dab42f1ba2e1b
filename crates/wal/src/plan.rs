//! What compaction does next, and what room there is: decided from sizes alone, with no file in sight.
//!
//! The write-ahead log is a line of segments. Records are appended to the last; the first is emptied by copying to the
//! end what of it still matters, and then dropped. Only ever the first: what ends a message stands behind
//! what took it on, so that dropping from the front never leaves an end without its beginning the other way
//! round, and no end has to be kept for the sake of an older segment.
//!
//! # What holds
//!
//! - All files together never have more than [`Plan::most`] bytes, counted in whole blocks.
//! - What is accepted may fill two fifths of that. Compaction starts at [`Plan::starts_at`] and copies at least
//!   [`COPIED_PER_BYTE`] bytes for each byte appended, so that it is through the line before the rest is full:
//!   while two fifths are copied, the line grows by what is appended, two fifteenths, and one segment.
//! - Ends and beginnings of what is owed always find room: each message's share of it is counted when it is
//!   accepted ([`crate::record::size`]), and a reserve on the disk stands for it.

use std::collections::BTreeMap;

/// A file counts in whole blocks of so many bytes.
pub const BLOCK: u64 = 512;
/// Bytes copied for each byte appended, while a segment is being emptied.
const COPIED_PER_BYTE: u64 = 3;
/// Bytes copied in a step at least and at most: the least keeps short appends from making endless compactions,
/// the most keeps an append behind a step from waiting long.
const LEAST_STEP: u64 = 4 * 1024;
const MOST_STEP: u64 = 256 * 1024;
/// Segments that the whole line is split into, and how long each may be.
const SEGMENTS: u64 = 24;
const LEAST_SEGMENT: u64 = 4 * 1024;
const MOST_SEGMENT: u64 = 8 * 1024 * 1024;

pub fn whole_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

/// Sizes of a line of segments.
#[derive(Clone, Debug)]
pub struct Plan {
    most: u64,
    segment: u64,
    reserve: u64,
    /// Numbers of segments begin here.
    begins_at: u64,
    /// Bytes of each segment.
    sizes: BTreeMap<u64, u64>,
    /// Bytes of files beside the segments: manifest, lock, what is kept aside.
    beside: u64,
    /// Bytes that may still be copied on account of what was appended.
    priority_weight: u64,
}

/// What to do after an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Rest,
    /// Empty this segment further, by so many bytes at most.
    Copy {
        segment: u64,
        bytes: u64,
    },
}

impl Plan {
    /// For a folder that may hold `most` bytes.
    pub fn new(most: u64) -> Plan {
        let segment = (most / SEGMENTS).clamp(LEAST_SEGMENT, MOST_SEGMENT);
        Plan {
            most,
            segment,
            reserve: whole_blocks((most / 16).min(8 * MOST_SEGMENT)),
            begins_at: 1,
            sizes: BTreeMap::new(),
            beside: 0,
            priority_weight: 0,
        }
    }

    pub fn most(&self) -> u64 {
        self.most
    }

    /// Bytes of the file that keeps room for what must always be written.
    pub fn reserve(&self) -> u64 {
        self.reserve
    }

    /// Bytes that what is owed may take up.
    pub fn most_owed(&self) -> u64 {
        self.most * 2 / 5
    }

    /// Bytes of all files, from which on the first segment is emptied. A large folder is not filled before:
    /// so much of it would be read at a start.
    pub fn starts_at(&self, pending_bytes: u64) -> u64 {
        (self.most * 11 / 20).min(2 * pending_bytes + 4 * self.segment)
    }

    /// What is numbered lower was dropped once.
    pub fn begins_at(&mut self, segment: u64) {
        self.begins_at = segment;
    }

    /// A segment has so many bytes now.
    pub fn has(&mut self, segment: u64, bytes: u64) {
        self.sizes.insert(segment, bytes);
    }

    /// Bytes of a segment; 0 where there is none.
    pub fn size(&self, segment: u64) -> u64 {
        self.sizes.get(&segment).copied().unwrap_or_default()
    }

    pub fn dropped(&mut self, segment: u64) {
        self.sizes.remove(&segment);
    }

    pub fn set_beside(&mut self, bytes: u64) {
        self.beside = bytes;
    }

    /// Bytes of all files, in whole blocks.
    pub fn used(&self) -> u64 {
        self.sizes.values().map(|s| whole_blocks(*s)).sum::<u64>() + self.beside
    }

    /// Whether so many bytes more fit, with a new segment where the last one is full.
    pub fn fits(&self, bytes: u64) -> bool {
        self.used() + whole_blocks(bytes) + BLOCK <= self.most
    }

    /// Whether the next records go into a new segment.
    pub fn is_full(&self, bytes: u64) -> bool {
        self.sizes.last_key_value().is_none_or(|(_, has)| *has > 0 && has + bytes > self.segment)
    }

    /// The segment to append to next, where a new one is begun.
    pub fn next(&self) -> u64 {
        self.sizes.last_key_value().map_or(self.begins_at, |(n, _)| n + 1)
    }

    pub fn first(&self) -> Option<u64> {
        self.sizes.first_key_value().map(|(n, _)| *n)
    }

    pub fn last(&self) -> Option<u64> {
        self.sizes.last_key_value().map(|(n, _)| *n)
    }

    /// So many bytes were appended, and so many are owed: what to copy now.
    pub fn after_append(&mut self, bytes: u64, pending_bytes: u64) -> Step {
        if self.used() < self.starts_at(pending_bytes) {
            self.priority_weight = 0;
            return Step::Rest;
        }
        self.priority_weight = (self.priority_weight + COPIED_PER_BYTE * bytes).clamp(LEAST_STEP, MOST_STEP);
        let step = self.copy(self.priority_weight);
        if step == Step::Rest {
            self.priority_weight = 0;
        }
        step
    }

    /// So much of the credit was used.
    pub fn copied(&mut self, bytes: u64) {
        self.priority_weight = self.priority_weight.saturating_sub(bytes);
    }

    /// There is no room for what must be written: empty the first segment, whatever waits for it.
    pub fn in_need(&self) -> Step {
        self.copy(MOST_STEP)
    }

    fn copy(&self, bytes: u64) -> Step {
        match self.first() {
            // The last one is being written, and is never emptied.
            Some(segment) if Some(segment) != self.last() => Step::Copy { segment, bytes },
            _ => Step::Rest,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_first_segment_is_emptied_and_never_the_last() {
        let mut plan = Plan::new(1 << 20);
        plan.has(4, 600_000);
        assert_eq!(plan.after_append(100, 0), Step::Rest, "the only segment is the last");
        plan.has(5, 10);
        assert_eq!(plan.after_append(100, 0), Step::Copy { segment: 4, bytes: LEAST_STEP });
        plan.dropped(4);
        assert_eq!(plan.in_need(), Step::Rest);
    }

    #[test]
    fn a_step_is_bounded_and_follows_what_is_appended() {
        let mut plan = Plan::new(1 << 30);
        (1..30).for_each(|n| plan.has(n, 32 << 20));
        let Step::Copy { bytes, .. } = plan.after_append(50_000, 0) else { panic!("it is nearly full") };
        assert_eq!(bytes, COPIED_PER_BYTE * 50_000);
        plan.copied(bytes);
        let Step::Copy { bytes, .. } = plan.after_append(1 << 30, 0) else { panic!() };
        assert_eq!(bytes, MOST_STEP);
    }

    /// The worst that the bounds allow: two fifths are owed, all at the front of the line, and only what is
    /// appended brings compaction on.
    #[test]
    fn compaction_is_through_before_the_folder_is_full() {
        for most in [200_000, 3_000_000, 1 << 30] {
            let mut plan = Plan::new(most);
            plan.set_beside(plan.reserve() + 4 * BLOCK);
            let pending_bytes = plan.most_owed();
            let (mut live, mut copied_to) = (BTreeMap::new(), 0);
            let mut left = pending_bytes;
            // What is owed, then what is over, up to where compaction starts.
            while plan.used() < plan.starts_at(pending_bytes) {
                let n = plan.next();
                let size = plan.segment.min(most / 40);
                live.insert(n, left.min(size));
                left -= left.min(size);
                plan.has(n, size);
            }
            let step = (most / 4000).max(64);
            for _ in 0..20_000 {
                if plan.is_full(step) {
                    let n = plan.next();
                    plan.has(n, 0);
                }
                let last = plan.last().unwrap();
                plan.has(last, plan.sizes[&last] + step);
                if let Step::Copy { segment, bytes } = plan.after_append(step, pending_bytes) {
                    let part = live.entry(segment).or_default();
                    let moved = bytes.min(*part);
                    *part -= moved;
                    if *part == 0 {
                        live.remove(&segment);
                        plan.dropped(segment);
                    }
                    if plan.is_full(moved) {
                        let n = plan.next();
                        plan.has(n, 0);
                    }
                    let last = plan.last().unwrap();
                    plan.has(last, plan.sizes[&last] + moved);
                    *live.entry(last).or_default() += moved;
                    plan.copied(moved);
                    copied_to += moved;
                }
                assert!(plan.used() <= most, "{} of {most}", plan.used());
            }
            assert!(copied_to > pending_bytes, "it went through the line, of {most}");
        }
    }
}
