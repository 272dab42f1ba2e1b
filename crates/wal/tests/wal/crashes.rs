//! The process is killed, or the machine is lost, after any single operation.

use std::collections::BTreeMap;
use std::io::{self, Read};

use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{Storage, SyncPolicy, WriteAheadLog};

use crate::harness::FOLDER_BYTES;
use crate::load::Load;
use crate::model::Model;
use crate::support::accepted;

const GROUPS: usize = 200;
const BODY_BYTES: usize = 300;

/// What is put between the log and its folder.
type Wrap = fn(MemoryStorage) -> Box<dyn Storage>;

fn unwrapped(memory: MemoryStorage) -> Box<dyn Storage> {
    Box::new(memory)
}

/// Plays the load until the folder stops after so many operations, and holds what the next start finds against the
/// reference.
fn crash(stops_after: u64, torn_write_bytes: usize, sync: SyncPolicy, wrap: Wrap) -> Result<(), String> {
    let memory = MemoryStorage::default();
    memory.set_faults(Faults { stops_after: Some(stops_after), torn_write_bytes, ..Faults::default() });
    let mut load = Load::new(7, BODY_BYTES);
    let opened = WriteAheadLog::open_in(wrap(memory.clone()), FOLDER_BYTES, sync);
    let played = match opened {
        Ok(mut log) => load.play(&mut log, GROUPS),
        Err(_) => Ok(()),
    };
    let (before, after) = match played {
        Ok(()) => (load.model.clone(), load.model.clone()),
        Err(failed) => (failed.before, failed.after),
    };
    let left = if sync == SyncPolicy::EachAppend { memory.after_machine_loss() } else { memory.after_kill() };
    let mut log =
        WriteAheadLog::open_in(Box::new(left.clone()), FOLDER_BYTES, sync).map_err(|e| e.to_string())?;
    if !log.verification().is_sound() {
        return Err(format!("corruption where there was a crash: {:?}", log.verification().corruptions));
    }
    Model::of(log.index()).is_between(&before, &after)?;
    // And it goes on from there.
    let mut next = Load::new(8, BODY_BYTES);
    next.model = Model::of(log.index());
    log.append(&[accepted("later", 10)], Default::default()).map_err(|e| e.to_string())?;
    next.model.pending.insert("later".into(), Vec::new());
    drop(log);
    let again =
        WriteAheadLog::open_in(Box::new(left.after_kill()), FOLDER_BYTES, sync).map_err(|e| e.to_string())?;
    Model::of(again.index()).is_between(&next.model, &next.model)
}

/// Operations of the whole load, and how many of them compaction did.
fn operations(sync: SyncPolicy) -> (u64, usize) {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, sync).unwrap();
    let opened = memory.operations();
    Load::new(7, BODY_BYTES).play(&mut log, GROUPS).unwrap();
    assert!(opened > 0);
    let log = memory.operation_log();
    let of_compaction = log.iter().filter(|line| line.starts_with("rename") || line.starts_with("remove"));
    (memory.operations(), of_compaction.count())
}

#[test]
fn a_kill_after_any_operation_or_within_an_append_loses_and_revives_nothing() {
    let (all, of_compaction) = operations(SyncPolicy::Never);
    assert!(all > 220 && of_compaction > 15, "{all} operations, {of_compaction} of compaction");
    for at in 0..all {
        for torn_write_bytes in [0, 13, 150] {
            crash(at, torn_write_bytes, SyncPolicy::Never, unwrapped)
                .unwrap_or_else(|e| panic!("after {at}, torn at {torn_write_bytes}: {e}"));
        }
    }
}

#[test]
fn a_machine_loss_after_any_operation_keeps_what_was_synced() {
    let (all, _) = operations(SyncPolicy::EachAppend);
    for at in 0..all {
        crash(at, 30, SyncPolicy::EachAppend, unwrapped).unwrap_or_else(|e| panic!("after {at}: {e}"));
    }
}

/// Delays one kind of operation until the next segment is removed, which swaps their order.
struct ReorderingStorage {
    inner: MemoryStorage,
    /// Whether an operation on a file is delayed.
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
    /// Carries out what was delayed.
    fn release(&mut self) -> io::Result<()> {
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
        // A delayed append comes before the one that follows it.
        if (self.delays)(Operation::Append, name) {
            self.release()?;
            self.delayed.push(DelayedOperation::Append(name.into(), bytes.to_vec()));
            return Ok(());
        }
        self.inner.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.release()?;
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
            self.release()?;
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

/// The crash tests are tested themselves: with two operations in the wrong order, some crash must lose something.
#[test]
fn crash_tests_detect_two_operations_in_the_wrong_order() {
    let manifest_after_removal: Wrap = |inner| {
        let delays = |operation, name: &str| operation == Operation::Rename && name == "ledger.manifest";
        Box::new(ReorderingStorage { inner, delays, delayed: Vec::new() })
    };
    let copies_after_removal: Wrap = |inner| {
        let delays = |operation, name: &str| operation == Operation::Append && name.starts_with("ledger-");
        Box::new(ReorderingStorage { inner, delays, delayed: Vec::new() })
    };
    let (all, _) = operations(SyncPolicy::Never);
    for reordered in [manifest_after_removal, copies_after_removal] {
        let detected = (0..all).filter(|at| crash(*at, 0, SyncPolicy::Never, reordered).is_err()).count();
        assert!(detected > 0, "a crash between the two goes unseen");
    }
}
