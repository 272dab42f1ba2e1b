//! The command `wal` under its present and its old name, with the present and the old name of a message class.

#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};
use temp_folder::TempFolder;

fn reeddock(command: &str, folder: &Path, arguments: &[&str]) -> Output {
    let mut process = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    process.args([command, "--state", folder.to_str().unwrap()]).args(arguments).output().unwrap()
}

/// Writes a log with one pending message, whose time is up.
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
fn the_old_name_of_the_command_prints_the_same() {
    let folder = TempFolder::new("wal-command-names");
    write_log(folder.path());
    // Not among them: views with the seconds that are left, which may change between the two.
    for arguments in [&["--verify"][..], &["--by", "destination"], &["--by", "age"], &["--by", "colour"]] {
        let present = reeddock("wal", folder.path(), arguments);
        let old = reeddock("ledger", folder.path(), arguments);
        assert!(!present.stdout.is_empty() || !present.stderr.is_empty(), "{arguments:?}");
        assert_eq!(present, old, "{arguments:?}");
    }
}

#[test]
fn messages_are_counted_by_class_under_either_name() {
    let folder = TempFolder::new("wal-command-names");
    write_log(folder.path());
    let by_class = reeddock("wal", folder.path(), &["--by", "class"]);
    assert!(by_class.status.success());
    assert!(String::from_utf8_lossy(&by_class.stdout).starts_with("category order: 1 owed, "));
    assert_eq!(by_class, reeddock("wal", folder.path(), &["--by", "category"]));
}
