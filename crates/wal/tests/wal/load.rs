//! A load that is the same each time, and what a plain reference makes of it.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::{Accepted, PendingIndex, Record, WriteAheadLog};

/// Open messages with how their attempts ended, and notices that are owed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub open: BTreeMap<String, Vec<Option<bool>>>,
    pub unacknowledged_notices: BTreeMap<String, FinalAnswer>,
}

impl Model {
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted(accepted) => drop(self.open.insert(accepted.id.clone(), Vec::new())),
            Record::AttemptStarted { id, .. } => self.open.get_mut(id).into_iter().for_each(|d| d.push(None)),
            Record::AttemptFinished { id, no, proves_not_executed } => {
                let dispatch = self.open.get_mut(id).and_then(|d| d.get_mut(*no as usize));
                dispatch.into_iter().for_each(|d| *d = Some(*proves_not_executed));
            }
            Record::Finished { id, notice } => {
                self.open.remove(id);
                if let Some(end) = notice {
                    self.unacknowledged_notices.insert(id.clone(), *end);
                }
            }
            Record::NoticeAcknowledged { id } => drop(self.unacknowledged_notices.remove(id)),
            Record::Checkpoint(_) => unreachable!("the ledger writes these itself"),
        }
    }

    pub fn of(index: &PendingIndex) -> Model {
        let open = index.pending().into_iter().map(|u| {
            assert!(!u.lost, "nothing was lost of {}", u.id.0);
            (u.id.0.to_string(), u.attempts.iter().map(|d| d.ended).collect())
        });
        let unacknowledged_notices = index.unacknowledged_notices().map(|n| (n.id.0.to_string(), n.end));
        Model { open: open.collect(), unacknowledged_notices: unacknowledged_notices.collect() }
    }

    /// Whether each message stands as before a group of records or as after it.
    pub fn between(&self, before: &Model, after: &Model) -> Result<(), String> {
        let ids = before.open.keys().chain(after.open.keys()).chain(self.open.keys());
        for id in ids {
            let (now, a, b) = (self.open.get(id), before.open.get(id), after.open.get(id));
            if now != a && now != b {
                return Err(format!("{id} is {now:?}, and was {a:?} or {b:?}"));
            }
        }
        let ids = before
            .unacknowledged_notices
            .keys()
            .chain(after.unacknowledged_notices.keys())
            .chain(self.unacknowledged_notices.keys());
        for id in ids {
            let (now, a, b) = (
                self.unacknowledged_notices.get(id),
                before.unacknowledged_notices.get(id),
                after.unacknowledged_notices.get(id),
            );
            if now != a && now != b {
                return Err(format!("notice {id} is {now:?}, and was {a:?} or {b:?}"));
            }
        }
        Ok(())
    }
}

pub fn accepted(id: &str, body: usize) -> Record {
    Record::Accepted(Accepted {
        idempotency_key: Some(format!("key of {id}")),
        id: id.into(),
        class: "order".into(),
        tenant: Some("t".into()),
        key: Some(9),
        destination: 3,
        deadline: 77,
        body: Bytes::from(id.as_bytes().iter().copied().cycle().take(body).collect::<Vec<u8>>()),
    })
}

pub fn started(id: &str, no: u32) -> Record {
    Record::AttemptStarted { id: id.into(), no, endpoint: format!("t{no}"), at: 5 }
}

/// Draws groups of records of which no two are about the same message.
pub struct Load {
    chance: Pcg32,
    accepted: u32,
    pub model: Model,
    body: usize,
}

impl Load {
    pub fn new(seed: u64, body: usize) -> Load {
        Load { chance: Pcg32::seed_from_u64(seed), accepted: 0, model: Model::default(), body }
    }

    /// The next group, and what it leaves.
    pub fn group(&mut self, log: &WriteAheadLog) -> Vec<Record> {
        let mut group = Vec::new();
        let mut used: Vec<String> = Vec::new();
        for _ in 0..self.chance.random_range(1..5) {
            let ids: Vec<String> = self.model.open.keys().filter(|id| !used.contains(id)).cloned().collect();
            let one = (!ids.is_empty()).then(|| ids[self.chance.random_range(0..ids.len())].clone());
            let unacknowledged_notices: Vec<&String> =
                self.model.unacknowledged_notices.keys().filter(|id| !used.contains(id)).collect();
            let draw = self.chance.random_range(0..10);
            let record = match (draw, one) {
                (0..4, _) | (_, None) => {
                    self.accepted += 1;
                    let record = accepted(&format!("e{:05}", self.accepted), self.body);
                    let Record::Accepted(t) = &record else { unreachable!() };
                    if WriteAheadLog::size_of(t) * 4 > log.room() {
                        continue;
                    }
                    record
                }
                (4..6, Some(id)) => started(&id, self.model.open[&id].len() as u32),
                (6, Some(id)) if self.model.open[&id].last() == Some(&None) => {
                    let no = self.model.open[&id].len() as u32 - 1;
                    Record::AttemptFinished { id, no, proves_not_executed: self.chance.random() }
                }
                (7, _) if !unacknowledged_notices.is_empty() => {
                    Record::NoticeAcknowledged { id: unacknowledged_notices[0].clone() }
                }
                (8, Some(id)) => Record::Finished { id, notice: Some(FinalAnswer::Failed) },
                (_, Some(id)) => Record::Finished { id, notice: None },
            };
            let id = match &record {
                Record::Accepted(t) => t.id.clone(),
                Record::AttemptStarted { id, .. } | Record::AttemptFinished { id, .. } => id.clone(),
                Record::Finished { id, .. } | Record::NoticeAcknowledged { id } => id.clone(),
                Record::Checkpoint(_) => unreachable!(),
            };
            used.push(id);
            group.push(record);
        }
        group
    }

    /// Plays so many groups; on an error, the state before and after the group that failed.
    pub fn play(&mut self, log: &mut WriteAheadLog, groups: usize) -> Result<(), (io::Error, Model, Model)> {
        for n in 0..groups {
            let group = self.group(log);
            let before = self.model.clone();
            group.iter().for_each(|r| self.model.apply(r));
            if let Err(e) = log.append(&group, Duration::from_millis(n as u64)) {
                return Err((e, before, self.model.clone()));
            }
        }
        Ok(())
    }
}
