//! Guards against state that is lost or changed when a folder on disk is opened again.

use std::fs::{self, OpenOptions};
use std::path::Path;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::{AcceptedMessage, AttemptState, Record, SyncPolicy, WriteAheadLog};
use tempfile::TempDir;

use crate::harness::{pending_ids, FIRST_SEGMENT, FOLDER_BYTES, NOW};
use crate::support::{finished, started};

/// Opens the log of a folder.
fn open(folder: &TempDir) -> WriteAheadLog {
    WriteAheadLog::open(folder.path(), FOLDER_BYTES, SyncPolicy::Never).unwrap()
}

/// Returns the size of all files in bytes, each rounded up to whole blocks of 512 bytes.
fn size_in_blocks(folder: &TempDir) -> u64 {
    let files = fs::read_dir(folder.path()).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
}

fn copy_files(from: &Path, to: &Path) {
    for file in fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}

/// Returns the record of a message with a binary body, without tenant and idempotency key.
fn accepted(id: &str) -> Record {
    Record::Accepted(AcceptedMessage {
        id: id.into(),
        class: "order".into(),
        tenant: None,
        ordering_key: Some(9),
        destination: 3,
        deadline_unix_us: 77,
        body: Bytes::from_static(b"\x00 any bytes \xff"),
        idempotency_key: None,
    })
}

#[test]
fn pending_messages_are_restored_in_order_with_their_attempts() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(&folder);
    let attempt_finished = Record::AttemptFinished { id: "b".into(), number: 0, proves_not_executed: true };
    let records =
        [accepted("b"), accepted("a"), accepted("c"), started("b", 0), attempt_finished, started("b", 1)];
    log.append(&records, NOW).unwrap();
    log.append(&[finished("a")], NOW).unwrap();
    log.append(&[Record::Finished { id: "c".into(), notice: Some(FinalAnswer::Failed) }], NOW).unwrap();
    let second = WriteAheadLog::open(folder.path(), FOLDER_BYTES, SyncPolicy::Never);
    let expected = "cannot lock the folder: another process has its write-ahead log open for writing";
    assert_eq!(second.err().unwrap().to_string(), expected);
    drop(log);

    let mut log = open(&folder);
    assert_eq!(pending_ids(&log), ["b"]);
    let b = log.index().pending()[0].clone();
    assert_eq!((&*b.class, b.ordering_key, b.destination, b.deadline_unix_us), ("order", Some(9), 3, 77));
    assert_eq!(log.read_message(&b).unwrap().body, Bytes::from_static(b"\x00 any bytes \xff"));
    let attempts: Vec<_> = b.attempts.iter().map(|attempt| (&*attempt.endpoint, attempt.state)).collect();
    assert_eq!(attempts, [("t0", AttemptState::NotExecuted), ("t1", AttemptState::InFlight)]);
    let notified: Vec<_> = log.index().unacknowledged_notices().map(|n| n.id.0.to_string()).collect();
    assert_eq!(notified, ["c"]);
    log.append(&[Record::NoticeAcknowledged { id: "c".into() }], NOW).unwrap();
    drop(log);
    assert_eq!(open(&folder).index().unacknowledged_notices().count(), 0);
}

#[test]
fn torn_write_is_cut_off_and_later_appends_are_read() {
    let folder = tempfile::tempdir().unwrap();
    open(&folder).append(&[accepted("whole")], NOW).unwrap();
    let segment = folder.path().join(FIRST_SEGMENT);
    let whole_bytes = fs::metadata(&segment).unwrap().len();
    open(&folder).append(&[accepted("torn")], NOW).unwrap();
    for length in (whole_bytes + 1)..fs::metadata(&segment).unwrap().len() {
        let copy = tempfile::tempdir().unwrap();
        copy_files(folder.path(), copy.path());
        let torn = OpenOptions::new().write(true).open(copy.path().join(FIRST_SEGMENT)).unwrap();
        torn.set_len(length).unwrap();
        let mut log = open(&copy);
        assert!(
            log.verification().is_sound() && log.verification().torn_bytes > 0,
            "segment cut to {length} bytes"
        );
        log.append(&[accepted("later")], NOW).unwrap();
        drop(log);
        assert_eq!(pending_ids(&open(&copy)), ["whole", "later"], "segment cut to {length} bytes");
    }
}

#[test]
fn many_appends_stay_within_the_folder_limit_and_lose_no_pending_message() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(&folder);
    log.append(&[accepted("first"), started("first", 0)], NOW).unwrap();
    for n in 0..3000 {
        let id = format!("e{n}");
        log.append(&[accepted(&id), started(&id, 0)], NOW).unwrap();
        log.append(&[finished(&id)], NOW).unwrap();
        assert!(size_in_blocks(&folder) <= FOLDER_BYTES);
    }
    drop(log);
    let log = open(&folder);
    assert_eq!(pending_ids(&log), ["first"]);
    assert_eq!(log.index().pending()[0].attempts.len(), 1);
}

#[test]
fn unfinished_manifest_of_a_killed_process_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    open(&folder).append(&[accepted("a")], NOW).unwrap();
    let next_manifest = folder.path().join("ledger.manifest.new");
    fs::write(&next_manifest, b"half of it").unwrap();
    assert_eq!(pending_ids(&open(&folder)), ["a"]);
    assert!(!next_manifest.exists());
}
