//! Bits that turn, disks that fill, files of another time.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::MessageId;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{
    Accepted, AttemptStarted, Checkpoint, PendingMessage, Record, Storage, Sync, WriteAheadLog,
};
use serde::Serialize;

use crate::load::{accepted, started, Load, Model};

const MOST: u64 = 60_000;
const NOW: Duration = Duration::ZERO;

fn open(memory: &MemoryStorage) -> WriteAheadLog {
    WriteAheadLog::open_in(Box::new(memory.after_a_kill()), MOST, Sync::Never).unwrap()
}

fn ended(id: &str) -> Record {
    Record::Finished { id: id.into(), notice: None }
}

/// A ledger of mixed records: some messages were sent, some returned, some ended.
fn mixed() -> (MemoryStorage, Model) {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    let mut model = Model::default();
    let groups = [
        vec![accepted("aaaa-out", 40), accepted("bbbb-never", 40), started("aaaa-out", 0)],
        vec![accepted("cccc-over", 40), started("cccc-over", 0), ended("cccc-over")],
        vec![
            accepted("dddd-told", 40),
            Record::Finished { id: "dddd-told".into(), notice: Some(FinalAnswer::Failed) },
        ],
        vec![
            started("bbbb-never", 0),
            Record::AttemptFinished { id: "bbbb-never".into(), no: 0, proves_not_executed: true },
        ],
        vec![accepted("eeee-fresh", 40), Record::NoticeAcknowledged { id: "dddd-told".into() }],
    ];
    for group in groups {
        log.append(&group, NOW).unwrap();
        group.iter().for_each(|r| model.apply(r));
    }
    (memory, model)
}

#[test]
fn with_any_bit_turned_no_envelope_vanishes_unnamed_and_none_that_was_out_counts_as_unsent() {
    let (memory, model) = mixed();
    let files: Vec<(String, u64)> = memory.files().unwrap().into_iter().collect();
    let mut tried = 0;
    for (name, size) in files.iter().filter(|(name, _)| name != "ledger.reserve") {
        for byte in 0..*size as usize {
            for bit in [0, 3, 7] {
                tried += 1;
                let hurt = memory.after_a_kill();
                hurt.flip(name, byte, bit);
                let at = format!("{name}, byte {byte}, bit {bit}");
                let log = open(&hurt);
                assert!(!log.verification().is_sound(), "{at}: not seen");
                let told: String = log.verification().damaged.iter().map(ToString::to_string).collect();
                assert!(told.contains(name.as_str()), "{at}: not named: {told}");
                let orphans: BTreeSet<MessageId> = log.index().orphans().0.cloned().collect();
                for (id, attempts) in &model.open {
                    let key = MessageId(id.as_str().into());
                    let Some(pending_bytes) = log.index().get(&key) else {
                        // Its place is told, and its name too unless the turned bit stands in that.
                        let named =
                            orphans.contains(&key) || told.contains(&id[..4]) || told.contains(&id[5..]);
                        assert!(named, "{at}: {id} has vanished: {told}");
                        continue;
                    };
                    let out = attempts.iter().any(|d| *d != Some(true));
                    let may_have_run =
                        pending_bytes.lost || pending_bytes.attempts.iter().any(|d| d.ended != Some(true));
                    assert!(!out || may_have_run, "{at}: {id} was out, and counts as unsent");
                }
                // What was over is either over still or counts as one that may have run.
                if let Some(over) = log.index().get(&MessageId("cccc-over".into())) {
                    assert!(over.lost || !over.attempts.is_empty(), "{at}");
                }
            }
        }
    }
    assert!(tried > 1500, "{tried}");
}

#[test]
fn noise_and_zeros_are_kept_and_nothing_is_written_behind_them() {
    for noise in [vec![0; 700], (0..700).map(|n| (n * 7 % 251) as u8).collect::<Vec<u8>>()] {
        let (memory, model) = mixed();
        let name = "ledger-000000000001";
        let mut bytes = memory.bytes(name);
        bytes.extend(&noise);
        memory.put(name, &bytes);
        let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        assert!(!log.verification().is_sound());
        assert_eq!(log.index().counts().0, model.open.len());
        log.append(&[accepted("later", 10)], NOW).unwrap();
        assert_eq!(memory.bytes(name), bytes, "left as it was found");
        assert!(open(&memory).index().get(&MessageId("later".into())).is_some());
        // Once nothing in it matters, it is kept aside.
        let mut load = Load::new(3, 300);
        load.model = Model { open: model.open.clone(), unacknowledged_notices: Default::default() };
        load.model.open.insert("later".into(), Vec::new());
        load.play(&mut log, 600).unwrap();
        assert!(memory.files().unwrap().contains_key(&format!("damaged-{name}")));
    }
}

