//! What the records of a ledger come down to. Bodies stay in the files; where they stand is kept.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reeddock::MessageId;
use reeddock_protocol::{DeliveryNotice, FinalAnswer};

use crate::record::{self, Accepted, AcceptedView, AttemptStarted, Checkpoint, Record, View};

/// What a notice takes up until the platform has been told.
const UNTOLD: u64 = 160;
/// Ids of lost messages that are named; the others are counted.
const NAMED: usize = 1000;

/// Where a record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordLocation {
    pub segment: u64,
    pub offset: u64,
    pub length: usize,
}

/// A message that was accepted and is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMessage {
    pub id: MessageId,
    pub class: Arc<str>,
    pub tenant: Option<Arc<str>>,
    pub key: Option<u64>,
    pub destination: u64,
    /// Microseconds of Unix time.
    pub deadline: u64,
    /// In the order of their numbers.
    pub attempts: Vec<AttemptStarted>,
    /// Records of further attempts may have been lost: it may have run, nobody knows when or where.
    pub lost: bool,
    /// Bytes that it takes up.
    pub size: u64,
    /// Its place among all that were accepted.
    place: u64,
    spot: RecordLocation,
}

impl PendingMessage {
    pub fn spot(&self) -> RecordLocation {
        self.spot
    }
}

struct Untold {
    end: FinalAnswer,
    spot: RecordLocation,
}

/// All that is owed.
#[derive(Default)]
pub struct PendingIndex {
    /// No hash map: its growth would hold an append up for as long as all that is owed takes to move.
    pending: BTreeMap<MessageId, Box<PendingMessage>>,
    /// What the platform has not been told yet.
    unacknowledged_notices: BTreeMap<MessageId, Untold>,
    /// Records that still matter, by segment and place in it.
    live: BTreeMap<u64, BTreeMap<u64, MessageId>>,
    places: u64,
    pending_bytes: u64,
    /// Few names, each kept once.
    names: BTreeSet<Arc<str>>,
    /// Messages of which only later records were found.
    orphans: BTreeSet<MessageId>,
    orphans_more: u64,
}

impl PendingIndex {
    /// What is owed its end, in the order in which it was accepted.
    pub fn pending(&self) -> Vec<&PendingMessage> {
        let mut pending: Vec<&PendingMessage> = self.pending.values().map(|u| &**u).collect();
        pending.sort_by_key(|u| u.place);
        pending
    }

