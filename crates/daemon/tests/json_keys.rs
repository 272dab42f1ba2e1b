//! Keys and words of the lines that `reeddock wal --json` prints. Scripts read them, and a field that is
//! renamed in the code must not rename its key.

#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};
use serde_json::{json, Value};
use temp_folder::TempFolder;

/// Offset of a byte inside the first record of a segment.
const BYTE_OF_FIRST_RECORD: usize = 40;

fn accepted(id: &str) -> Record {
    Record::Accepted(AcceptedMessage {
        idempotency_key: Some("a key".into()),
        id: id.into(),
        class: "order".into(),
        tenant: Some("shop".into()),
        ordering_key: Some(9),
        destination: 7,
        deadline_unix_us: 1,
        body: "a body".into(),
    })
}

fn started(id: &str, number: u32) -> Record {
    Record::AttemptStarted { id: id.into(), number, endpoint: format!("t{number}"), started_at_unix_us: 5 }
}

fn attempt_finished(id: &str, number: u32, proves_not_executed: bool) -> Record {
    Record::AttemptFinished { id: id.into(), number, proves_not_executed }
}

fn rejected(id: &str, retry_after: Option<Duration>) -> Record {
    Record::Finished { id: id.into(), notice: Some(FinalAnswer::Rejected { retry_after }) }
}

/// Writes a log with a pending message, three notices, and a first message of which corruption leaves only
/// the id.
fn write_corrupt_log(folder: &Path) {
    let mut log = WriteAheadLog::open(folder, 100_000, SyncPolicy::Never).unwrap();
    let mut records: Vec<Record> =
        ["lost-1", "order-1", "late-1", "full-1", "fail-1"].into_iter().map(accepted).collect();
    records.extend([
        started("lost-1", 0),
        started("order-1", 0),
        attempt_finished("order-1", 0, true),
        started("order-1", 1),
        attempt_finished("order-1", 1, false),
        started("order-1", 2),
        rejected("late-1", Some(Duration::from_millis(1500))),
        rejected("full-1", None),
        Record::Finished { id: "fail-1".into(), notice: Some(FinalAnswer::Failed) },
    ]);
    log.append(&records, Duration::ZERO).unwrap();
    drop(log);
    let segment = folder.join("ledger-000000000001");
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes[BYTE_OF_FIRST_RECORD] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
}

/// Returns the lines that `reeddock wal --json` prints for that log.
fn printed_lines() -> Vec<String> {
    let folder = TempFolder::new("json-keys");
    write_corrupt_log(folder.path());
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    command.args(["wal", "--json", "--state", folder.path().to_str().unwrap()]);
    let output = command.output().unwrap();
    assert!(output.status.success(), "`reeddock wal --json` failed: {output:?}");
    String::from_utf8(output.stdout).unwrap().lines().map(str::to_owned).collect()
}

/// Returns the only line that has this key.
fn only_line_with(key: &str) -> Value {
    let lines = printed_lines();
    let values = lines.iter().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let found: Vec<Value> = values.filter(|line| line.get(key).is_some()).collect();
    assert_eq!(found.len(), 1, "lines with the key {key}: {lines:?}");
    found[0].clone()
}

fn sorted_keys(object: &Value) -> Vec<&str> {
    let mut keys: Vec<&str> = object.as_object().unwrap().keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn pending_message_has_these_keys() {
    let message = only_line_with("owed");
    let expected = [
        "bytes",
        "category",
        "destination",
        "dispatches",
        "key",
        "left_s",
        "may_have_run",
        "outer_limit_us",
        "owed",
        "records_lost",
        "tenant",
    ];
    assert_eq!(sorted_keys(&message), expected);
    for (key, value) in [
        ("category", json!("order")),
        ("destination", json!(7)),
        ("key", json!(9)),
        ("may_have_run", json!(true)),
        ("outer_limit_us", json!(1)),
        ("owed", json!("order-1")),
        ("tenant", json!("shop")),
    ] {
        assert_eq!(message[key], value, "value of the key {key}");
    }
}

#[test]
fn attempts_of_pending_message_have_these_keys_and_values() {
    let expected = json!([
        {"at_us": 5, "ended": true, "never_ran": true, "target": "t0"},
        {"at_us": 5, "ended": true, "never_ran": false, "target": "t1"},
        {"at_us": 5, "ended": false, "never_ran": false, "target": "t2"},
    ]);
    assert_eq!(only_line_with("owed")["dispatches"], expected);
}

#[test]
fn notices_and_orphans_are_printed_with_fixed_keys_and_words() {
    let mut lines = printed_lines();
    lines.retain(|line| !line.contains("\"owed\"") && !line.contains("\"damaged\""));
    lines.sort_unstable();
    let expected = [
        r#"{"come_back_ms":1500,"end":"shed","untold":"late-1"}"#,
        r#"{"come_back_ms":null,"end":"broken_off","untold":"fail-1"}"#,
        r#"{"come_back_ms":null,"end":"shed","untold":"full-1"}"#,
        r#"{"unknown":"lost-1"}"#,
    ];
    assert_eq!(lines, expected);
}

#[test]
fn damaged_place_has_these_keys() {
    let place = only_line_with("damaged");
    assert_eq!(sorted_keys(&place), ["bytes", "damaged", "hint", "offset"]);
    assert_eq!(place["damaged"], "ledger-000000000001");
}

#[test]
fn keys_are_printed_in_alphabetical_order() {
    for line in printed_lines() {
        let value: Value = serde_json::from_str(&line).unwrap();
        let offsets: Vec<Option<usize>> =
            sorted_keys(&value).into_iter().map(|key| line.find(&format!("\"{key}\":"))).collect();
        assert!(offsets.is_sorted(), "keys are not in alphabetical order: {line}");
    }
}