#[test]
fn a_segment_that_is_missing_is_named() {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    for n in 0..40 {
        log.append(&[accepted(&format!("e{n}"), 300)], NOW).unwrap();
    }
    let mut hurt = memory.after_a_kill();
    hurt.remove("ledger-000000000002").unwrap();
    let log = open(&hurt);
    let told = log.verification().damaged[0].to_string();
    assert_eq!(told, "ledger-000000000002 is missing");
    // Those before it may have been sent, those behind it not.
    let pending_bytes = log.index().pending();
    assert!(pending_bytes.first().unwrap().lost && !pending_bytes.last().unwrap().lost);
}

#[test]
fn with_a_full_disk_nothing_is_taken_on_and_all_that_is_owed_gets_its_end() {
    for space in [9_000, 14_000, 23_000, 31_000] {
        let memory = MemoryStorage::default();
        memory.set(Faults { space: Some(space), ..Faults::default() });
        let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        let mut pending_bytes = Vec::new();
        let mut refused = 0;
        for n in 0..200 {
            let id = format!("e{n:03}");
            match log.append(&[accepted(&id, 300)], NOW) {
                Ok(written) if written.taken_on => pending_bytes.push(id),
                Ok(_) => refused += 1,
                Err(e) => panic!("{space}: {e}"),
            }
            if refused > 0 {
                break;
            }
        }
        assert!(refused > 0 && pending_bytes.len() > 3, "{space}: {} owed", pending_bytes.len());
        assert_eq!(log.room(), 0, "what is handed in is refused before it is owed");
        for id in &pending_bytes {
            log.append(&[started(id, 0)], NOW).unwrap_or_else(|e| panic!("{space}: begin {id}: {e}"));
        }
        // The oldest first, or the newest, whose ends free nothing at the front.
        if space % 2_000 == 0 {
            pending_bytes.reverse();
        }
        for id in &pending_bytes {
            log.append(&[ended(id)], NOW).unwrap_or_else(|e| panic!("{space}: end {id}: {e}"));
        }
        assert_eq!(open(&memory).index().counts(), (0, 0));
        // With space again, the reserve is made again and messages are accepted.
        memory.set(Faults::default());
        log.append(&[ended("none")], NOW).unwrap();
        assert!(log.room() > 0);
    }
}

#[test]
fn a_disk_that_fills_in_any_byte_of_a_load_loses_nothing() {
    for space in (3_000..40_000).step_by(211) {
        let memory = MemoryStorage::default();
        memory.set(Faults { space: Some(space), ..Faults::default() });
        let Ok(mut log) = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never) else {
            continue;
        };
        let mut load = Load::new(5, 200);
        for _ in 0..120 {
            let group = load.group(&log);
            match log.append(&group, NOW) {
                Ok(written) => {
                    let musts =
                        group.iter().filter(|r| written.taken_on || !matches!(r, Record::Accepted(_)));
                    musts.for_each(|r| load.model.apply(r));
                }
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::StorageFull, "{space}"),
            }
        }
        let after = open(&memory);
        assert!(after.verification().is_sound(), "{space}: {:?}", after.verification());
        Model::of(after.index()).between(&load.model, &load.model).unwrap_or_else(|e| panic!("{space}: {e}"));
    }
}

#[test]
fn a_rename_a_truncation_or_a_removal_that_fails_loses_nothing() {
    for n in 0..3 {
        let memory = MemoryStorage::default();
        let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        let mut load = Load::new(11, 300);
        load.play(&mut log, 60).unwrap();
        memory.set(Faults {
            refuses_renames: n == 0,
            refuses_truncations: n == 1,
            refuses_removals: n == 2,
            space: (n == 1).then(|| memory.size() + 2_000),
            ..Faults::default()
        });
        for _ in 0..100 {
            let group = load.group(&log);
            if let Ok(written) = log.append(&group, NOW) {
                let musts = group.iter().filter(|r| written.taken_on || !matches!(r, Record::Accepted(_)));
                musts.for_each(|r| load.model.apply(r));
            }
        }
        memory.set(Faults::default());
        let after = open(&memory);
        let open = |m: &Model| m.open.keys().cloned().collect::<Vec<_>>();
        let found: Vec<_> = after
            .index()
            .pending()
            .iter()
            .map(|u| u.id.0.to_string())
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        assert_eq!(found, open(&load.model), "{n}");
    }
}

