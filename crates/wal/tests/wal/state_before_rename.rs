//! Guards against a changed encoding: state folders that an earlier build wrote must stay readable.
//! `tests/fixtures/state-before-rename/README.md` describes how the folders were written.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use reeddock_wal::{
    inspect, AcceptedMessage, AttemptState, Inspection, PendingCounts, PendingIndex, PendingMessage, Record,
    RecordedAttempt, SyncPolicy, WriteAheadLog,
};
use tempfile::TempDir;

use crate::harness::{pending_ids, FOLDER_BYTES, NOW};

/// A state folder that an earlier build wrote.
#[derive(Clone, Copy)]
struct Fixture {
    name: &'static str,
    message_count: u64,
    /// Whether messages have idempotency keys, which the single file does not have.
    has_idempotency_keys: bool,
}

const APPENDED: Fixture = Fixture { name: "appended", message_count: 60, has_idempotency_keys: true };
const COMPACTED: Fixture = Fixture { name: "compacted", message_count: 400, has_idempotency_keys: true };
const SINGLE_FILE: Fixture = Fixture { name: "single-file", message_count: 60, has_idempotency_keys: false };

/// First message number of each run of four pending messages in the fixture `compacted`, in the order of the
/// earlier build.
///
/// The order differs from the order of acceptance, because the numbers of acceptance start from 1 again if
/// earlier segments were removed, while checkpoints keep their numbers.
const COMPACTED_ORDER: [u64; 8] = [0, 300, 50, 100, 150, 200, 350, 250];

/// An attempt of a message in a fixture.
#[derive(Clone, Debug, PartialEq)]
struct AttemptFields {
    endpoint: String,
    started_at_unix_us: u64,
    state: AttemptState,
}

impl Fixture {
    fn folder(&self) -> PathBuf {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/state-before-rename").join(self.name)
    }

    /// Returns a copy of the folder that a test can change.
    fn copy(&self) -> TempDir {
        let copy = tempfile::tempdir().unwrap();
        for (name, bytes) in files(&self.folder()) {
            fs::write(copy.path().join(name), bytes).unwrap();
        }
        copy
    }

    /// Returns whether the program that wrote the fixture finished the message and acknowledged its notice
    /// after the records of [`history`].
    fn is_finished_and_acknowledged(&self, n: u64) -> bool {
        self.message_count > 100 && n >= 10 && n % 50 != n % 10
    }

    fn message(&self, n: u64) -> AcceptedMessage {
        let body: Vec<u8> = (0..(n % 5) * 20).map(|index| (index * 7 + n) as u8).collect();
        AcceptedMessage {
            id: format!("fixture-{n:03}"),
            class: if n.is_multiple_of(2) { "order" } else { "notice" }.into(),
            tenant: n.is_multiple_of(4).then(|| format!("tenant-{}", n % 3)),
            ordering_key: n.is_multiple_of(3).then_some(n * 1000),
            destination: n % 7,
            deadline_unix_us: 1_700_000_000_000_000 + n,
            body: Bytes::from(body),
            idempotency_key: (self.has_idempotency_keys && n.is_multiple_of(2))
                .then(|| format!("once-{n:03}")),
        }
    }

    /// Returns the pending messages with their attempts, in the order of the earlier build.
    fn pending(&self) -> Vec<(AcceptedMessage, Vec<AttemptFields>)> {
        let numbers: Vec<u64> = match self.name {
            "compacted" => COMPACTED_ORDER.iter().flat_map(|first| *first..first + 4).collect(),
            _ => (0..self.message_count).filter(|n| n % 10 < 4).collect(),
        };
        numbers.into_iter().map(|n| (self.message(n), attempts(n))).collect()
    }

    /// Returns the notices that the platform has not acknowledged, in the order of their ids.
    fn unacknowledged(&self) -> Vec<(String, FinalAnswer)> {
        let notices =
            (0..self.message_count).filter(|n| !self.is_finished_and_acknowledged(*n)).filter_map(|n| {
                let answer = match n % 10 {
                    5 => FinalAnswer::Rejected { retry_after: Some(Duration::from_millis(1500 + n)) },
                    6 => FinalAnswer::Rejected { retry_after: None },
                    7 => FinalAnswer::Failed,
                    _ => return None,
                };
                Some((format!("fixture-{n:03}"), answer))
            });
        notices.collect()
    }
}

