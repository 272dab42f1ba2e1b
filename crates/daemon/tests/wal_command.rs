//! The command `wal`, by its alias `ledger`, on a log that is open for writing and on a corrupt log.

#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};
use temp_folder::TempFolder;

/// Output and exit code of the command.
struct CommandResult {
    /// Standard output followed by standard error.
    text: String,
    code: Option<i32>,
}

fn run_ledger(folder: &Path, arguments: &[&str]) -> CommandResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    command.args(["ledger", "--state", folder.to_str().unwrap()]).args(arguments);
    let output = command.output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    CommandResult { text, code: output.status.code() }
}

fn accepted(id: &str, class: &str, destination: u64) -> Record {
    Record::Accepted(AcceptedMessage {
        idempotency_key: None,
        id: id.into(),
        class: class.into(),
        tenant: None,
        ordering_key: None,
        destination,
        deadline_unix_us: 1,
        body: "a body".into(),
    })
}

/// Writes a log with two pending messages, one of them possibly executed, and an unacknowledged notice.
fn write_log(folder: &Path) -> WriteAheadLog {
    let mut log = WriteAheadLog::open(folder, 100_000, SyncPolicy::Never).unwrap();
    let records = [
        accepted("order-1", "order", 7),
        accepted("note-1", "note", 8),
        accepted("note-2", "note", 8),
        Record::AttemptStarted {
            id: "order-1".into(),
            number: 0,
            endpoint: "t".into(),
            started_at_unix_us: 5,
        },
        Record::Finished { id: "note-2".into(), notice: Some(FinalAnswer::Failed) },
    ];
    log.append(&records, Duration::ZERO).unwrap();
    log
}

#[test]
fn pending_messages_and_notices_are_listed_while_log_is_open_for_writing() {
    let folder = TempFolder::new("wal-command");
    let _writer = write_log(folder.path());
    let CommandResult { text, code } = run_ledger(folder.path(), &["--verify"]);
    assert_eq!(code, Some(0), "exit code of --verify: {text}");
    assert!(
        text.starts_with("sound: 1 segments") && text.contains("2 owed, 1 notices untold"),
        "output of --verify: {text}"
    );
    let CommandResult { text, .. } = run_ledger(folder.path(), &["--by", "category"]);
    assert!(
        text.contains("category order: 1 owed") && text.contains("1 may have run"),
        "output of --by category: {text}"
    );
    assert!(run_ledger(folder.path(), &["--by", "destination"]).text.contains("destination 8: 1 owed"));
    assert!(run_ledger(folder.path(), &["--by", "age"]).text.contains("time is up: 2 owed"));
    let CommandResult { text, .. } = run_ledger(folder.path(), &["--json"]);
    let lines: Vec<serde_json::Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!((&lines[0]["owed"], &lines[0]["may_have_run"]), (&"order-1".into(), &true.into()));
    assert_eq!((&lines[2]["untold"], &lines[2]["end"]), (&"note-2".into(), &"broken_off".into()));
    let CommandResult { text, code } = run_ledger(folder.path(), &[]);
    assert!(
        code == Some(0) && text.contains("order-1 order for destination 7"),
        "exit code {code:?}: {text}"
    );
    let notice = "note-2 finished, its notice not acknowledged by the platform: failed\n";
    assert!(text.contains(notice), "expected a line about the notice: {text}");
}

#[test]
fn corruption_is_reported_with_exit_code_1_and_log_is_not_modified() {
    let folder = TempFolder::new("wal-command");
    drop(write_log(folder.path()));
    let segment = folder.path().join("ledger-000000000001");
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes[40] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    let CommandResult { text, code } = run_ledger(folder.path(), &["--verify"]);
    assert_eq!(code, Some(1), "exit code of --verify on a corrupt log: {text}");
    assert!(
        text.contains("damaged: ledger-000000000001") && text.contains("unknown: order-1"),
        "output of --verify on a corrupt log: {text}"
    );
    assert_eq!(std::fs::read(&segment).unwrap(), bytes, "the command modified the log");
}

#[test]
fn invalid_option_value_is_rejected_with_one_line_error() {
    let folder = TempFolder::new("wal-command");
    drop(write_log(folder.path()));
    for (arguments, expected) in [
        (["--by", "colour"], "expected category, destination or age"),
        (["--sync", "often"], "expected never, each, or seconds above 0 and at most 3600"),
        (["--sync", "0"], "expected never, each, or seconds above 0 and at most 3600"),
    ] {
        let CommandResult { text, code } = run_ledger(folder.path(), &arguments);
        assert!(
            code == Some(1) && text.contains(expected) && text.lines().count() == 1,
            "exit code {code:?} of {arguments:?}: {text}"
        );
    }
}
