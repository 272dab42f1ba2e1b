//! Guards against files of earlier programs that can't be read, and files of later programs that are changed.

use reeddock_protocol::FinalAnswer;
use reeddock_wal::memory_storage::{Faults, MemoryStorage};
use reeddock_wal::{
    AcceptedMessage, AttemptState, Checkpoint, PendingMessage, Record, RecordedAttempt, Storage, SyncPolicy,
    WriteAheadLog,
};
use serde::Serialize;

use crate::harness::{mixed_records, open, reopen, FIRST_SEGMENT, FOLDER_BYTES, NOW};
use crate::model::Model;
use crate::support::{accepted, finished, started};

/// File name of the oldest format.
const SINGLE_FILE: &str = "ledger";

/// Records of the single file and of segments of version 1, in which messages have no idempotency key.
#[derive(Serialize)]
enum RecordV1 {
    Accepted(AcceptedV1),
    AttemptStarted { id: String, number: u32, endpoint: String, started_at_unix_us: u64 },
    AttemptFinished { id: String, number: u32, proves_not_executed: bool },
    Finished { id: String, notice: Option<FinalAnswer> },
    NoticeAcknowledged { id: String },
    Checkpoint { accepted: AcceptedV1, acceptance_number: u64, attempts: Vec<AttemptV1>, records_lost: bool },
}

#[derive(Serialize)]
struct AcceptedV1 {
    id: String,
    class: String,
    tenant: Option<String>,
    ordering_key: Option<u64>,
    destination: u64,
    deadline_unix_us: u64,
    body: Vec<u8>,
}

#[derive(Serialize)]
struct AttemptV1 {
    endpoint: String,
    started_at_unix_us: u64,
    proves_not_executed: Option<bool>,
}

impl From<AcceptedMessage> for AcceptedV1 {
    fn from(message: AcceptedMessage) -> AcceptedV1 {
        AcceptedV1 {
            id: message.id,
            class: message.class,
            tenant: message.tenant,
            ordering_key: message.ordering_key,
            destination: message.destination,
            deadline_unix_us: message.deadline_unix_us,
            body: message.body.to_vec(),
        }
    }
}

impl From<RecordedAttempt> for AttemptV1 {
    fn from(attempt: RecordedAttempt) -> AttemptV1 {
        let proves_not_executed = match attempt.state {
            AttemptState::InFlight => None,
            AttemptState::PossiblyExecuted => Some(false),
            AttemptState::NotExecuted => Some(true),
        };
        AttemptV1 {
            endpoint: attempt.endpoint.to_string(),
            started_at_unix_us: attempt.started_at_unix_us,
            proves_not_executed,
        }
    }
}

impl From<Record> for RecordV1 {
    fn from(record: Record) -> RecordV1 {
        match record {
            Record::Accepted(message) => RecordV1::Accepted(message.into()),
            Record::AttemptStarted { id, number, endpoint, started_at_unix_us } => {
                RecordV1::AttemptStarted { id, number, endpoint, started_at_unix_us }
            }
            Record::AttemptFinished { id, number, proves_not_executed } => {
                RecordV1::AttemptFinished { id, number, proves_not_executed }
            }
            Record::Finished { id, notice } => RecordV1::Finished { id, notice },
            Record::NoticeAcknowledged { id } => RecordV1::NoticeAcknowledged { id },
            Record::Checkpoint(checkpoint) => RecordV1::Checkpoint {
                accepted: checkpoint.accepted.into(),
                acceptance_number: checkpoint.acceptance_number,
                attempts: checkpoint.attempts.into_iter().map(AttemptV1::from).collect(),
                records_lost: checkpoint.records_lost,
            },
        }
    }
}

/// Returns a frame of the single file.
fn single_file_frame(record: &Record) -> Vec<u8> {
    let value = postcard::to_allocvec(&RecordV1::from(record.clone())).unwrap();
    let mut bytes = (value.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&value).to_le_bytes());
    bytes.extend(value);
    bytes
}