/// Returns the attempts of a pending message.
fn attempts(n: u64) -> Vec<AttemptFields> {
    let attempt = |number: u32, state| AttemptFields {
        endpoint: format!("target-{number}"),
        started_at_unix_us: 1_600_000_000_000_000 + n,
        state,
    };
    match n % 10 {
        1 => vec![attempt(0, AttemptState::InFlight)],
        2 => vec![attempt(0, AttemptState::NotExecuted)],
        3 => vec![attempt(0, AttemptState::PossiblyExecuted), attempt(1, AttemptState::InFlight)],
        _ => Vec::new(),
    }
}

/// Returns the records that follow the `Accepted` record of a message.
fn history(n: u64) -> Vec<Record> {
    let id = || format!("fixture-{n:03}");
    let started = |number: u32| Record::AttemptStarted {
        id: id(),
        number,
        endpoint: format!("target-{number}"),
        started_at_unix_us: 1_600_000_000_000_000 + n,
    };
    let attempt_finished =
        |number, proves_not_executed| Record::AttemptFinished { id: id(), number, proves_not_executed };
    let finished = |notice| Record::Finished { id: id(), notice };
    let rejected = |retry_after| finished(Some(FinalAnswer::Rejected { retry_after }));
    match n % 10 {
        0 => vec![],
        1 => vec![started(0)],
        2 => vec![started(0), attempt_finished(0, true)],
        3 => vec![started(0), attempt_finished(0, false), started(1)],
        4 => vec![started(0), finished(None)],
        5 => vec![rejected(Some(Duration::from_millis(1500 + n)))],
        6 => vec![rejected(None)],
        7 => vec![started(0), attempt_finished(0, false), finished(Some(FinalAnswer::Failed))],
        8 => {
            vec![started(0), finished(Some(FinalAnswer::Failed)), Record::NoticeAcknowledged { id: id() }]
        }
        _ => vec![finished(None)],
    }
}

/// Returns the content of the files of a folder, by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap());
    entries.map(|e| (e.file_name().into_string().unwrap(), fs::read(e.path()).unwrap())).collect()
}

fn open(folder: &Path) -> WriteAheadLog {
    WriteAheadLog::open(folder, FOLDER_BYTES, SyncPolicy::Never).unwrap()
}

fn notices(index: &PendingIndex) -> Vec<(String, FinalAnswer)> {
    index.unacknowledged_notices().map(|n| (n.id.0.to_string(), n.answer)).collect()
}

fn fields_of_attempts(pending: &PendingMessage) -> Vec<AttemptFields> {
    let fields = |attempt: &RecordedAttempt| AttemptFields {
        endpoint: attempt.endpoint.to_string(),
        started_at_unix_us: attempt.started_at_unix_us,
        state: attempt.state,
    };
    pending.attempts.iter().map(fields).collect()
}

/// Compares each field of each pending message and each notice with the expected one.
fn check(
    log: &WriteAheadLog,
    pending: &[(AcceptedMessage, Vec<AttemptFields>)],
    notified: &[(String, FinalAnswer)],
) {
    assert!(log.verification().is_sound(), "corruption reported: {:?}", log.verification());
    assert_eq!(log.verification().torn_bytes, 0);
    let found = log.index().pending();
    let expected: Vec<&str> = pending.iter().map(|(message, _)| message.id.as_str()).collect();
    assert_eq!(pending_ids(log), expected, "pending messages, in the order of the earlier build");
    for (found, (message, attempts)) in found.iter().zip(pending) {
        assert_eq!(&log.read_message(found).unwrap(), message);
        assert_eq!(&*found.class, message.class);
        assert_eq!(found.tenant.as_deref(), message.tenant.as_deref());
        assert_eq!((found.ordering_key, found.destination), (message.ordering_key, message.destination));
        assert_eq!(found.deadline_unix_us, message.deadline_unix_us);
        assert_eq!(found.reserved_bytes, message.reserved_bytes());
        assert!(!found.records_lost, "records of {} were lost", message.id);
        assert_eq!(&fields_of_attempts(found), attempts, "attempts of {}", message.id);
    }
    assert_eq!(notices(log.index()), notified);
    let counts = PendingCounts { messages: pending.len(), notices: notified.len() };
    assert_eq!(log.index().counts(), counts);
    assert_eq!(log.index().orphans().count(), 0);
    assert_eq!(log.index().unlisted_orphans(), 0);
}

