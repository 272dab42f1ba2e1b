//! What the records of a ledger come down to. Bodies stay in the files; where they stand is kept.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reeddock::EnvelopeId;
use reeddock_protocol::{GivenUp, Notice};

use crate::record::{self, Begun, Carried, Record, Taken, TakenView, View};

/// What a notice takes up until the platform has been told.
const UNTOLD: u64 = 160;
/// Ids of lost envelopes that are named; the others are counted.
const NAMED: usize = 1000;

/// Where a record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spot {
    pub segment: u64,
    pub offset: u64,
    pub length: usize,
}

/// An envelope that was taken on and is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unended {
    pub id: EnvelopeId,
    pub category: Arc<str>,
    pub tenant: Option<Arc<str>>,
    pub key: Option<u64>,
    pub destination: u64,
    /// Microseconds of Unix time.
    pub outer_limit: u64,
    /// In the order of their numbers.
    pub dispatches: Vec<Begun>,
    /// Records of further dispatches may have been lost: it may have run, nobody knows when or where.
    pub lost: bool,
    /// Bytes that it takes up.
    pub size: u64,
    /// Its place among all that were taken on.
    place: u64,
    spot: Spot,
}

impl Unended {
    pub fn spot(&self) -> Spot {
        self.spot
    }
}

struct Untold {
    end: GivenUp,
    spot: Spot,
}

/// All that is owed.
#[derive(Default)]
pub struct Books {
    /// No hash map: its growth would hold an append up for as long as all that is owed takes to move.
    unended: BTreeMap<EnvelopeId, Box<Unended>>,
    /// What the platform has not been told yet.
    untold: BTreeMap<EnvelopeId, Untold>,
    /// Records that still matter, by segment and place in it.
    live: BTreeMap<u64, BTreeMap<u64, EnvelopeId>>,
    places: u64,
    owed: u64,
    /// Few names, each kept once.
    names: BTreeSet<Arc<str>>,
    /// Envelopes of which only later records were found.
    orphans: BTreeSet<EnvelopeId>,
    orphans_more: u64,
}

impl Books {
    /// What is owed its end, in the order in which it was taken on.
    pub fn unended(&self) -> Vec<&Unended> {
        let mut unended: Vec<&Unended> = self.unended.values().map(|u| &**u).collect();
        unended.sort_by_key(|u| u.place);
        unended
    }

    pub fn get(&self, id: &EnvelopeId) -> Option<&Unended> {
        self.unended.get(id).map(|u| &**u)
    }

