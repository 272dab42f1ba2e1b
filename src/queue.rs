//! Held messages, indexed by the questions that a turn asks: which may go next to a destination, which end next,
//! which would earn least, and which destinations are worth asking again. The indices decide nothing: orders and
//! thresholds stand in [`control`](crate::control).
//!
//! Each destination that holds messages has a [`DestinationQueue`]. The indices over all lines hold a few entries for each
//! line and none for each message; a line that changes is marked stale, and its entries are renewed before they
//! are next read.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use crate::interface::DestinationId;
use crate::messages::MessageKey;

/// What messages of one destination have in common as far as their choice goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    pub priority: PriorityClass,
    /// Answers with an error so far.
    pub errors: u32,
    /// It was dispatched before.
    pub tried: bool,
    pub possibly_executed: bool,
    /// Another message with its key comes first.
    pub blocked: bool,
}

/// Messages that earn the same as long as they are equally late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityClass {
    pub class: usize,
    pub over_quota: bool,
}

/// What a message is filed under while it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub queue_class: QueueClass,
    pub objective_at: Duration,
    pub arrival: u64,
    pub deadline: Duration,
    /// Until when a repeat may begin, where it needs a receipt.
    pub key_valid_until: Option<Duration>,
}

/// Held messages of one queue_class, by promise and then by arrival.
pub(crate) type Entries = BTreeMap<(Duration, u64), MessageKey>;

/// Whether a destination is asked again in the next turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Rest {
    #[default]
    Awake,
    /// Not before this time, or before an event touches the line; without a time only the latter.
    Asleep(Option<Duration>),
}

/// What is held for one destination.
#[derive(Default)]
pub(crate) struct DestinationQueue {
    queue_classes: BTreeMap<QueueClass, Entries>,
    limits: BTreeSet<(Duration, MessageKey)>,
    receipts: BTreeSet<(Duration, MessageKey)>,
    len: usize,
    rest: Rest,
    indexed: Indexed,
}

impl DestinationQueue {
    /// Its messages in runs, those behind another one of their key left out.
    fn runs(&self, now: Duration) -> impl Iterator<Item = QueueSegment<'_>> {
        let unblocked = self.queue_classes.iter().filter(|(queue_class, _)| !queue_class.blocked);
        unblocked.flat_map(move |(queue_class, entries)| {
            [true, false]
                .map(|late| QueueSegment { queue_class: *queue_class, late, now, entries })
                .into_iter()
        })
    }

    /// The first end of a promise after now, of each queue_class.
    pub fn next_promises(&self, now: Duration) -> impl Iterator<Item = (&QueueClass, Duration)> {
        self.queue_classes.iter().filter_map(move |(queue_class, entries)| {
            let next = entries
                .range((now, u64::MAX)..)
                .find(|((latency_objective, _), _)| *latency_objective > now)?;
            Some((queue_class, next.0 .0))
        })
    }

    /// The earliest and the latest promise of each worth queue_class.
    fn spans(&self) -> BTreeMap<PriorityClass, (Promise, Promise)> {
        let mut spans: BTreeMap<PriorityClass, (Promise, Promise)> = BTreeMap::new();
        for (queue_class, entries) in &self.queue_classes {
            let (Some(first), Some(last)) = (entries.first_key_value(), entries.last_key_value()) else {
                continue;
            };
            let (first, last) = (Promise::of(first), Promise::of(last));
            let span = spans.entry(queue_class.priority).or_insert((first, last));
            span.0 = span.0.min(first);
            span.1 = span.1.max(last);
        }
        spans
    }
}

/// Messages of one queue_class of a line whose promises are all over, or all not yet.
#[derive(Clone, Copy)]
pub(crate) struct QueueSegment<'l> {
    pub queue_class: QueueClass,
    pub late: bool,
    now: Duration,
    entries: &'l Entries,
}

