//! Guards against lost messages when the disk is full or file operations fail.

use std::collections::BTreeSet;
use std::io;

use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{PendingCounts, SyncPolicy, WriteAheadLog};

use crate::harness::{apply_written, open, pending_ids, reopen, FOLDER_BYTES, NOW};
use crate::load::Load;
use crate::model::Model;
use crate::support::{accepted, finished, started};

/// Appends messages until one is not accepted, and returns the ids of the accepted ones.
fn accept_until_full(log: &mut WriteAheadLog, capacity_bytes: u64) -> Vec<String> {
    let mut pending = Vec::new();
    for n in 0..200 {
        let id = format!("e{n:03}");
        match log.append(&[accepted(&id, 300)], NOW) {
            Ok(outcome) if outcome.messages_accepted => pending.push(id),
            Ok(_) => return pending,
            Err(error) => panic!("disk of {capacity_bytes} bytes: append of {id} failed: {error}"),
        }
    }
    panic!("disk of {capacity_bytes} bytes: 200 messages were accepted, expected a full disk");
}

#[test]
fn full_disk_accepts_no_message_and_every_pending_message_can_finish() {
    for capacity_bytes in [9_000, 14_000, 23_000, 31_000] {
        let memory = MemoryStorage::default();
        memory.set_faults(Faults { capacity_bytes: Some(capacity_bytes), ..Faults::default() });
        let mut log = open(&memory);
        let mut pending = accept_until_full(&mut log, capacity_bytes);
        assert!(
            pending.len() > 3,
            "disk of {capacity_bytes} bytes: {} messages accepted, expected more than 3",
            pending.len()
        );
        assert_eq!(log.free_bytes(), 0, "free bytes on a full disk");
        for id in &pending {
            log.append(&[started(id, 0)], NOW).unwrap_or_else(|error| {
                panic!("disk of {capacity_bytes} bytes: start of an attempt of {id} failed: {error}")
            });
        }
        // Messages finish oldest first or newest first; the newest ones free nothing in the first segment.
        if capacity_bytes % 2_000 == 0 {
            pending.reverse();
        }
        for id in &pending {
            log.append(&[finished(id)], NOW).unwrap_or_else(|error| {
                panic!("disk of {capacity_bytes} bytes: finish of {id} failed: {error}")
            });
        }
        assert_eq!(reopen(&memory).index().counts(), PendingCounts { messages: 0, notices: 0 });
        // When there is space, the disk reserve is filled again and messages are accepted.
        memory.set_faults(Faults::default());
        log.append(&[finished("none")], NOW).unwrap();
        assert!(log.free_bytes() > 0);
    }
}

#[test]
fn disk_that_fills_at_any_point_of_a_load_loses_nothing() {
    for capacity_bytes in (3_000..40_000).step_by(211) {
        let memory = MemoryStorage::default();
        memory.set_faults(Faults { capacity_bytes: Some(capacity_bytes), ..Faults::default() });
        let opened = WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, SyncPolicy::Never);
        let Ok(mut log) = opened else { continue };
        let mut load = Load::new(5, 200);
        for _ in 0..120 {
            let group = load.next_group(&log);
            match log.append(&group, NOW) {
                Ok(outcome) => apply_written(&mut load.model, &group, outcome),
                Err(error) => {
                    assert_eq!(error.kind(), io::ErrorKind::StorageFull, "disk of {capacity_bytes} bytes")
                }
            }
        }
        let after = reopen(&memory);
        assert!(
            after.verification().is_sound(),
            "disk of {capacity_bytes} bytes: corruption reported: {:?}",
            after.verification()
        );
        Model::from_index(after.index())
            .check_between(&load.model, &load.model)
            .unwrap_or_else(|error| panic!("disk of {capacity_bytes} bytes: {error}"));
    }
}

/// Appends a load, its later part with faults, and compares the pending messages after the next start with
/// the reference model.
fn check_load_with_faults(faults: impl Fn(&MemoryStorage) -> Faults, failing_operations: &str) {
    let memory = MemoryStorage::default();
    let mut log = open(&memory);
    let mut load = Load::new(11, 300);
    load.append_groups(&mut log, 60).unwrap();
    memory.set_faults(faults(&memory));
    for _ in 0..100 {
        let group = load.next_group(&log);
        if let Ok(outcome) = log.append(&group, NOW) {
            apply_written(&mut load.model, &group, outcome);
        }
    }
    memory.set_faults(Faults::default());
    let found: BTreeSet<String> = pending_ids(&reopen(&memory)).into_iter().collect();
    let expected: BTreeSet<String> = load.model.pending.keys().cloned().collect();
    assert_eq!(found, expected, "pending messages after failed {failing_operations}");
}

#[test]
fn failed_rename_truncation_or_removal_loses_nothing() {
    check_load_with_faults(|_| Faults { renames_fail: true, ..Faults::default() }, "renames");
    let full_without_truncation = |memory: &MemoryStorage| Faults {
        truncations_fail: true,
        capacity_bytes: Some(memory.total_bytes() + 2_000),
        ..Faults::default()
    };
    check_load_with_faults(full_without_truncation, "truncations");
    check_load_with_faults(|_| Faults { removals_fail: true, ..Faults::default() }, "removals");
}