/// Records as they stood in the single file and in segments of version 1, when no message had an idempotency key.
#[derive(Serialize)]
enum OldRecord {
    Accepted(AcceptedV1),
    AttemptStarted { id: String, no: u32, endpoint: String, at: u64 },
    AttemptFinished { id: String, no: u32, proves_not_executed: bool },
    Finished { id: String, notice: Option<FinalAnswer> },
    NoticeAcknowledged { id: String },
    Checkpoint { accepted: AcceptedV1, place: u64, attempts: Vec<AttemptStarted>, lost: bool },
}

#[derive(Serialize)]
struct AcceptedV1 {
    id: String,
    class: String,
    tenant: Option<String>,
    key: Option<u64>,
    destination: u64,
    deadline: u64,
    body: Vec<u8>,
}

fn old(record: &Record) -> OldRecord {
    let old_taken = |t: &Accepted| AcceptedV1 {
        id: t.id.clone(),
        class: t.class.clone(),
        tenant: t.tenant.clone(),
        key: t.key,
        destination: t.destination,
        deadline: t.deadline,
        body: t.body.to_vec(),
    };
    match record.clone() {
        Record::Accepted(accepted) => OldRecord::Accepted(old_taken(&accepted)),
        Record::AttemptStarted { id, no, endpoint, at } => OldRecord::AttemptStarted { id, no, endpoint, at },
        Record::AttemptFinished { id, no, proves_not_executed } => {
            OldRecord::AttemptFinished { id, no, proves_not_executed }
        }
        Record::Finished { id, notice } => OldRecord::Finished { id, notice },
        Record::NoticeAcknowledged { id } => OldRecord::NoticeAcknowledged { id },
        Record::Checkpoint(c) => OldRecord::Checkpoint {
            accepted: old_taken(&c.accepted),
            place: c.place,
            attempts: c.attempts,
            lost: c.lost,
        },
    }
}

/// One frame of the single file of before.
fn old_frame(record: &Record) -> Vec<u8> {
    let value = postcard::to_allocvec(&old(record)).unwrap();
    let mut bytes = (value.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&value).to_le_bytes());
    bytes.extend(value);
    bytes
}

