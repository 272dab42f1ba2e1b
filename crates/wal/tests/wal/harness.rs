//! Logs in a folder in memory, and records that were appended to them.

use std::time::Duration;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{AppendOutcome, Record, SyncPolicy, WriteAheadLog};

use crate::model::Model;
use crate::support::{accepted, finished, started};

/// The folder's limit in most tests.
pub const FOLDER_BYTES: u64 = 60_000;
/// The time of appends where it does not matter.
pub const NOW: Duration = Duration::ZERO;
/// The file of the first segment.
pub const FIRST_SEGMENT: &str = "ledger-000000000001";

/// Opens the log on the folder itself.
pub fn open(memory: &MemoryStorage) -> WriteAheadLog {
    WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, SyncPolicy::Never).unwrap()
}

/// Opens the log on a copy of the folder, as the next process after a kill does.
pub fn reopen(memory: &MemoryStorage) -> WriteAheadLog {
    open(&memory.after_kill())
}

/// The ids of the pending messages, in the order of the index.
pub fn pending_ids(log: &WriteAheadLog) -> Vec<String> {
    log.index().pending().iter().map(|message| message.id.0.to_string()).collect()
}

/// Applies what an append wrote of a group whose records are about different messages.
pub fn apply_written(model: &mut Model, group: &[Record], outcome: AppendOutcome) {
    let written =
        group.iter().filter(|record| outcome.messages_accepted || !matches!(record, Record::Accepted(_)));
    written.for_each(|record| model.apply(record));
}

/// A log of mixed records: some messages have an attempt in flight, some one that never ran, some are finished, and
/// one notice is acknowledged.
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
