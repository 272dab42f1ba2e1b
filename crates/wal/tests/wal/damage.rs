//! Bits that turn, disks that fill, files of another time.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::EnvelopeId;
use reeddock_wal::memory::{Faults, Memory};
use reeddock_wal::{Begun, Carried, Folder, Ledger, Record, Sync, Taken, Unended};
use reeddock_protocol::GivenUp;
use serde::Serialize;

use crate::load::{begun, taken, Load, Model};

const MOST: u64 = 60_000;
const NOW: Duration = Duration::ZERO;

fn open(memory: &Memory) -> Ledger {
    Ledger::open_in(Box::new(memory.after_a_kill()), MOST, Sync::Never).unwrap()
}

fn ended(id: &str) -> Record {
    Record::Ended { id: id.into(), notice: None }
}

/// A ledger of mixed records: some envelopes were sent, some returned, some ended.
fn mixed() -> (Memory, Model) {
    let memory = Memory::default();
    let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    let mut model = Model::default();
    let groups = [
        vec![taken("aaaa-out", 40), taken("bbbb-never", 40), begun("aaaa-out", 0)],
        vec![taken("cccc-over", 40), begun("cccc-over", 0), ended("cccc-over")],
        vec![
            taken("dddd-told", 40),
            Record::Ended { id: "dddd-told".into(), notice: Some(GivenUp::BrokenOff) },
        ],
        vec![begun("bbbb-never", 0), Record::Returned { id: "bbbb-never".into(), no: 0, never_ran: true }],
        vec![taken("eeee-fresh", 40), Record::Told { id: "dddd-told".into() }],
    ];
    for group in groups {
        ledger.append(&group, NOW).unwrap();
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
                let ledger = open(&hurt);
                assert!(!ledger.findings().is_sound(), "{at}: not seen");
                let told: String = ledger.findings().damaged.iter().map(ToString::to_string).collect();
                assert!(told.contains(name.as_str()), "{at}: not named: {told}");
                let orphans: BTreeSet<EnvelopeId> = ledger.books().orphans().0.cloned().collect();
                for (id, dispatches) in &model.open {
                    let key = EnvelopeId(id.as_str().into());
                    let Some(owed) = ledger.books().get(&key) else {
                        // Its place is told, and its name too unless the turned bit stands in that.
                        let named =
                            orphans.contains(&key) || told.contains(&id[..4]) || told.contains(&id[5..]);
                        assert!(named, "{at}: {id} has vanished: {told}");
                        continue;
                    };
                    let out = dispatches.iter().any(|d| *d != Some(true));
                    let may_have_run = owed.lost || owed.dispatches.iter().any(|d| d.ended != Some(true));
                    assert!(!out || may_have_run, "{at}: {id} was out, and counts as unsent");
                }
                // What was over is either over still or counts as one that may have run.
                if let Some(over) = ledger.books().get(&EnvelopeId("cccc-over".into())) {
                    assert!(over.lost || !over.dispatches.is_empty(), "{at}");
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
        let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        assert!(!ledger.findings().is_sound());
        assert_eq!(ledger.books().counts().0, model.open.len());
        ledger.append(&[taken("later", 10)], NOW).unwrap();
        assert_eq!(memory.bytes(name), bytes, "left as it was found");
        assert!(open(&memory).books().get(&EnvelopeId("later".into())).is_some());
        // Once nothing in it matters, it is kept aside.
        let mut load = Load::new(3, 300);
        load.model = Model { open: model.open.clone(), untold: Default::default() };
        load.model.open.insert("later".into(), Vec::new());
        load.play(&mut ledger, 600).unwrap();
        assert!(memory.files().unwrap().contains_key(&format!("damaged-{name}")));
    }
}

#[test]
fn a_segment_that_is_missing_is_named() {
    let memory = Memory::default();
    let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    for n in 0..40 {
        ledger.append(&[taken(&format!("e{n}"), 300)], NOW).unwrap();
    }
    let mut hurt = memory.after_a_kill();
    hurt.remove("ledger-000000000002").unwrap();
    let ledger = open(&hurt);
    let told = ledger.findings().damaged[0].to_string();
    assert_eq!(told, "ledger-000000000002 is missing");
    // Those before it may have been sent, those behind it not.
    let owed = ledger.books().unended();
    assert!(owed.first().unwrap().lost && !owed.last().unwrap().lost);
}

#[test]
fn with_a_full_disk_nothing_is_taken_on_and_all_that_is_owed_gets_its_end() {
    for space in [9_000, 14_000, 23_000, 31_000] {
        let memory = Memory::default();
        memory.set(Faults { space: Some(space), ..Faults::default() });
        let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        let mut owed = Vec::new();
        let mut refused = 0;
        for n in 0..200 {
            let id = format!("e{n:03}");
            match ledger.append(&[taken(&id, 300)], NOW) {
                Ok(written) if written.taken_on => owed.push(id),
                Ok(_) => refused += 1,
                Err(e) => panic!("{space}: {e}"),
            }
            if refused > 0 {
                break;
            }
        }
        assert!(refused > 0 && owed.len() > 3, "{space}: {} owed", owed.len());
        assert_eq!(ledger.room(), 0, "what is handed in is refused before it is owed");
        for id in &owed {
            ledger.append(&[begun(id, 0)], NOW).unwrap_or_else(|e| panic!("{space}: begin {id}: {e}"));
        }
        // The oldest first, or the newest, whose ends free nothing at the front.
        if space % 2_000 == 0 {
            owed.reverse();
        }
        for id in &owed {
            ledger.append(&[ended(id)], NOW).unwrap_or_else(|e| panic!("{space}: end {id}: {e}"));
        }
        assert_eq!(open(&memory).books().counts(), (0, 0));
        // With space again, the reserve is made again and envelopes are taken on.
        memory.set(Faults::default());
        ledger.append(&[ended("none")], NOW).unwrap();
        assert!(ledger.room() > 0);
    }
}

#[test]
fn a_disk_that_fills_in_any_byte_of_a_load_loses_nothing() {
    for space in (3_000..40_000).step_by(211) {
        let memory = Memory::default();
        memory.set(Faults { space: Some(space), ..Faults::default() });
        let Ok(mut ledger) = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never) else { continue };
        let mut load = Load::new(5, 200);
        for _ in 0..120 {
            let group = load.group(&ledger);
            match ledger.append(&group, NOW) {
                Ok(written) => {
                    let musts = group.iter().filter(|r| written.taken_on || !matches!(r, Record::Taken(_)));
                    musts.for_each(|r| load.model.apply(r));
                }
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::StorageFull, "{space}"),
            }
        }
        let after = open(&memory);
        assert!(after.findings().is_sound(), "{space}: {:?}", after.findings());
        Model::of(after.books()).between(&load.model, &load.model).unwrap_or_else(|e| panic!("{space}: {e}"));
    }
}