    /// What the platform still has to be told.
    pub fn untold(&self) -> impl Iterator<Item = Notice> + '_ {
        self.untold.iter().map(|(id, u)| Notice { id: id.clone(), end: u.end })
    }

    /// How many envelopes are owed, and notices.
    pub fn counts(&self) -> (usize, usize) {
        (self.unended.len(), self.untold.len())
    }

    /// Envelopes that were owed, or still are, and of which nothing is known but the id; and how many more.
    pub fn orphans(&self) -> (impl Iterator<Item = &EnvelopeId>, u64) {
        (self.orphans.iter(), self.orphans_more)
    }

    /// Bytes that all this may take up.
    pub(crate) fn owed(&self) -> u64 {
        self.owed
    }

    /// The first record of a segment, from a place on, that still matters.
    pub(crate) fn live_from(&self, segment: u64, offset: u64) -> Option<(u64, EnvelopeId)> {
        let live = self.live.get(&segment)?;
        live.range(offset..).next().map(|(at, id)| (*at, id.clone()))
    }

    /// Bytes of a segment's records that still matter.
    pub(crate) fn live_bytes(&self, segment: u64) -> u64 {
        let ids = self.live.get(&segment).into_iter().flat_map(|l| l.values());
        let length = |id: &EnvelopeId| self.unended.get(id).map_or(UNTOLD, |u| u.spot.length as u64);
        ids.map(length).sum()
    }

    /// What matters of an envelope or a notice, as a record of its own; what stands in the files alone is added by whoever
    /// reads them.
    pub(crate) fn carried(&self, id: &EnvelopeId) -> Option<Record> {
        if let Some(u) = self.unended.get(id) {
            let taken = Taken {
                id: id.0.to_string(),
                category: u.category.to_string(),
                tenant: u.tenant.as_ref().map(|t| t.to_string()),
                key: u.key,
                destination: u.destination,
                outer_limit: u.outer_limit,
                body: Default::default(),
                idempotency_key: None,
            };
            let dispatches = u.dispatches.clone();
            return Some(Record::Carried(Carried { taken, place: u.place, dispatches, lost: u.lost }));
        }
        let untold = self.untold.get(id)?;
        Some(Record::Ended { id: id.0.to_string(), notice: Some(untold.end) })
    }

    /// Something was lost here: any envelope that is open at this place of the ledger may have been sent.
    pub(crate) fn gap(&mut self) {
        self.unended.values_mut().for_each(|u| u.lost = true);
    }

    fn name(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let name: Arc<str> = Arc::from(name);
        self.names.insert(name.clone());
        name
    }

    fn bury(&mut self, spot: Spot) {
        if let Some(live) = self.live.get_mut(&spot.segment) {
            live.remove(&spot.offset);
            if live.is_empty() {
                self.live.remove(&spot.segment);
            }
        }
    }

    fn enter(&mut self, taken: &TakenView, dispatches: Vec<Begun>, lost: bool, place: u64, spot: Spot) {
        let size = record::size(taken);
        let taken = &taken.plain;
        let id = EnvelopeId(Arc::from(taken.id));
        let entry = Unended {
            id: id.clone(),
            category: self.name(taken.category),
            tenant: taken.tenant.map(|t| self.name(t)),
            key: taken.key,
            destination: taken.destination,
            outer_limit: taken.outer_limit,
            dispatches,
            lost,
            size,
            place,
            spot,
        };
        self.owed += size;
        self.live.entry(spot.segment).or_default().insert(spot.offset, id.clone());
        self.orphans.remove(&id);
        if let Some(old) = self.unended.insert(id, Box::new(entry)) {
            self.owed = self.owed.saturating_sub(old.size);
            self.bury(old.spot);
        }
    }

    fn orphan(&mut self, id: EnvelopeId) {
        if self.orphans.len() < NAMED {
            self.orphans.insert(id);
        } else {
            self.orphans_more += 1;
        }
    }

    pub(crate) fn apply(&mut self, record: View, spot: Spot) {
        let of = |id: &str| EnvelopeId(Arc::from(id));
        match record {
            // Read as those of now.
            View::OldTaken(_) | View::OldCarried(_) => {}
            View::Taken(taken) => {
                self.places += 1;
                self.enter(&taken, Vec::new(), false, self.places, spot);
            }
            View::Carried(carried) => {
                self.places = self.places.max(carried.place);
                self.enter(&carried.taken, carried.dispatches, carried.lost, carried.place, spot);
            }
            View::Begun { id, no, target, at } => {
                let target = self.name(target);
                let Some(envelope) = self.unended.get_mut(&of(id)) else {
                    return self.orphan(of(id));
                };
                let (known, no) = (envelope.dispatches.len(), no as usize);
                // Numbers follow each other, and a gap would be a dispatch that is not known of.
                let unknown = Begun { target: Arc::from(""), at: 0, ended: None };
                envelope.dispatches.resize(known.max(no), unknown);
                if no >= known {
                    envelope.dispatches.push(Begun { target, at, ended: None });
                    // This one's number says that none before it is missing but those filled in.
                    envelope.lost = false;
                }
            }
            View::Returned { id, no, never_ran } => match self.unended.get_mut(&of(id)) {
                Some(envelope) => {
                    if let Some(begun) = envelope.dispatches.get_mut(no as usize) {
                        begun.ended = Some(never_ran);
                    } else {
                        envelope.lost = true;
                    }
                }
                None => self.orphan(of(id)),
            },
            View::Ended { id, notice } => {
                let id = of(id);
                self.orphans.remove(&id);
                if let Some(envelope) = self.unended.remove(&id) {
                    self.owed = self.owed.saturating_sub(envelope.size);
                    self.bury(envelope.spot);
                }
                if let Some(end) = notice {
                    self.live.entry(spot.segment).or_default().insert(spot.offset, id.clone());
                    match self.untold.insert(id, Untold { end, spot }) {
                        Some(old) => self.bury(old.spot),
                        None => self.owed += UNTOLD,
                    }
                }
            }
            View::Told { id } => {
                if let Some(untold) = self.untold.remove(&of(id)) {
                    self.owed = self.owed.saturating_sub(UNTOLD);
                    self.bury(untold.spot);
                }
            }
        }
    }
}
