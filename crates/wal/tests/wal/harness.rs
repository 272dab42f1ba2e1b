//! Opens logs in a folder in memory, and prepares their records.

use std::time::Duration;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{AppendOutcome, Record, SyncPolicy, WriteAheadLog};

use crate::model::Model;
use crate::support::{accepted, finished, started};

/// Limit of the folder in most tests.
pub const FOLDER_BYTES: u64 = 60_000;
/// Time of appends in tests that do not depend on it.
pub const NOW: Duration = Duration::ZERO;
/// File name of the first segment.
pub const FIRST_SEGMENT: &str = "ledger-000000000001";

/// Opens the log of the folder.
pub fn open(memory: &MemoryStorage) -> WriteAheadLog {
    WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, SyncPolicy::Never).unwrap()
}

/// Opens the log of a copy of the folder, as the next process does after a kill.
pub fn reopen(memory: &MemoryStorage) -> WriteAheadLog {
    open(&memory.after_kill())
}

/// Returns the ids of the pending messages, in the order of the index.
pub fn pending_ids(log: &WriteAheadLog) -> Vec<String> {
    log.index().pending().iter().map(|message| message.id.0.to_string()).collect()
}

/// Applies the records that an append wrote to the model. Each record of the group has to be about a
/// different message.
pub fn apply_written(model: &mut Model, group: &[Record], outcome: AppendOutcome) {
    let written =
        group.iter().filter(|record| outcome.messages_accepted || !matches!(record, Record::Accepted(_)));
    written.for_each(|record| model.apply(record));
}

/// Returns the folder of a log with various records, and the model of its state: an attempt in flight, an
/// attempt that was not executed, a finished message, a message without attempts, and an acknowledged notice.
pub fn mixed_records() -> (MemoryStorage, Model) {
    let memory = MemoryStorage::default();
    let mut log = open(&memory);
    let mut model = Model::default();
    let groups = [
        vec![accepted("aaaa-sent", 40), accepted("bbbb-unrun", 40), started("aaaa-sent", 0)],
        vec![accepted("cccc-done", 40), started("cccc-done", 0), finished("cccc-done")],
        vec![
            accepted("dddd-failed", 40),
            Record::Finished { id: "dddd-failed".into(), notice: Some(FinalAnswer::Failed) },
        ],
        vec![
            started("bbbb-unrun", 0),
            Record::AttemptFinished { id: "bbbb-unrun".into(), number: 0, proves_not_executed: true },
        ],
        vec![accepted("eeee-new", 40), Record::NoticeAcknowledged { id: "dddd-failed".into() }],
    ];
    for group in groups {
        log.append(&group, NOW).unwrap();
        group.iter().for_each(|record| model.apply(record));
    }
    (memory, model)
}
