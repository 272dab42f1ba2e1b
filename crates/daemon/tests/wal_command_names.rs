//! The aliases `ledger` of the command `wal` and `category` of the group `class`.

#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};
use temp_folder::TempFolder;

fn run_reeddock(command: &str, folder: &Path, arguments: &[&str]) -> Output {
    let mut process = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    process.args([command, "--state", folder.to_str().unwrap()]).args(arguments).output().unwrap()
}

/// Writes a log with one pending message, whose deadline has passed.
fn write_log(folder: &Path) {
    let message = AcceptedMessage {
        idempotency_key: None,
        id: "order-1".into(),
        class: "order".into(),
        tenant: None,
        ordering_key: None,
        destination: 7,
        deadline_unix_us: 1,
        body: "a body".into(),
    };
    let mut log = WriteAheadLog::open(folder, 100_000, SyncPolicy::Never).unwrap();
    log.append(&[Record::Accepted(message)], Duration::ZERO).unwrap();
}

#[test]
fn ledger_alias_prints_same_output_as_wal_command() {
    let folder = TempFolder::new("wal-command-names");
    write_log(folder.path());
    // Views that print the seconds left are omitted, because the value can change between the two runs.
    for arguments in [&["--verify"][..], &["--by", "destination"], &["--by", "age"], &["--by", "colour"]] {
        let by_wal = run_reeddock("wal", folder.path(), arguments);
        let by_ledger = run_reeddock("ledger", folder.path(), arguments);
        assert!(!by_wal.stdout.is_empty() || !by_wal.stderr.is_empty(), "no output of wal {arguments:?}");
        assert_eq!(by_wal, by_ledger, "output of {arguments:?} by both names");
    }
}

#[test]
fn by_class_and_by_category_print_same_counts() {
    let folder = TempFolder::new("wal-command-names");
    write_log(folder.path());
    let by_class = run_reeddock("wal", folder.path(), &["--by", "class"]);
    assert!(by_class.status.success());
    assert!(String::from_utf8_lossy(&by_class.stdout).starts_with("category order: 1 owed, "));
    assert_eq!(by_class, run_reeddock("wal", folder.path(), &["--by", "category"]));
}
