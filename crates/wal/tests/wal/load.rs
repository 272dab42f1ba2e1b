//! A reproducible random load, with the reference model of the state that results from it.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::{AttemptState, Record, WalError, WriteAheadLog};

use crate::model::Model;
use crate::support::{accepted, finished, started};

/// A generator of groups of records. A group is appended in one append, and each of its records is about a
/// different message.
pub struct Load {
    random: Pcg32,
    accepted_count: u32,
    body_bytes: usize,
    /// State that results from the groups that were applied so far.
    pub model: Model,
}

/// The failure of an append, with the states that the log may have after it.
#[derive(Debug, thiserror::Error)]
#[error("cannot append a group of records: {error}")]
pub struct AppendGroupsError {
    pub error: WalError,
    /// Model without the records of the failed append.
    pub before: Model,
    /// Model with the records of the failed append.
    pub after: Model,
}

impl Load {
    pub fn new(seed: u64, body_bytes: usize) -> Load {
        Load { random: Pcg32::seed_from_u64(seed), accepted_count: 0, body_bytes, model: Model::default() }
    }

    /// Returns the next group without applying it to the model.
    pub fn next_group(&mut self, log: &WriteAheadLog) -> Vec<Record> {
        let mut group = Vec::new();
        let mut used: Vec<String> = Vec::new();
        for _ in 0..self.random.random_range(1..5) {
            let Some(record) = self.draw_record(log, &used) else { continue };
            used.push(id_of(&record).to_owned());
            group.push(record);
        }
        group
    }

    /// Returns a record about a message that is not in `used`; `None` if the drawn message does not fit into
    /// the log.
    fn draw_record(&mut self, log: &WriteAheadLog, used: &[String]) -> Option<Record> {
        let ids: Vec<String> = self.model.pending.keys().filter(|id| !used.contains(id)).cloned().collect();
        let drawn = (!ids.is_empty()).then(|| ids[self.random.random_range(0..ids.len())].clone());
        let notified = self.model.notices.keys().find(|id| !used.contains(id)).cloned();
        let draw = self.random.random_range(0..10);
        Some(match (draw, drawn) {
            (0..4, _) | (_, None) => return self.new_message(log),
            (4..6, Some(id)) => started(&id, self.model.pending[&id].len() as u32),
            (6, Some(id)) if self.model.pending[&id].last() == Some(&AttemptState::InFlight) => {
                let number = self.model.pending[&id].len() as u32 - 1;
                Record::AttemptFinished { id, number, proves_not_executed: self.random.random() }
            }
            (7, Some(id)) => match notified {
                Some(id) => Record::NoticeAcknowledged { id },
                None => finished(&id),
            },
            (8, Some(id)) => Record::Finished { id, notice: Some(FinalAnswer::Failed) },
            (_, Some(id)) => finished(&id),
        })
    }

    fn new_message(&mut self, log: &WriteAheadLog) -> Option<Record> {
        self.accepted_count += 1;
        let record = accepted(&format!("e{:05}", self.accepted_count), self.body_bytes);
        let Record::Accepted(message) = &record else { unreachable!() };
        (message.reserved_bytes() * 4 <= log.free_bytes()).then_some(record)
    }

    /// Appends a number of groups, and applies each to the model. Stops at the first failed append.
    pub fn append_groups(
        &mut self,
        log: &mut WriteAheadLog,
        groups: usize,
    ) -> Result<(), Box<AppendGroupsError>> {
        for n in 0..groups {
            let group = self.next_group(log);
            let before = self.model.clone();
            group.iter().for_each(|record| self.model.apply(record));
            if let Err(error) = log.append(&group, Duration::from_millis(n as u64)) {
                return Err(Box::new(AppendGroupsError { error, before, after: self.model.clone() }));
            }
        }
        Ok(())
    }
}

fn id_of(record: &Record) -> &str {
    match record {
        Record::Accepted(message) => &message.id,
        Record::AttemptStarted { id, .. } | Record::AttemptFinished { id, .. } => id,
        Record::Finished { id, .. } | Record::NoticeAcknowledged { id } => id,
        Record::Checkpoint(_) => unreachable!("the load draws no checkpoints"),
    }
}
