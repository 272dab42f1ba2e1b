//! What compaction keeps, and how much it frees.

use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{PendingCounts, SyncPolicy, WriteAheadLog};

use crate::harness::{open, pending_ids, reopen, NOW};
use crate::support::{accepted, finished, started};

#[test]
fn a_log_of_finished_messages_is_compacted_to_little() {
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
    // The folder is not filled with what is finished.
    assert!(log.used_bytes() < 300_000, "{}", log.used_bytes());
    assert_eq!(reopen(&memory).index().counts(), PendingCounts { messages: 0, notices: 0 });
}

#[test]
fn a_message_that_finishes_while_its_segment_is_compacted_stays_finished() {
    let memory = MemoryStorage::default();
    let mut log = open(&memory);
    let mut pending: Vec<String> = Vec::new();
    for n in 0..400 {
        let id = format!("e{n:04}");
        log.append(&[accepted(&id, 200), started(&id, 0)], NOW).unwrap();
        pending.push(id);
        if pending.len() > 12 {
            // Those in the middle of the first segments, as they are being copied.
            let done = pending.remove(n % 7);
            log.append(&[finished(&done)], NOW).unwrap();
        }
        let found = reopen(&memory);
        assert_eq!(pending_ids(&found), pending, "after {n}, in the order of acceptance");
        assert!(found.index().pending().iter().all(|message| message.attempts.len() == 1));
    }
}