    pub fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.pending.get(id).map(|u| &**u)
    }

    /// What the platform still has to be told.
    pub fn unacknowledged_notices(&self) -> impl Iterator<Item = DeliveryNotice> + '_ {
        self.unacknowledged_notices.iter().map(|(id, u)| DeliveryNotice { id: id.clone(), end: u.end })
    }

    /// How many messages are owed, and notices.
    pub fn counts(&self) -> (usize, usize) {
        (self.pending.len(), self.unacknowledged_notices.len())
    }

    /// Messages that were owed, or still are, and of which nothing is known but the id; and how many more.
    pub fn orphans(&self) -> (impl Iterator<Item = &MessageId>, u64) {
        (self.orphans.iter(), self.orphans_more)
    }

    /// Bytes that all this may take up.
    pub(crate) fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// The first record of a segment, from a place on, that still matters.
    pub(crate) fn live_from(&self, segment: u64, offset: u64) -> Option<(u64, MessageId)> {
        let live = self.live.get(&segment)?;
        live.range(offset..).next().map(|(at, id)| (*at, id.clone()))
    }

    /// Bytes of a segment's records that still matter.
    pub(crate) fn live_bytes(&self, segment: u64) -> u64 {
        let ids = self.live.get(&segment).into_iter().flat_map(|l| l.values());
        let length = |id: &MessageId| self.pending.get(id).map_or(UNTOLD, |u| u.spot.length as u64);
        ids.map(length).sum()
    }

    /// What matters of a message or a notice, as a record of its own; what stands in the files alone is added by whoever
    /// reads them.
    pub(crate) fn carried(&self, id: &MessageId) -> Option<Record> {
        if let Some(u) = self.pending.get(id) {
            let accepted = Accepted {
                id: id.0.to_string(),
                class: u.class.to_string(),
                tenant: u.tenant.as_ref().map(|t| t.to_string()),
                key: u.key,
                destination: u.destination,
                deadline: u.deadline,
                body: Default::default(),
                idempotency_key: None,
            };
            let attempts = u.attempts.clone();
            return Some(Record::Checkpoint(Checkpoint { accepted, place: u.place, attempts, lost: u.lost }));
        }
        let unacknowledged_notices = self.unacknowledged_notices.get(id)?;
        Some(Record::Finished { id: id.0.to_string(), notice: Some(unacknowledged_notices.end) })
    }

    /// Something was lost here: any message that is open at this place of the write-ahead log may have been sent.
    pub(crate) fn gap(&mut self) {
        self.pending.values_mut().for_each(|u| u.lost = true);
    }

    fn name(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let name: Arc<str> = Arc::from(name);
        self.names.insert(name.clone());
        name
    }

    fn bury(&mut self, spot: RecordLocation) {
        if let Some(live) = self.live.get_mut(&spot.segment) {
            live.remove(&spot.offset);
            if live.is_empty() {
                self.live.remove(&spot.segment);
            }
        }
    }

    fn enter(
        &mut self,
        accepted: &AcceptedView,
        attempts: Vec<AttemptStarted>,
        lost: bool,
        place: u64,
        spot: RecordLocation,
    ) {
        let size = record::size(accepted);
        let accepted = &accepted.plain;
        let id = MessageId(Arc::from(accepted.id));
        let entry = PendingMessage {
            id: id.clone(),
            class: self.name(accepted.class),
            tenant: accepted.tenant.map(|t| self.name(t)),
            key: accepted.key,
            destination: accepted.destination,
            deadline: accepted.deadline,
            attempts,
            lost,
            size,
            place,
            spot,
        };
        self.pending_bytes += size;
        self.live.entry(spot.segment).or_default().insert(spot.offset, id.clone());
        self.orphans.remove(&id);
        if let Some(old) = self.pending.insert(id, Box::new(entry)) {
            self.pending_bytes = self.pending_bytes.saturating_sub(old.size);
            self.bury(old.spot);
        }
    }

    fn orphan(&mut self, id: MessageId) {
        if self.orphans.len() < NAMED {
            self.orphans.insert(id);
        } else {
            self.orphans_more += 1;
        }
    }

    pub(crate) fn apply(&mut self, record: View, spot: RecordLocation) {
        let of = |id: &str| MessageId(Arc::from(id));
        match record {
            // Read as those of now.
            View::AcceptedV1(_) | View::CheckpointV1(_) => {}
            View::Accepted(accepted) => {
                self.places += 1;
                self.enter(&accepted, Vec::new(), false, self.places, spot);
            }
            View::Checkpoint(carried) => {
                self.places = self.places.max(carried.place);
                self.enter(&carried.accepted, carried.attempts, carried.lost, carried.place, spot);
            }
            View::AttemptStarted { id, no, endpoint, at } => {
                let endpoint = self.name(endpoint);
                let Some(message) = self.pending.get_mut(&of(id)) else {
                    return self.orphan(of(id));
                };
                let (known, no) = (message.attempts.len(), no as usize);
                // Numbers follow each other, and a gap would be an attempt that is not known of.
                let unknown = AttemptStarted { endpoint: Arc::from(""), at: 0, ended: None };
                message.attempts.resize(known.max(no), unknown);
                if no >= known {
                    message.attempts.push(AttemptStarted { endpoint, at, ended: None });
                    // This one's number says that none before it is missing but those filled in.
                    message.lost = false;
                }
            }
            View::AttemptFinished { id, no, proves_not_executed } => match self.pending.get_mut(&of(id)) {
                Some(message) => {
                    if let Some(started) = message.attempts.get_mut(no as usize) {
                        started.ended = Some(proves_not_executed);
                    } else {
                        message.lost = true;
                    }
                }
                None => self.orphan(of(id)),
            },
            View::Finished { id, notice } => {
                let id = of(id);
                self.orphans.remove(&id);
                if let Some(message) = self.pending.remove(&id) {
                    self.pending_bytes = self.pending_bytes.saturating_sub(message.size);
                    self.bury(message.spot);
                }
                if let Some(end) = notice {
                    self.live.entry(spot.segment).or_default().insert(spot.offset, id.clone());
                    match self.unacknowledged_notices.insert(id, Untold { end, spot }) {
                        Some(old) => self.bury(old.spot),
                        None => self.pending_bytes += UNTOLD,
                    }
                }
            }
            View::NoticeAcknowledged { id } => {
                if let Some(unacknowledged_notices) = self.unacknowledged_notices.remove(&of(id)) {
                    self.pending_bytes = self.pending_bytes.saturating_sub(UNTOLD);
                    self.bury(unacknowledged_notices.spot);
                }
            }
        }
    }
}
