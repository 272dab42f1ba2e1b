//! The reference model: a simple implementation of the state that results from records.

use std::collections::BTreeMap;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::{AttemptState, PendingIndex, Record};

/// Pending messages with the states of their attempts, and unacknowledged notices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Attempts of each message by its id, in the order of their numbers.
    pub pending: BTreeMap<String, Vec<AttemptState>>,
    /// Final answers by message id.
    pub notices: BTreeMap<String, FinalAnswer>,
}

impl Model {
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted(accepted) => drop(self.pending.insert(accepted.id.clone(), Vec::new())),
            Record::AttemptStarted { id, .. } => {
                if let Some(attempts) = self.pending.get_mut(id) {
                    attempts.push(AttemptState::InFlight);
                }
            }
            Record::AttemptFinished { id, number, proves_not_executed } => {
                let attempt =
                    self.pending.get_mut(id).and_then(|attempts| attempts.get_mut(*number as usize));
                if let Some(attempt) = attempt {
                    *attempt = Some(*proves_not_executed).into();
                }
            }
            Record::Finished { id, notice } => {
                self.pending.remove(id);
                if let Some(answer) = notice {
                    self.notices.insert(id.clone(), *answer);
                }
            }
            Record::NoticeAcknowledged { id } => drop(self.notices.remove(id)),
            Record::Checkpoint(_) => unreachable!("tests append no checkpoints"),
        }
    }

    /// Returns the model of the state in an index. Panics if records of a message were lost.
    pub fn from_index(index: &PendingIndex) -> Model {
        let pending = index.pending().into_iter().map(|message| {
            assert!(!message.records_lost, "records of {} were lost", message.id.0);
            (message.id.0.to_string(), message.attempts.iter().map(|attempt| attempt.state).collect())
        });
        let notices = index.unacknowledged_notices().map(|notice| (notice.id.0.to_string(), notice.answer));
        Model { pending: pending.collect(), notices: notices.collect() }
    }

    /// Checks that each message and each notice is as in `before` or as in `after`, the models around an
    /// append.
    pub fn check_between(&self, before: &Model, after: &Model) -> Result<(), String> {
        check_each_between("message", &self.pending, &before.pending, &after.pending)?;
        check_each_between("notice", &self.notices, &before.notices, &after.notices)
    }
}

fn check_each_between<T: PartialEq + std::fmt::Debug>(
    kind: &str,
    found: &BTreeMap<String, T>,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
) -> Result<(), String> {
    for id in before.keys().chain(after.keys()).chain(found.keys()) {
        let (found, before, after) = (found.get(id), before.get(id), after.get(id));
        if found != before && found != after {
            return Err(format!("{kind} {id} is {found:?}, expected {before:?} or {after:?}"));
        }
    }
    Ok(())
}