impl<'l> QueueSegment<'l> {
    /// Promise and arrival, in that order, and the message.
    pub fn entries(&self) -> impl Iterator<Item = ((Duration, u64), MessageKey)> + 'l {
        let last_late = (self.now, u64::MAX);
        let bounds = if self.late {
            (Bound::Unbounded, Bound::Included(last_late))
        } else {
            (Bound::Excluded(last_late), Bound::Unbounded)
        };
        self.entries.range(bounds).map(|(promise, key)| (*promise, *key))
    }
}

/// One message's place in the order of promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Promise {
    pub by: Duration,
    pub arrival: u64,
    pub key: MessageKey,
}

impl Promise {
    fn of(((by, arrival), key): (&(Duration, u64), &MessageKey)) -> Promise {
        Promise { by: *by, arrival: *arrival, key: *key }
    }
}

/// The entries under which a line stands in the indices over all lines.
#[derive(Clone, Debug, Default, PartialEq)]
struct Indexed {
    limit: Option<Duration>,
    receipt: Option<Duration>,
    /// When the earliest of its endpoints' waits ends, and what is left then of the first limit.
    available_at: Duration,
    slack: Option<Duration>,
    len: usize,
    worths: Vec<(PriorityClass, Promise, Promise)>,
}

/// All lines, and the indices over them.
#[derive(Default)]
pub(crate) struct MessageQueue {
    lines: BTreeMap<DestinationId, DestinationQueue>,
    awake: BTreeSet<DestinationId>,
    sleepers: BTreeSet<(Duration, DestinationId)>,
    stale: BTreeSet<DestinationId>,
    limits: BTreeSet<(Duration, DestinationId)>,
    receipts: BTreeSet<(Duration, DestinationId)>,
    slacks: BTreeSet<(Duration, DestinationId)>,
    earliest: BTreeMap<PriorityClass, BTreeSet<(Promise, DestinationId)>>,
    longest: BTreeMap<PriorityClass, BTreeSet<(usize, Promise, DestinationId)>>,
}

impl MessageQueue {
    pub fn file(&mut self, destination: DestinationId, key: MessageKey, queue_position: &QueuePosition) {
        let line = self.lines.entry(destination).or_insert_with(|| {
            self.awake.insert(destination);
            DestinationQueue::default()
        });
        line.queue_classes
            .entry(queue_position.queue_class)
            .or_default()
            .insert((queue_position.objective_at, queue_position.arrival), key);
        line.limits.insert((queue_position.deadline, key));
        if let Some(until) = queue_position.key_valid_until {
            line.receipts.insert((until, key));
        }
        line.len += 1;
        self.stale.insert(destination);
    }

    pub fn remove(&mut self, destination: DestinationId, key: MessageKey, queue_position: &QueuePosition) {
        let Some(line) = self.lines.get_mut(&destination) else { return };
        if let Some(entries) = line.queue_classes.get_mut(&queue_position.queue_class) {
            entries.remove(&(queue_position.objective_at, queue_position.arrival));
            if entries.is_empty() {
                line.queue_classes.remove(&queue_position.queue_class);
            }
        }
        line.limits.remove(&(queue_position.deadline, key));
        if let Some(until) = queue_position.key_valid_until {
            line.receipts.remove(&(until, key));
        }
        line.len -= 1;
        if line.len > 0 {
            self.stale.insert(destination);
            return;
        }
        self.wake(destination);
        self.awake.remove(&destination);
        self.stale.remove(&destination);
        if let Some(line) = self.lines.remove(&destination) {
            self.drop_entries(destination, &line.indexed);
        }
    }

    pub fn line(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.lines.get(&destination)
    }

