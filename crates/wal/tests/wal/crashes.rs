//! Guards against lost or restored messages after a kill or a loss of the machine at any operation.

use std::collections::BTreeMap;
use std::io::{self, Read};

use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{Storage, SyncPolicy, WriteAheadLog};

use crate::harness::FOLDER_BYTES;
use crate::load::Load;
use crate::model::Model;
use crate::support::accepted;

/// Number of groups of records that a test appends.
const GROUP_COUNT: usize = 200;
const BODY_BYTES: usize = 300;

/// Creates the storage through which the log accesses its folder.
type MakeStorage = fn(MemoryStorage) -> Box<dyn Storage>;

fn direct_storage(memory: MemoryStorage) -> Box<dyn Storage> {
    Box::new(memory)
}

/// Appends the load until operations fail, and compares the state that the next start reads with the
/// reference model.
fn check_state_after_crash(
    fails_after_operations: u64,
    torn_write_bytes: usize,
    sync: SyncPolicy,
    make_storage: MakeStorage,
) -> Result<(), String> {
    let memory = MemoryStorage::default();
    memory.set_faults(Faults {
        fails_after_operations: Some(fails_after_operations),
        torn_write_bytes,
        ..Faults::default()
    });
    let mut load = Load::new(7, BODY_BYTES);
    let opened = WriteAheadLog::open_in(make_storage(memory.clone()), FOLDER_BYTES, sync);
    let appended = match opened {
        Ok(mut log) => load.append_groups(&mut log, GROUP_COUNT),
        Err(_) => Ok(()),
    };
    let (before, after) = match appended {
        Ok(()) => (load.model.clone(), load.model.clone()),
        Err(failed) => (failed.before, failed.after),
    };
    let remaining =
        if sync == SyncPolicy::EachAppend { memory.after_machine_loss() } else { memory.after_kill() };
    let mut log =
        WriteAheadLog::open_in(Box::new(remaining.clone()), FOLDER_BYTES, sync).map_err(|e| e.to_string())?;
    if !log.verification().is_sound() {
        return Err(format!("corruption reported after a crash: {:?}", log.verification().corruptions));
    }
    Model::from_index(log.index()).check_between(&before, &after)?;
    // The log accepts and keeps further messages.
    let mut next = Load::new(8, BODY_BYTES);
    next.model = Model::from_index(log.index());
    log.append(&[accepted("later", 10)], Default::default()).map_err(|e| e.to_string())?;
    next.model.pending.insert("later".into(), Vec::new());
    drop(log);
    let reopened = WriteAheadLog::open_in(Box::new(remaining.after_kill()), FOLDER_BYTES, sync)
        .map_err(|e| e.to_string())?;
    Model::from_index(reopened.index()).check_between(&next.model, &next.model)
}

/// Returns the number of operations of the whole load, and how many of them are renames and removals by
/// compaction.
fn count_operations(sync: SyncPolicy) -> (u64, usize) {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, sync).unwrap();
    let operations_to_open = memory.operation_count();
    Load::new(7, BODY_BYTES).append_groups(&mut log, GROUP_COUNT).unwrap();
    assert!(operations_to_open > 0);
    let log = memory.operation_log();
    let by_compaction = log.iter().filter(|line| line.starts_with("rename") || line.starts_with("remove"));
    (memory.operation_count(), by_compaction.count())
}

#[test]
fn kill_after_any_operation_or_within_an_append_loses_and_restores_no_message() {
    let (total, by_compaction) = count_operations(SyncPolicy::Never);
    assert!(total > 220 && by_compaction > 15, "{total} operations, {by_compaction} of them by compaction");
    for operation_count in 0..total {
        for torn_write_bytes in [0, 13, 150] {
            check_state_after_crash(operation_count, torn_write_bytes, SyncPolicy::Never, direct_storage)
                .unwrap_or_else(|error| {
                    panic!("kill after {operation_count} operations, torn write of {torn_write_bytes} bytes: {error}")
                });
        }
    }
}

#[test]
fn machine_loss_after_any_operation_keeps_synced_records() {
    let (total, _) = count_operations(SyncPolicy::EachAppend);
    for operation_count in 0..total {
        check_state_after_crash(operation_count, 30, SyncPolicy::EachAppend, direct_storage)
            .unwrap_or_else(|e| panic!("machine loss after {operation_count} operations: {e}"));
    }
}

/// A storage that delays one kind of operation until the next removal of a segment, so that their order is
/// swapped.
struct ReorderingStorage {
    inner: MemoryStorage,
    /// Returns whether an operation on a file is delayed.
    delays: fn(Operation, &str) -> bool,
    delayed: Vec<DelayedOperation>,
}

/// The operations that may be delayed.
#[derive(Clone, Copy, PartialEq)]
enum Operation {
    Append,
    Rename,
}

enum DelayedOperation {
    Append(String, Vec<u8>),
    Rename(String, String),
}

impl ReorderingStorage {
    /// Runs the delayed operations.
    fn run_delayed(&mut self) -> io::Result<()> {
        for delayed in std::mem::take(&mut self.delayed) {
            match delayed {
                DelayedOperation::Append(name, bytes) => self.inner.append(&name, &bytes)?,
                DelayedOperation::Rename(from, to) => self.inner.rename(&from, &to)?,
            }
        }
        Ok(())
    }
}

impl Storage for ReorderingStorage {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        self.inner.files()
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // Delayed appends are written in their order.
        if (self.delays)(Operation::Append, name) {
            self.run_delayed()?;
            self.delayed.push(DelayedOperation::Append(name.into(), bytes.to_vec()));
            return Ok(());
        }
        self.inner.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.run_delayed()?;
        self.inner.truncate(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if (self.delays)(Operation::Rename, to) {
            self.delayed.push(DelayedOperation::Rename(from.into(), to.into()));
            return Ok(());
        }
        self.inner.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.inner.remove(name);
        if name.starts_with("ledger-") {
            self.run_delayed()?;
        }
        removed
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inner.sync(name)
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        self.inner.sync_directory()
    }
    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        self.inner.reader(name)
    }
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.inner.read_at(name, offset, length)
    }
}

/// Guards against crash tests that detect nothing: with two operations in the wrong order, at least one crash
/// test must fail.
#[test]
fn crash_tests_detect_operations_in_the_wrong_order() {
    let manifest_after_removal: MakeStorage = |inner| {
        let delays = |operation, name: &str| operation == Operation::Rename && name == "ledger.manifest";
        Box::new(ReorderingStorage { inner, delays, delayed: Vec::new() })
    };
    let copies_after_removal: MakeStorage = |inner| {
        let delays = |operation, name: &str| operation == Operation::Append && name.starts_with("ledger-");
        Box::new(ReorderingStorage { inner, delays, delayed: Vec::new() })
    };
    let (total, _) = count_operations(SyncPolicy::Never);
    for reordered in [manifest_after_removal, copies_after_removal] {
        let detected = (0..total)
            .filter(|operation_count| {
                check_state_after_crash(*operation_count, 0, SyncPolicy::Never, reordered).is_err()
            })
            .count();
        assert!(detected > 0, "no crash test failed, although two operations were in the wrong order");
    }
}
