//! Guards against compaction that loses or restores messages, or frees too little space.

use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{PendingCounts, SyncPolicy, WriteAheadLog};

use crate::harness::{open, pending_ids, reopen, NOW};
use crate::support::{accepted, finished, started};

#[test]
fn log_of_finished_messages_stays_small() {
    const LARGE_FOLDER_BYTES: u64 = 1 << 20;
    let memory = MemoryStorage::default();
    let mut log =
        WriteAheadLog::open_in(Box::new(memory.clone()), LARGE_FOLDER_BYTES, SyncPolicy::Never).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        log.append(&[accepted(&id, 300), started(&id, 0)], NOW).unwrap();
        log.append(&[finished(&id)], NOW).unwrap();
        assert!(log.used_bytes() <= LARGE_FOLDER_BYTES);
    }
    // Finished messages do not fill the folder.
    assert!(log.used_bytes() < 300_000, "{} bytes used, expected less than 300000", log.used_bytes());
    assert_eq!(reopen(&memory).index().counts(), PendingCounts { messages: 0, notices: 0 });
}

#[test]
fn message_that_finishes_while_its_segment_is_compacted_stays_finished() {
    let memory = MemoryStorage::default();
    let mut log = open(&memory);
    let mut pending: Vec<String> = Vec::new();
    for n in 0..400 {
        let id = format!("e{n:04}");
        log.append(&[accepted(&id, 200), started(&id, 0)], NOW).unwrap();
        pending.push(id);
        if pending.len() > 12 {
            // The message is in the middle of the first segments, which are being copied.
            let done = pending.remove(n % 7);
            log.append(&[finished(&done)], NOW).unwrap();
        }
        let found = reopen(&memory);
        assert_eq!(
            pending_ids(&found),
            pending,
            "pending messages after message {n}, in the order of acceptance"
        );
        assert!(found.index().pending().iter().all(|message| message.attempts.len() == 1));
    }
}