    /// What is held for a destination, in runs.
    pub fn runs(&self, destination: DestinationId, now: Duration) -> impl Iterator<Item = QueueSegment<'_>> {
        self.lines.get(&destination).into_iter().flat_map(move |line| line.runs(now))
    }

    /// Something that holds its messages back may have changed.
    pub fn touch(&mut self, destination: DestinationId) {
        if self.lines.contains_key(&destination) {
            self.stale.insert(destination);
            self.wake(destination);
        }
    }

    /// Destinations that hold messages and are to be asked in this turn.
    pub fn awake(&self) -> &BTreeSet<DestinationId> {
        &self.awake
    }

    /// The destination need not be asked before this time, unless it is touched.
    pub fn sleep(&mut self, destination: DestinationId, until: Option<Duration>) {
        let Some(line) = self.lines.get_mut(&destination) else { return };
        line.rest = Rest::Asleep(until);
        self.awake.remove(&destination);
        if let Some(until) = until {
            self.sleepers.insert((until, destination));
        }
    }

    fn wake(&mut self, destination: DestinationId) {
        let Some(line) = self.lines.get_mut(&destination) else { return };
        if let Rest::Asleep(Some(until)) = std::mem::take(&mut line.rest) {
            self.sleepers.remove(&(until, destination));
        }
        self.awake.insert(destination);
    }

    /// Wakes all whose time has come.
    pub fn wake_due(&mut self, now: Duration) {
        while let Some((_, destination)) = self.sleepers.first().copied().filter(|(until, _)| *until <= now) {
            self.wake(destination);
        }
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.sleepers.first().map(|(until, _)| *until)
    }

    /// Lines whose entries have to be renewed by [`MessageQueue::index`] before the indices are read.
    pub fn take_stale(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.stale)
    }

    /// Renews the entries of a line; `available_at` is when the earliest of its endpoints' waits ends.
    pub fn index(&mut self, destination: DestinationId, available_at: Duration) {
        let Some(line) = self.lines.get_mut(&destination) else { return };
        let limit = line.limits.first().map(|l| l.0);
        let receipt = line.receipts.first().map(|r| r.0);
        let slack = match receipt {
            Some(until) if until <= available_at => Some(Duration::ZERO),
            _ => limit.map(|l| l.saturating_sub(available_at)),
        };
        let worths =
            line.spans().into_iter().map(|(queue_class, (first, last))| (queue_class, first, last)).collect();
        let indexed = Indexed { limit, receipt, available_at, slack, len: line.len, worths };
        if indexed == line.indexed {
            return;
        }
        let before = std::mem::replace(&mut line.indexed, indexed.clone());
        self.drop_entries(destination, &before);
        self.add_entries(destination, &indexed);
    }

    fn add_entries(&mut self, destination: DestinationId, indexed: &Indexed) {
        self.limits.extend(indexed.limit.map(|at| (at, destination)));
        self.receipts.extend(indexed.receipt.map(|at| (at, destination)));
        self.slacks.extend(indexed.slack.map(|left| (left, destination)));
        for (queue_class, first, last) in &indexed.worths {
            self.earliest.entry(*queue_class).or_default().insert((*first, destination));
            self.longest.entry(*queue_class).or_default().insert((indexed.len, *last, destination));
        }
    }

    fn drop_entries(&mut self, destination: DestinationId, indexed: &Indexed) {
        for (index, key) in [
            (&mut self.limits, indexed.limit),
            (&mut self.receipts, indexed.receipt),
            (&mut self.slacks, indexed.slack),
        ] {
            if let Some(at) = key {
                index.remove(&(at, destination));
            }
        }
        for (queue_class, first, last) in &indexed.worths {
            if let Some(earliest) = self.earliest.get_mut(queue_class) {
                earliest.remove(&(*first, destination));
            }
            if let Some(longest) = self.longest.get_mut(queue_class) {
                longest.remove(&(indexed.len, *last, destination));
            }
        }
    }

    /// Messages that end by now, where an answer takes so long: their limit or their receipt is over, or will be
    /// before any of their endpoints may be called.
    pub fn ending(&self, now: Duration, answer: Duration) -> BTreeSet<MessageKey> {
        let mut ending = BTreeSet::new();
        let due = |(at, _): &&(Duration, DestinationId)| at.saturating_sub(answer) <= now;
        for (_, destination) in self.limits.iter().take_while(due) {
            let limits = &self.lines[destination].limits;
            ending.extend(limits.iter().take_while(|l| l.0.saturating_sub(answer) <= now).map(|l| l.1));
        }
        for (_, destination) in self.receipts.iter().take_while(|r| r.0 <= now) {
            let receipts = &self.lines[destination].receipts;
            ending.extend(receipts.iter().take_while(|r| r.0 <= now).map(|r| r.1));
        }
        for (_, destination) in self.slacks.iter().take_while(|s| s.0 <= answer) {
            let line = &self.lines[destination];
            let available_at = line.indexed.available_at;
            ending.extend(
                line.limits.iter().take_while(|l| l.0.saturating_sub(answer) <= available_at).map(|l| l.1),
            );
            ending.extend(line.receipts.iter().take_while(|r| r.0 <= available_at).map(|r| r.1));
        }
        ending
    }

    /// When the next message ends, where an answer takes so long.
    pub fn next_end(&self, answer: Duration) -> Option<Duration> {
        let limit = self.limits.first().map(|(at, _)| at.saturating_sub(answer));
        let receipt = self.receipts.first().map(|(at, _)| *at);
        limit.into_iter().chain(receipt).min()
    }

    pub fn worth_classes(&self) -> impl Iterator<Item = PriorityClass> + '_ {
        self.earliest.iter().filter(|(_, queued)| !queued.is_empty()).map(|(queue_class, _)| *queue_class)
    }

    /// The message of a worth queue_class whose promise ends first.
    pub fn earliest(&self, queue_class: PriorityClass) -> Option<Promise> {
        Some(self.earliest.get(&queue_class)?.first()?.0)
    }

    /// The length of the longest line with messages of a worth queue_class, and the one there that is promised last.
    pub fn longest(&self, queue_class: PriorityClass) -> Option<(usize, Promise)> {
        self.longest.get(&queue_class)?.last().map(|(len, promise, _)| (*len, *promise))
    }

    /// Compares every index with a full walk over what is held. To be called when nothing is stale.
    #[cfg(debug_assertions)]
    pub fn check(&self, queued: impl Iterator<Item = (DestinationId, MessageKey, QueuePosition)>) {
        let mut fresh = MessageQueue::default();
        for (destination, key, queue_position) in queued {
            fresh.file(destination, key, &queue_position);
        }
        assert!(fresh.lines.keys().eq(self.lines.keys()), "a line for each destination that holds envelopes");
        for (destination, line) in &self.lines {
            let walked = &fresh.lines[destination];
            assert_eq!(line.queue_classes, walked.queue_classes, "classes of {destination:?}");
            assert_eq!(line.limits, walked.limits, "limits of {destination:?}");
            assert_eq!(line.receipts, walked.receipts, "receipts of {destination:?}");
            assert_eq!(line.len, walked.len, "length of {destination:?}");
            fresh.index(*destination, line.indexed.available_at);
            assert_eq!(line.indexed, fresh.lines[destination].indexed, "entries of {destination:?}");
            let asleep = line.rest != Rest::Awake;
            assert_ne!(asleep, self.awake.contains(destination), "rest of {destination:?}");
        }
        assert_eq!((&self.limits, &self.receipts), (&fresh.limits, &fresh.receipts));
        assert_eq!(self.slacks, fresh.slacks);
        let worths = |queue: &MessageQueue| -> Vec<_> {
            queue
                .worth_classes()
                .map(|c| (c, queue.earliest[&c].clone(), queue.longest[&c].clone()))
                .collect()
        };
        assert_eq!(worths(self), worths(&fresh));
        let timed = |line: &DestinationQueue| matches!(line.rest, Rest::Asleep(Some(_)));
        assert_eq!(self.sleepers.len(), self.lines.values().filter(|l| timed(l)).count());
    }
}
