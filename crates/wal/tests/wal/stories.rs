//! What stands in the ledger after kills and long use.

use std::fs::{self, OpenOptions};
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use reeddock_wal::{Ledger, Record, Sync, Taken};
use reeddock_protocol::GivenUp;

const MOST: u64 = 60_000;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("reeddock-wal-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn open(&self) -> Ledger {
        Ledger::open(&self.0, MOST, Sync::Never).unwrap()
    }

    fn size(&self) -> u64 {
        fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn taken(id: &str) -> Record {
    Record::Taken(Taken {
        idempotency_key: None,
        id: id.into(),
        category: "order".into(),
        tenant: None,
        key: Some(9),
        destination: 3,
        outer_limit: 77,
        body: Bytes::from_static(b"\x00 any bytes \xff"),
    })
}

fn begun(id: &str, no: u32) -> Record {
    Record::Begun { id: id.into(), no, target: format!("t{no}"), at: 5 }
}

fn ids(ledger: &Ledger) -> Vec<String> {
    ledger.books().unended().iter().map(|u| u.id.0.to_string()).collect()
}

#[test]
fn what_is_owed_is_found_again_in_its_order_with_its_dispatches() {
    let folder = Folder::new("again");
    let mut ledger = folder.open();
    let returned = Record::Returned { id: "b".into(), no: 0, never_ran: true };
    ledger
        .append(&[taken("b"), taken("a"), taken("c"), begun("b", 0), returned, begun("b", 1)], Duration::ZERO)
        .unwrap();
    ledger.append(&[Record::Ended { id: "a".into(), notice: None }], Duration::ZERO).unwrap();
    ledger
        .append(&[Record::Ended { id: "c".into(), notice: Some(GivenUp::BrokenOff) }], Duration::ZERO)
        .unwrap();
    assert!(Ledger::open(&folder.0, MOST, Sync::Never).is_err(), "one process writes at a time");
    drop(ledger);
    let mut ledger = folder.open();
    assert_eq!(ids(&ledger), ["b"]);
    let b = ledger.books().unended()[0].clone();
    assert_eq!((&*b.category, b.key, b.destination, b.outer_limit), ("order", Some(9), 3, 77));
    assert_eq!(ledger.taken(&b).unwrap().body, Bytes::from_static(b"\x00 any bytes \xff"));
    let past: Vec<_> = b.dispatches.iter().map(|d| (&*d.target, d.ended)).collect();
    assert_eq!(past, [("t0", Some(true)), ("t1", None)]);
    assert_eq!(ledger.books().untold().map(|n| n.id.0.to_string()).collect::<Vec<_>>(), ["c"]);
    ledger.append(&[Record::Told { id: "c".into() }], Duration::ZERO).unwrap();
    drop(ledger);
    assert_eq!(folder.open().books().untold().count(), 0);
}

#[test]
fn a_torn_tail_is_cut_and_what_is_written_after_it_is_read() {
    let folder = Folder::new("torn");
    folder.open().append(&[taken("whole")], Duration::ZERO).unwrap();
    let name = folder.0.join("ledger-000000000001");
    let whole = fs::metadata(&name).unwrap().len();
    folder.open().append(&[taken("torn")], Duration::ZERO).unwrap();
    for length in (whole + 1)..fs::metadata(&name).unwrap().len() {
        let copy = Folder::new("torn-copy");
        for file in fs::read_dir(&folder.0).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), copy.0.join(file.file_name())).unwrap();
        }
        let torn = OpenOptions::new().write(true).open(copy.0.join("ledger-000000000001")).unwrap();
        torn.set_len(length).unwrap();
        let mut ledger = copy.open();
        assert!(ledger.findings().is_sound() && ledger.findings().torn > 0, "{length}");
        ledger.append(&[taken("later")], Duration::ZERO).unwrap();
        drop(ledger);
        assert_eq!(ids(&copy.open()), ["whole", "later"], "{length}");
    }
}

#[test]
fn long_use_stays_within_the_disk_and_loses_nothing() {
    let folder = Folder::new("long");
    let mut ledger = folder.open();
    ledger.append(&[taken("first"), begun("first", 0)], Duration::ZERO).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        ledger.append(&[taken(&id), begun(&id, 0)], Duration::ZERO).unwrap();
        ledger.append(&[Record::Ended { id, notice: None }], Duration::ZERO).unwrap();
        assert!(folder.size() <= MOST);
    }
    drop(ledger);
    let ledger = folder.open();
    assert_eq!(ids(&ledger), ["first"]);
    assert_eq!(ledger.books().unended()[0].dispatches.len(), 1);
}

#[test]
fn what_a_kill_during_compaction_left_is_cleared_away() {
    let folder = Folder::new("left");
    folder.open().append(&[taken("a")], Duration::ZERO).unwrap();
    fs::write(folder.0.join("ledger.manifest.new"), b"half of it").unwrap();
    assert_eq!(ids(&folder.open()), ["a"]);
    assert!(!folder.0.join("ledger.manifest.new").exists());
}