#[test]
fn a_rename_a_truncation_or_a_removal_that_fails_loses_nothing() {
    for n in 0..3 {
        let memory = Memory::default();
        let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
        let mut load = Load::new(11, 300);
        load.play(&mut ledger, 60).unwrap();
        memory.set(Faults {
            refuses_renames: n == 0,
            refuses_truncations: n == 1,
            refuses_removals: n == 2,
            space: (n == 1).then(|| memory.size() + 2_000),
            ..Faults::default()
        });
        for _ in 0..100 {
            let group = load.group(&ledger);
            if let Ok(written) = ledger.append(&group, NOW) {
                let musts = group.iter().filter(|r| written.taken_on || !matches!(r, Record::Taken(_)));
                musts.for_each(|r| load.model.apply(r));
            }
        }
        memory.set(Faults::default());
        let after = open(&memory);
        let open = |m: &Model| m.open.keys().cloned().collect::<Vec<_>>();
        let found: Vec<_> = after
            .books()
            .unended()
            .iter()
            .map(|u| u.id.0.to_string())
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        assert_eq!(found, open(&load.model), "{n}");
    }
}

/// Records as they stood in the single file and in segments of version 1, when no envelope had an idempotency key.
#[derive(Serialize)]
enum OldRecord {
    Taken(OldTaken),
    Begun { id: String, no: u32, target: String, at: u64 },
    Returned { id: String, no: u32, never_ran: bool },
    Ended { id: String, notice: Option<GivenUp> },
    Told { id: String },
    Carried { taken: OldTaken, place: u64, dispatches: Vec<Begun>, lost: bool },
}

#[derive(Serialize)]
struct OldTaken {
    id: String,
    category: String,
    tenant: Option<String>,
    key: Option<u64>,
    destination: u64,
    outer_limit: u64,
    body: Vec<u8>,
}

