//! The process dies, or the machine is lost, after any single operation.

use std::collections::BTreeMap;
use std::io::{self, Read};

use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{Storage, Sync, WriteAheadLog};

use crate::load::{accepted, Load, Model};

const MOST: u64 = 60_000;
const GROUPS: usize = 200;
const BODY: usize = 300;

type Wrap = fn(MemoryStorage) -> Box<dyn Storage>;

fn plain(memory: MemoryStorage) -> Box<dyn Storage> {
    Box::new(memory)
}

/// Plays the load until the folder stops, and holds what the next start finds against the reference.
fn crash(at: u64, tears_at: usize, sync: Sync, wrap: Wrap) -> Result<(), String> {
    let memory = MemoryStorage::default();
    memory.set(Faults { stops_after: Some(at), tears_at, ..Faults::default() });
    let mut load = Load::new(7, BODY);
    let opened = WriteAheadLog::open_in(wrap(memory.clone()), MOST, sync);
    let played = match opened {
        Ok(mut log) => load.play(&mut log, GROUPS).map_err(|(_, before, after)| (before, after)),
        Err(_) => Ok(()),
    };
    let (before, after) = match played {
        Ok(()) => (load.model.clone(), load.model.clone()),
        Err(both) => both,
    };
    let left = if sync == Sync::Each { memory.after_a_loss() } else { memory.after_a_kill() };
    let mut log = WriteAheadLog::open_in(Box::new(left.clone()), MOST, sync).map_err(|e| e.to_string())?;
    if !log.verification().is_sound() {
        return Err(format!("damage where there was a crash: {:?}", log.verification().damaged));
    }
    Model::of(log.index()).between(&before, &after)?;
    // And it goes on from there.
    let mut next = Load::new(8, BODY);
    next.model = Model::of(log.index());
    log.append(&[accepted("later", 10)], Default::default()).map_err(|e| e.to_string())?;
    next.model.open.insert("later".into(), Vec::new());
    drop(log);
    let again =
        WriteAheadLog::open_in(Box::new(left.after_a_kill()), MOST, sync).map_err(|e| e.to_string())?;
    Model::of(again.index()).between(&next.model, &next.model)
}

/// Operations of the whole load, and how many of them compaction did.
fn operations(sync: Sync) -> (u64, usize) {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, sync).unwrap();
    let opened = memory.operations();
    Load::new(7, BODY).play(&mut log, GROUPS).unwrap();
    assert!(opened > 0);
    let log = memory.log();
    (memory.operations(), log.iter().filter(|l| l.starts_with("rename") || l.starts_with("remove")).count())
}

#[test]
fn killed_after_any_operation_and_at_torn_bytes_nothing_is_lost_or_owed_twice() {
    let (all, of_compaction) = operations(Sync::Never);
    assert!(all > 220 && of_compaction > 15, "{all} operations, {of_compaction} of compaction");
    for at in 0..all {
        for tears_at in [0, 13, 150] {
            crash(at, tears_at, Sync::Never, plain)
                .unwrap_or_else(|e| panic!("after {at}, torn at {tears_at}: {e}"));
        }
    }
}

#[test]
fn with_the_machine_lost_after_any_operation_what_was_synced_is_there() {
    let (all, _) = operations(Sync::Each);
    for at in 0..all {
        crash(at, 30, Sync::Each, plain).unwrap_or_else(|e| panic!("after {at}: {e}"));
    }
}

/// Holds back one kind of operation until the next segment is removed, which swaps their order.
struct Swapped {
    inside: MemoryStorage,
    holds: fn(&str, &str) -> bool,
    held: Vec<Held>,
}

enum Held {
    Append(String, Vec<u8>),
    Rename(String, String),
}

impl Swapped {
    fn release(&mut self) -> io::Result<()> {
        for held in std::mem::take(&mut self.held) {
            match held {
                Held::Append(name, bytes) => self.inside.append(&name, &bytes)?,
                Held::Rename(from, to) => self.inside.rename(&from, &to)?,
            }
        }
        Ok(())
    }
}

impl Storage for Swapped {
    fn files(&self) -> io::Result<BTreeMap<String, u64>> {
        self.inside.files()
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // An append behind one that is held back comes after it.
        if (self.holds)("append", name) {
            self.release()?;
            self.held.push(Held::Append(name.into(), bytes.to_vec()));
            return Ok(());
        }
        self.inside.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.release()?;
        self.inside.truncate(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if (self.holds)("rename", to) {
            self.held.push(Held::Rename(from.into(), to.into()));
            return Ok(());
        }
        self.inside.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.inside.remove(name);
        if name.starts_with("ledger-") {
            self.release()?;
        }
        removed
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inside.sync(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.inside.sync_names()
    }
    fn reader(&self, name: &str) -> io::Result<Box<dyn Read + '_>> {
        self.inside.reader(name)
    }
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.inside.read_at(name, offset, length)
    }
}

/// The check itself is checked: with two operations in the wrong order some crash is seen to lose something.
#[test]
fn with_two_operations_swapped_the_crash_test_fails() {
    let manifest_after_removal: Wrap = |inside| {
        let holds = |what: &str, name: &str| what == "rename" && name == "ledger.manifest";
        Box::new(Swapped { inside, holds, held: Vec::new() })
    };
    let copies_after_removal: Wrap = |inside| {
        let holds = |what: &str, name: &str| what == "append" && name.starts_with("ledger-");
        Box::new(Swapped { inside, holds, held: Vec::new() })
    };
    let (all, _) = operations(Sync::Never);
    for swapped in [manifest_after_removal, copies_after_removal] {
        let caught = (0..all).filter(|at| crash(*at, 0, Sync::Never, swapped).is_err()).count();
        assert!(caught > 0, "a crash between the two goes unseen");
    }
}
