//! What stands in the write-ahead log after kills and long use.

use std::fs::{self, OpenOptions};
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::{Accepted, Record, Sync, WriteAheadLog};

const MOST: u64 = 60_000;

struct Storage(PathBuf);

impl Storage {
    fn new(name: &str) -> Storage {
        let folder = std::env::temp_dir().join(format!("reeddock-wal-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Storage(folder)
    }

    fn open(&self) -> WriteAheadLog {
        WriteAheadLog::open(&self.0, MOST, Sync::Never).unwrap()
    }

    fn size(&self) -> u64 {
        fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn accepted(id: &str) -> Record {
    Record::Accepted(Accepted {
        idempotency_key: None,
        id: id.into(),
        class: "order".into(),
        tenant: None,
        key: Some(9),
        destination: 3,
        deadline: 77,
        body: Bytes::from_static(b"\x00 any bytes \xff"),
    })
}

fn started(id: &str, no: u32) -> Record {
    Record::AttemptStarted { id: id.into(), no, endpoint: format!("t{no}"), at: 5 }
}

fn ids(log: &WriteAheadLog) -> Vec<String> {
    log.index().pending().iter().map(|u| u.id.0.to_string()).collect()
}

#[test]
fn what_is_owed_is_found_again_in_its_order_with_its_dispatches() {
    let folder = Storage::new("again");
    let mut log = folder.open();
    let returned = Record::AttemptFinished { id: "b".into(), no: 0, proves_not_executed: true };
    log.append(
        &[accepted("b"), accepted("a"), accepted("c"), started("b", 0), returned, started("b", 1)],
        Duration::ZERO,
    )
    .unwrap();
    log.append(&[Record::Finished { id: "a".into(), notice: None }], Duration::ZERO).unwrap();
    log.append(&[Record::Finished { id: "c".into(), notice: Some(FinalAnswer::Failed) }], Duration::ZERO)
        .unwrap();
    assert!(WriteAheadLog::open(&folder.0, MOST, Sync::Never).is_err(), "one process writes at a time");
    drop(log);
    let mut log = folder.open();
    assert_eq!(ids(&log), ["b"]);
    let b = log.index().pending()[0].clone();
    assert_eq!((&*b.class, b.key, b.destination, b.deadline), ("order", Some(9), 3, 77));
    assert_eq!(log.accepted(&b).unwrap().body, Bytes::from_static(b"\x00 any bytes \xff"));
    let past: Vec<_> = b.attempts.iter().map(|d| (&*d.endpoint, d.ended)).collect();
    assert_eq!(past, [("t0", Some(true)), ("t1", None)]);
    assert_eq!(log.index().unacknowledged_notices().map(|n| n.id.0.to_string()).collect::<Vec<_>>(), ["c"]);
    log.append(&[Record::NoticeAcknowledged { id: "c".into() }], Duration::ZERO).unwrap();
    drop(log);
    assert_eq!(folder.open().index().unacknowledged_notices().count(), 0);
}

#[test]
fn a_torn_tail_is_cut_and_what_is_written_after_it_is_read() {
    let folder = Storage::new("torn");
    folder.open().append(&[accepted("whole")], Duration::ZERO).unwrap();
    let name = folder.0.join("ledger-000000000001");
    let whole = fs::metadata(&name).unwrap().len();
    folder.open().append(&[accepted("torn")], Duration::ZERO).unwrap();
    for length in (whole + 1)..fs::metadata(&name).unwrap().len() {
        let copy = Storage::new("torn-copy");
        for file in fs::read_dir(&folder.0).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), copy.0.join(file.file_name())).unwrap();
        }
        let torn = OpenOptions::new().write(true).open(copy.0.join("ledger-000000000001")).unwrap();
        torn.set_len(length).unwrap();
        let mut log = copy.open();
        assert!(log.verification().is_sound() && log.verification().torn > 0, "{length}");
        log.append(&[accepted("later")], Duration::ZERO).unwrap();
        drop(log);
        assert_eq!(ids(&copy.open()), ["whole", "later"], "{length}");
    }
}

#[test]
fn long_use_stays_within_the_disk_and_loses_nothing() {
    let folder = Storage::new("long");
    let mut log = folder.open();
    log.append(&[accepted("first"), started("first", 0)], Duration::ZERO).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        log.append(&[accepted(&id), started(&id, 0)], Duration::ZERO).unwrap();
        log.append(&[Record::Finished { id, notice: None }], Duration::ZERO).unwrap();
        assert!(folder.size() <= MOST);
    }
    drop(log);
    let log = folder.open();
    assert_eq!(ids(&log), ["first"]);
    assert_eq!(log.index().pending()[0].attempts.len(), 1);
}

#[test]
fn what_a_kill_during_compaction_left_is_cleared_away() {
    let folder = Storage::new("left");
    folder.open().append(&[accepted("a")], Duration::ZERO).unwrap();
    fs::write(folder.0.join("ledger.manifest.new"), b"half of it").unwrap();
    assert_eq!(ids(&folder.open()), ["a"]);
    assert!(!folder.0.join("ledger.manifest.new").exists());
}