/// Returns a frame of a segment or manifest, which is the same in versions 1 and 2.
fn segment_frame(value: &impl Serialize) -> Vec<u8> {
    let value = postcard::to_allocvec(value).unwrap();
    let mut bytes = vec![0xd7, 0x5e];
    bytes.extend((value.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&value).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(value);
    bytes
}

/// Returns a segment of version 1.
fn segment_v1(number: u64, records: &[Record]) -> Vec<u8> {
    let mut bytes = b"reeddock".to_vec();
    bytes.extend(1u16.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(records.iter().flat_map(|record| segment_frame(&RecordV1::from(record.clone()))));
    bytes
}

/// Returns id, number of attempts and idempotency key of each pending message.
fn pending_with_keys(log: &WriteAheadLog) -> Vec<(String, usize, Option<String>)> {
    let fields = |message: &PendingMessage| {
        let idempotency_key = log.read_message(message).unwrap().idempotency_key;
        (message.id.0.to_string(), message.attempts.len(), idempotency_key)
    };
    log.index().pending().into_iter().map(fields).collect()
}

#[test]
fn segments_of_version_1_are_read_and_not_appended_to() {
    let attempts = vec![RecordedAttempt {
        endpoint: "t0".into(),
        started_at_unix_us: 5,
        state: AttemptState::NotExecuted,
    }];
    let Record::Accepted(copied) = accepted("copied", 30) else { unreachable!() };
    let records = vec![
        accepted("fresh", 30),
        Record::Checkpoint(Checkpoint {
            accepted: copied,
            acceptance_number: 7,
            attempts,
            records_lost: false,
        }),
        accepted("over", 30),
        Record::Finished { id: "over".into(), notice: Some(FinalAnswer::Rejected { retry_after: None }) },
        started("fresh", 0),
    ];
    let memory = MemoryStorage::default();
    memory.write_file(FIRST_SEGMENT, &segment_v1(1, &records));
    memory.write_file("ledger.manifest", &segment_frame(&(1u16, 1u64)));
    let mut log = open(&memory);
    assert!(log.verification().is_sound());
    let before = [("fresh".into(), 1, None), ("copied".into(), 1, None)];
    assert_eq!(pending_with_keys(&log), before);
    let segment = memory.bytes(FIRST_SEGMENT);
    log.append(&[accepted("new", 30)], NOW).unwrap();
    assert_eq!(memory.bytes(FIRST_SEGMENT), segment, "the segment of version 1 was changed");
    assert_eq!(memory.bytes("ledger-000000000002")[8..10], 2u16.to_le_bytes());
    let new = ("new".to_string(), 0, Some("key of new".to_string()));
    assert_eq!(pending_with_keys(&reopen(&memory)), [before[0].clone(), before[1].clone(), new]);
}

/// Returns a single file of twenty messages with an attempt each, every third of them finished, and the model
/// of its state.
fn single_file() -> (Vec<u8>, Model) {
    let mut model = Model::default();
    let mut bytes = Vec::new();
    for n in 0..20 {
        let id = format!("old{n:02}");
        let mut records = vec![accepted(&id, 30), started(&id, 0)];
        if n % 3 == 0 {
            records.push(finished(&id));
        }
        for record in records {
            bytes.extend(single_file_frame(&record));
            model.apply(&record);
        }
    }
    (bytes, model)
}

#[test]
fn single_file_is_migrated_after_a_kill_at_any_operation_of_a_start() {
    let (bytes, model) = single_file();
    let start_until = |fails_after_operations: Option<u64>| {
        let memory = MemoryStorage::default();
        memory.write_file(SINGLE_FILE, &bytes);
        memory.set_faults(Faults { fails_after_operations, torn_write_bytes: 9, ..Faults::default() });
        let _ = WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, SyncPolicy::Never);
        memory
    };
    let operations = start_until(None).operation_count();
    for stop in 0..=operations {
        let memory = start_until(Some(stop)).after_kill();
        let log = open(&memory);
        assert_eq!(Model::from_index(log.index()), model, "killed after {stop} operations");
        assert!(
            log.verification().is_sound(),
            "killed after {stop} operations, corruption reported: {:?}",
            log.verification()
        );
        let first = log.index().pending()[0].clone();
        assert_eq!(log.read_message(&first).unwrap().body.len(), 30);
        assert!(!memory.files().unwrap().contains_key(SINGLE_FILE), "killed after {stop} operations");
    }
}

#[test]
fn single_file_with_a_flipped_bit_is_read_after_the_corruption_and_quarantined() {
    let (mut bytes, model) = single_file();
    bytes[40] ^= 4;
    let memory = MemoryStorage::default();
    memory.write_file(SINGLE_FILE, &bytes);
    let log = open(&memory);
    // At most one message is lost, and every other message has an attempt or counts as possibly executed.
    assert!(log.index().counts().messages >= model.pending.len() - 1);
    let pending = log.index().pending();
    assert!(pending.iter().all(|message| !message.attempts.is_empty() || message.records_lost));
    assert_eq!(memory.bytes("damaged-ledger"), bytes);
}

#[test]
fn later_version_is_rejected_and_left_unchanged() {
    let (memory, _) = mixed_records();
    let mut bytes = memory.bytes(FIRST_SEGMENT);
    bytes[8] = 9;
    let checksum = crc32fast::hash(&bytes[..18]);
    bytes[18..22].copy_from_slice(&checksum.to_le_bytes());
    memory.write_file(FIRST_SEGMENT, &bytes);
    let operations = memory.operation_count();
    let opened = WriteAheadLog::open_in(Box::new(memory.clone()), FOLDER_BYTES, SyncPolicy::Never);
    let error = opened.err().unwrap().to_string();
    assert_eq!(error, format!("{FIRST_SEGMENT} has format version 9, expected version 2 or earlier"));
    assert_eq!(memory.operation_count(), operations);
}