/// Opens a copy of the fixture and checks it, then appends records, opens the copy again and checks it again.
fn open_append_and_reopen(fixture: Fixture) {
    let copy = fixture.copy();
    let mut log = open(copy.path());
    let (mut pending, mut notified) = (fixture.pending(), fixture.unacknowledged());
    assert!(pending.len() >= 24 && notified.len() >= 18);
    check(&log, &pending, &notified);

    let new = AcceptedMessage {
        id: "later".into(),
        idempotency_key: Some("once-later".into()),
        ..fixture.message(12)
    };
    let finished = pending.remove(0).0.id;
    let acknowledged = notified.remove(1).0;
    let attempt = AttemptFields {
        endpoint: "target-9".to_owned(),
        started_at_unix_us: 17,
        state: AttemptState::InFlight,
    };
    pending[0].1.push(attempt.clone());
    pending.push((new.clone(), Vec::new()));
    let started = Record::AttemptStarted {
        id: "fixture-001".into(),
        number: 1,
        endpoint: attempt.endpoint,
        started_at_unix_us: attempt.started_at_unix_us,
    };
    let records = [
        Record::Accepted(new),
        started,
        Record::Finished { id: finished, notice: None },
        Record::NoticeAcknowledged { id: acknowledged },
    ];
    assert!(log.append(&records, NOW).unwrap().messages_accepted);
    check(&log, &pending, &notified);
    drop(log);
    check(&open(copy.path()), &pending, &notified);
}

#[test]
fn appended_segments_are_read_and_appended_to() {
    open_append_and_reopen(APPENDED);
}

#[test]
fn compacted_segments_are_read_and_appended_to() {
    open_append_and_reopen(COMPACTED);
}

#[test]
fn single_file_is_migrated_and_appended_to() {
    open_append_and_reopen(SINGLE_FILE);
}

#[test]
fn inspection_reads_the_fixtures_and_changes_nothing() {
    for fixture in [APPENDED, COMPACTED, SINGLE_FILE] {
        let copy = fixture.copy();
        let Inspection { index, verification } = inspect(copy.path()).unwrap();
        assert!(verification.is_sound(), "{}: corruption reported: {verification:?}", fixture.name);
        let ids: Vec<String> = index.pending().iter().map(|p| p.id.0.to_string()).collect();
        let expected: Vec<String> = fixture.pending().into_iter().map(|(message, _)| message.id).collect();
        assert_eq!(ids, expected, "pending messages of {}", fixture.name);
        assert_eq!(notices(&index), fixture.unacknowledged(), "notices of {}", fixture.name);
        assert_eq!(files(copy.path()), files(&fixture.folder()), "files of {}", fixture.name);
    }
}

#[test]
fn same_records_are_written_with_the_same_bytes() {
    for fixture in [APPENDED, COMPACTED] {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        for n in 0..fixture.message_count {
            log.append(&[Record::Accepted(fixture.message(n))], NOW).unwrap();
            log.append(&history(n), NOW).unwrap();
            if fixture.is_finished_and_acknowledged(n) {
                let id = fixture.message(n).id;
                let finished = Record::Finished { id: id.clone(), notice: None };
                log.append(&[finished, Record::NoticeAcknowledged { id }], NOW).unwrap();
            }
        }
        drop(log);
        let (written, expected) = (files(folder.path()), files(&fixture.folder()));
        let names = |files: &BTreeMap<String, Vec<u8>>| files.keys().cloned().collect::<Vec<_>>();
        assert_eq!(names(&written), names(&expected), "file names of {}", fixture.name);
        for (name, bytes) in &expected {
            assert!(&written[name] == bytes, "{}: {name} differs", fixture.name);
        }
    }
}
