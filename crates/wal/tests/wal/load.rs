//! A load that is the same each time, and what a plain reference makes of it.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_wal::{Books, Ledger, Record, Taken};
use reeddock_protocol::GivenUp;

/// Open envelopes with how their dispatches ended, and notices that are owed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub open: BTreeMap<String, Vec<Option<bool>>>,
    pub untold: BTreeMap<String, GivenUp>,
}

impl Model {
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken(taken) => drop(self.open.insert(taken.id.clone(), Vec::new())),
            Record::Begun { id, .. } => self.open.get_mut(id).into_iter().for_each(|d| d.push(None)),
            Record::Returned { id, no, never_ran } => {
                let dispatch = self.open.get_mut(id).and_then(|d| d.get_mut(*no as usize));
                dispatch.into_iter().for_each(|d| *d = Some(*never_ran));
            }
            Record::Ended { id, notice } => {
                self.open.remove(id);
                if let Some(end) = notice {
                    self.untold.insert(id.clone(), *end);
                }
            }
            Record::Told { id } => drop(self.untold.remove(id)),
            Record::Carried(_) => unreachable!("the ledger writes these itself"),
        }
    }

    pub fn of(books: &Books) -> Model {
        let open = books.unended().into_iter().map(|u| {
            assert!(!u.lost, "nothing was lost of {}", u.id.0);
            (u.id.0.to_string(), u.dispatches.iter().map(|d| d.ended).collect())
        });
        let untold = books.untold().map(|n| (n.id.0.to_string(), n.end));
        Model { open: open.collect(), untold: untold.collect() }
    }

    /// Whether each envelope stands as before a group of records or as after it.
    pub fn between(&self, before: &Model, after: &Model) -> Result<(), String> {
        let ids = before.open.keys().chain(after.open.keys()).chain(self.open.keys());
        for id in ids {
            let (now, a, b) = (self.open.get(id), before.open.get(id), after.open.get(id));
            if now != a && now != b {
                return Err(format!("{id} is {now:?}, and was {a:?} or {b:?}"));
            }
        }
        let ids = before.untold.keys().chain(after.untold.keys()).chain(self.untold.keys());
        for id in ids {
            let (now, a, b) = (self.untold.get(id), before.untold.get(id), after.untold.get(id));
            if now != a && now != b {
                return Err(format!("notice {id} is {now:?}, and was {a:?} or {b:?}"));
            }
        }
        Ok(())
    }
}

pub fn taken(id: &str, body: usize) -> Record {
    Record::Taken(Taken {
        idempotency_key: Some(format!("key of {id}")),
        id: id.into(),
        category: "order".into(),
        tenant: Some("t".into()),
        key: Some(9),
        destination: 3,
        outer_limit: 77,
        body: Bytes::from(id.as_bytes().iter().copied().cycle().take(body).collect::<Vec<u8>>()),
    })
}

pub fn begun(id: &str, no: u32) -> Record {
    Record::Begun { id: id.into(), no, target: format!("t{no}"), at: 5 }
}

/// Draws groups of records of which no two are about the same envelope.
pub struct Load {
    chance: Pcg32,
    taken: u32,
    pub model: Model,
    body: usize,
}

impl Load {
    pub fn new(seed: u64, body: usize) -> Load {
        Load { chance: Pcg32::seed_from_u64(seed), taken: 0, model: Model::default(), body }
    }

    /// The next group, and what it leaves.
    pub fn group(&mut self, ledger: &Ledger) -> Vec<Record> {
        let mut group = Vec::new();
        let mut used: Vec<String> = Vec::new();
        for _ in 0..self.chance.random_range(1..5) {
            let ids: Vec<String> = self.model.open.keys().filter(|id| !used.contains(id)).cloned().collect();
            let one = (!ids.is_empty()).then(|| ids[self.chance.random_range(0..ids.len())].clone());
            let untold: Vec<&String> = self.model.untold.keys().filter(|id| !used.contains(id)).collect();
            let draw = self.chance.random_range(0..10);
            let record = match (draw, one) {
                (0..4, _) | (_, None) => {
                    self.taken += 1;
                    let record = taken(&format!("e{:05}", self.taken), self.body);
                    let Record::Taken(t) = &record else { unreachable!() };
                    if Ledger::size_of(t) * 4 > ledger.room() {
                        continue;
                    }
                    record
                }
                (4..6, Some(id)) => begun(&id, self.model.open[&id].len() as u32),
                (6, Some(id)) if self.model.open[&id].last() == Some(&None) => {
                    let no = self.model.open[&id].len() as u32 - 1;
                    Record::Returned { id, no, never_ran: self.chance.random() }
                }
                (7, _) if !untold.is_empty() => Record::Told { id: untold[0].clone() },
                (8, Some(id)) => Record::Ended { id, notice: Some(GivenUp::BrokenOff) },
                (_, Some(id)) => Record::Ended { id, notice: None },
            };
            let id = match &record {
                Record::Taken(t) => t.id.clone(),
                Record::Begun { id, .. } | Record::Returned { id, .. } => id.clone(),
                Record::Ended { id, .. } | Record::Told { id } => id.clone(),
                Record::Carried(_) => unreachable!(),
            };
            used.push(id);
            group.push(record);
        }
        group
    }

    /// Plays so many groups; on an error, the state before and after the group that failed.
    pub fn play(&mut self, ledger: &mut Ledger, groups: usize) -> Result<(), (io::Error, Model, Model)> {
        for n in 0..groups {
            let group = self.group(ledger);
            let before = self.model.clone();
            group.iter().for_each(|r| self.model.apply(r));
            if let Err(e) = ledger.append(&group, Duration::from_millis(n as u64)) {
                return Err((e, before, self.model.clone()));
            }
        }
        Ok(())
    }
}