/// A frame of version 1.
fn framed(value: &impl Serialize) -> Vec<u8> {
    let value = postcard::to_allocvec(value).unwrap();
    let mut bytes = vec![0xd7, 0x5e];
    bytes.extend((value.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&value).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(value);
    bytes
}

/// A segment of version 1.
fn old_segment(number: u64, records: &[Record]) -> Vec<u8> {
    let mut bytes = b"reeddock".to_vec();
    bytes.extend(1u16.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(records.iter().flat_map(|record| framed(&old(record))));
    bytes
}

#[test]
fn segments_of_version_1_are_read_and_nothing_is_written_behind_them() {
    let name = "ledger-000000000001";
    let attempts = vec![AttemptStarted { endpoint: "t0".into(), at: 5, ended: Some(true) }];
    let Record::Accepted(copied) = accepted("copied", 30) else { unreachable!() };
    let records = vec![
        accepted("fresh", 30),
        Record::Checkpoint(Checkpoint { accepted: copied, place: 7, attempts, lost: false }),
        accepted("over", 30),
        Record::Finished { id: "over".into(), notice: Some(FinalAnswer::Rejected { retry_after: None }) },
        started("fresh", 0),
    ];
    let memory = MemoryStorage::default();
    memory.put(name, &old_segment(1, &records));
    memory.put("ledger.manifest", &framed(&(1u16, 1u64)));
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    assert!(log.verification().is_sound());
    let pending_bytes = |log: &WriteAheadLog| {
        let pending = log.index().pending();
        let one = |u: &&PendingMessage| {
            (u.id.0.to_string(), u.attempts.len(), log.accepted(u).unwrap().idempotency_key)
        };
        pending.iter().map(one).collect::<Vec<_>>()
    };
    let before = [("fresh".into(), 1, None), ("copied".into(), 1, None)];
    assert_eq!(pending_bytes(&log), before);
    let old = memory.bytes(name);
    log.append(&[accepted("new", 30)], NOW).unwrap();
    assert_eq!(memory.bytes(name), old, "the program of before still reads it");
    assert_eq!(memory.bytes("ledger-000000000002")[8..10], 2u16.to_le_bytes());
    let again = open(&memory);
    let new = ("new".to_string(), 0, Some("key of new".to_string()));
    assert_eq!(pending_bytes(&again), [before[0].clone(), before[1].clone(), new]);
}

fn old_file() -> (Vec<u8>, Model) {
    let mut model = Model::default();
    let mut bytes = Vec::new();
    for n in 0..20 {
        let id = format!("old{n:02}");
        let mut records = vec![accepted(&id, 30), started(&id, 0)];
        if n % 3 == 0 {
            records.push(ended(&id));
        }
        for record in records {
            bytes.extend(old_frame(&record));
            model.apply(&record);
        }
    }
    (bytes, model)
}

#[test]
fn the_old_file_is_moved_over_whatever_operation_the_start_dies_after() {
    let (bytes, model) = old_file();
    let started = |at: Option<u64>| {
        let memory = MemoryStorage::default();
        memory.put("ledger", &bytes);
        memory.set(Faults { stops_after: at, tears_at: 9, ..Faults::default() });
        let _ = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never);
        memory
    };
    let all = started(None).operations();
    for at in 0..=all {
        let left = started(Some(at)).after_a_kill();
        let log = WriteAheadLog::open_in(Box::new(left.clone()), MOST, Sync::Never).unwrap();
        assert_eq!(Model::of(log.index()), model, "dead after {at}");
        assert!(log.verification().is_sound(), "dead after {at}: {:?}", log.verification());
        let first = log.index().pending()[0].clone();
        assert_eq!(log.accepted(&first).unwrap().body.len(), 30);
        assert!(!left.files().unwrap().contains_key("ledger"), "dead after {at}");
    }
}

#[test]
fn an_old_file_with_a_turned_bit_is_read_past_it_and_kept() {
    let (mut bytes, model) = old_file();
    bytes[40] ^= 4;
    let memory = MemoryStorage::default();
    memory.put("ledger", &bytes);
    let log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    // One of them is damaged; all others are there, and no attempt is forgotten.
    assert!(log.index().counts().0 >= model.open.len() - 1);
    assert!(log.index().pending().iter().all(|u| !u.attempts.is_empty() || u.lost));
    assert_eq!(memory.bytes("damaged-ledger"), bytes);
}

#[test]
fn a_later_version_is_refused_and_left_untouched() {
    let (memory, _) = mixed();
    let name = "ledger-000000000001";
    let mut bytes = memory.bytes(name);
    bytes[8] = 9;
    let sum = crc32fast::hash(&bytes[..18]);
    bytes[18..22].copy_from_slice(&sum.to_le_bytes());
    memory.put(name, &bytes);
    let operations = memory.operations();
    let refused =
        WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).err().unwrap().to_string();
    assert_eq!(refused, format!("{name} is of version 9, and this program knows 2 at most"));
    assert_eq!(memory.operations(), operations);
}

#[test]
fn a_ledger_of_ended_envelopes_only_comes_down_to_little() {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), 1 << 20, Sync::Never).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        log.append(&[accepted(&id, 300), started(&id, 0)], NOW).unwrap();
        log.append(&[ended(&id)], NOW).unwrap();
        assert!(log.used() <= 1 << 20);
    }
    // The folder is not filled with what is over.
    assert!(log.used() < 300_000, "{}", log.used());
    assert_eq!(open(&memory).index().counts(), (0, 0));
}

#[test]
fn an_envelope_that_ends_while_its_segment_is_emptied_stays_over() {
    let memory = MemoryStorage::default();
    let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    let mut open_ids: Vec<String> = Vec::new();
    for n in 0..400 {
        let id = format!("e{n:04}");
        log.append(&[accepted(&id, 200), started(&id, 0)], NOW).unwrap();
        open_ids.push(id);
        if open_ids.len() > 12 {
            // Those in the middle of the oldest segments, as they are being copied.
            let over = open_ids.remove(n % 7);
            log.append(&[ended(&over)], NOW).unwrap();
        }
        let found = open(&memory);
        let ids: Vec<String> = found.index().pending().iter().map(|u| u.id.0.to_string()).collect();
        assert_eq!(ids, open_ids, "after {n}, in the order of taking on");
        assert!(found.index().pending().iter().all(|u| u.attempts.len() == 1));
    }
}