fn old(record: &Record) -> OldRecord {
    let old_taken = |t: &Taken| OldTaken {
        id: t.id.clone(),
        category: t.category.clone(),
        tenant: t.tenant.clone(),
        key: t.key,
        destination: t.destination,
        outer_limit: t.outer_limit,
        body: t.body.to_vec(),
    };
    match record.clone() {
        Record::Taken(taken) => OldRecord::Taken(old_taken(&taken)),
        Record::Begun { id, no, target, at } => OldRecord::Begun { id, no, target, at },
        Record::Returned { id, no, never_ran } => OldRecord::Returned { id, no, never_ran },
        Record::Ended { id, notice } => OldRecord::Ended { id, notice },
        Record::Told { id } => OldRecord::Told { id },
        Record::Carried(c) => OldRecord::Carried {
            taken: old_taken(&c.taken),
            place: c.place,
            dispatches: c.dispatches,
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
    let dispatches = vec![Begun { target: "t0".into(), at: 5, ended: Some(true) }];
    let Record::Taken(copied) = taken("copied", 30) else { unreachable!() };
    let records = vec![
        taken("fresh", 30),
        Record::Carried(Carried { taken: copied, place: 7, dispatches, lost: false }),
        taken("over", 30),
        Record::Ended { id: "over".into(), notice: Some(GivenUp::Shed(None)) },
        begun("fresh", 0),
    ];
    let memory = Memory::default();
    memory.put(name, &old_segment(1, &records));
    memory.put("ledger.manifest", &framed(&(1u16, 1u64)));
    let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    assert!(ledger.findings().is_sound());
    let owed = |ledger: &Ledger| {
        let unended = ledger.books().unended();
        let one =
            |u: &&Unended| (u.id.0.to_string(), u.dispatches.len(), ledger.taken(u).unwrap().idempotency_key);
        unended.iter().map(one).collect::<Vec<_>>()
    };
    let before = [("fresh".into(), 1, None), ("copied".into(), 1, None)];
    assert_eq!(owed(&ledger), before);
    let old = memory.bytes(name);
    ledger.append(&[taken("new", 30)], NOW).unwrap();
    assert_eq!(memory.bytes(name), old, "the program of before still reads it");
    assert_eq!(memory.bytes("ledger-000000000002")[8..10], 2u16.to_le_bytes());
    let again = open(&memory);
    let new = ("new".to_string(), 0, Some("key of new".to_string()));
    assert_eq!(owed(&again), [before[0].clone(), before[1].clone(), new]);
}

fn old_file() -> (Vec<u8>, Model) {
    let mut model = Model::default();
    let mut bytes = Vec::new();
    for n in 0..20 {
        let id = format!("old{n:02}");
        let mut records = vec![taken(&id, 30), begun(&id, 0)];
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
        let memory = Memory::default();
        memory.put("ledger", &bytes);
        memory.set(Faults { stops_after: at, tears_at: 9, ..Faults::default() });
        let _ = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never);
        memory
    };
    let all = started(None).operations();
    for at in 0..=all {
        let left = started(Some(at)).after_a_kill();
        let ledger = Ledger::open_in(Box::new(left.clone()), MOST, Sync::Never).unwrap();
        assert_eq!(Model::of(ledger.books()), model, "dead after {at}");
        assert!(ledger.findings().is_sound(), "dead after {at}: {:?}", ledger.findings());
        let first = ledger.books().unended()[0].clone();
        assert_eq!(ledger.taken(&first).unwrap().body.len(), 30);
        assert!(!left.files().unwrap().contains_key("ledger"), "dead after {at}");
    }
}

#[test]
fn an_old_file_with_a_turned_bit_is_read_past_it_and_kept() {
    let (mut bytes, model) = old_file();
    bytes[40] ^= 4;
    let memory = Memory::default();
    memory.put("ledger", &bytes);
    let ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    // One of them is damaged; all others are there, and no dispatch is forgotten.
    assert!(ledger.books().counts().0 >= model.open.len() - 1);
    assert!(ledger.books().unended().iter().all(|u| !u.dispatches.is_empty() || u.lost));
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
    let refused = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).err().unwrap().to_string();
    assert_eq!(refused, format!("{name} is of version 9, and this program knows 2 at most"));
    assert_eq!(memory.operations(), operations);
}

#[test]
fn a_ledger_of_ended_envelopes_only_comes_down_to_little() {
    let memory = Memory::default();
    let mut ledger = Ledger::open_in(Box::new(memory.clone()), 1 << 20, Sync::Never).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        ledger.append(&[taken(&id, 300), begun(&id, 0)], NOW).unwrap();
        ledger.append(&[ended(&id)], NOW).unwrap();
        assert!(ledger.used() <= 1 << 20);
    }
    // The folder is not filled with what is over.
    assert!(ledger.used() < 300_000, "{}", ledger.used());
    assert_eq!(open(&memory).books().counts(), (0, 0));
}

#[test]
fn an_envelope_that_ends_while_its_segment_is_emptied_stays_over() {
    let memory = Memory::default();
    let mut ledger = Ledger::open_in(Box::new(memory.clone()), MOST, Sync::Never).unwrap();
    let mut open_ids: Vec<String> = Vec::new();
    for n in 0..400 {
        let id = format!("e{n:04}");
        ledger.append(&[taken(&id, 200), begun(&id, 0)], NOW).unwrap();
        open_ids.push(id);
        if open_ids.len() > 12 {
            // Those in the middle of the oldest segments, as they are being copied.
            let over = open_ids.remove(n % 7);
            ledger.append(&[ended(&over)], NOW).unwrap();
        }
        let found = open(&memory);
        let ids: Vec<String> = found.books().unended().iter().map(|u| u.id.0.to_string()).collect();
        assert_eq!(ids, open_ids, "after {n}, in the order of taking on");
        assert!(found.books().unended().iter().all(|u| u.dispatches.len() == 1));
    }
}
