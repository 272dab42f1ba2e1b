//! What the records of a ledger come down to.

use std::collections::BTreeMap;
use std::sync::Arc;

use reeddock::EnvelopeId;
use reeddock_protocol::{GivenUp, Notice};

use crate::record::{self, Record, Taken};

/// What a notice takes up until the platform has been told.
const UNTOLD: u64 = 160;

/// A dispatch that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// The target's name in the list, which outlasts a process.
    pub target: Arc<str>,
    /// Microseconds of Unix time.
    pub at: u64,
    /// Known to have ended, and whether that proves that it never ran.
    pub ended: Option<bool>,
}

/// An envelope that was taken on and is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unended {
    pub taken: Taken,
    /// Its place among all that were taken on.
    place: u64,
    /// In the order of their numbers.
    pub dispatches: Vec<Begun>,
}

/// All that is owed.
#[derive(Default)]
pub struct Books {
    unended: BTreeMap<EnvelopeId, Unended>,
    /// What the platform has not been told yet.
    untold: BTreeMap<EnvelopeId, GivenUp>,
    places: u64,
    owed: u64,
}

impl Books {
    /// What is owed its end, in the order in which it was taken on.
    pub fn unended(&self) -> Vec<&Unended> {
        let mut unended: Vec<&Unended> = self.unended.values().collect();
        unended.sort_by_key(|u| u.place);
        unended
    }

    /// What the platform still has to be told.
    pub fn untold(&self) -> impl Iterator<Item = Notice> + '_ {
        self.untold.iter().map(|(id, end)| Notice { id: id.clone(), end: *end })
    }

    /// Bytes that all this may take up in a file.
    pub(crate) fn owed(&self) -> u64 {
        self.owed
    }

    /// Takes in all whole records; what is left can't be read.
    pub(crate) fn read<'a>(&mut self, mut bytes: &'a [u8]) -> &'a [u8] {
        while let Some((record, rest)) = record::read(bytes) {
            self.apply(record);
            bytes = rest;
        }
        bytes
    }

    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Taken(taken) => {
                self.owed += record::size(&taken);
                let id = EnvelopeId(Arc::from(taken.id.as_str()));
                self.places += 1;
                self.unended.insert(id, Unended { taken, place: self.places, dispatches: Vec::new() });
            }
            Record::Begun { id, no, target, at } => {
                if let Some(envelope) = self.unended.get_mut(&EnvelopeId(Arc::from(id))) {
                    // Numbers follow each other, and a gap would be a dispatch that is not known of.
                    let begun = Begun { target: Arc::from(target), at, ended: None };
                    let known = envelope.dispatches.len().max(no as usize + 1);
                    envelope.dispatches.resize(known, begun);
                }
            }
            Record::Returned { id, no, never_ran } => {
                let envelope = self.unended.get_mut(&EnvelopeId(Arc::from(id)));
                if let Some(begun) = envelope.and_then(|e| e.dispatches.get_mut(no as usize)) {
                    begun.ended = Some(never_ran);
                }
            }
            Record::Ended { id, notice } => {
                let id = EnvelopeId(Arc::from(id));
                if let Some(envelope) = self.unended.remove(&id) {
                    self.owed = self.owed.saturating_sub(record::size(&envelope.taken));
                }
                if let Some(end) = notice {
                    self.owed += UNTOLD;
                    self.untold.insert(id, end);
                }
            }
            Record::Told { id } => {
                if self.untold.remove(&EnvelopeId(Arc::from(id))).is_some() {
                    self.owed = self.owed.saturating_sub(UNTOLD);
                }
            }
        }
    }
}
