//! The command `ledger` on a sound folder, beside a writer, and on a damaged one.

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::{Accepted, Record, Sync, WriteAheadLog};

fn reeddock(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reeddock")).args(arguments).output().unwrap()
}

fn ledger(folder: &Path, further: &[&str]) -> (String, Option<i32>) {
    let output = reeddock(&[&["ledger", "--state", folder.to_str().unwrap()], further].concat());
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8(text).unwrap(), output.status.code())
}

fn taken(id: &str, class: &str, destination: u64) -> Record {
    Record::Accepted(Accepted {
        idempotency_key: None,
        id: id.into(),
        class: class.into(),
        tenant: None,
        key: None,
        destination,
        deadline: 1,
        body: "a body".into(),
    })
}

#[test]
fn it_tells_what_is_owed_and_what_is_damaged() {
    let folder = std::env::temp_dir().join(format!("reeddock-owed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut writer = WriteAheadLog::open(&folder, 100_000, Sync::Never).unwrap();
    let begun = Record::AttemptStarted { id: "order-1".into(), no: 0, endpoint: "t".into(), at: 5 };
    let ended = Record::Finished { id: "note-2".into(), notice: Some(FinalAnswer::Failed) };
    let records =
        [taken("order-1", "order", 7), taken("note-1", "note", 8), taken("note-2", "note", 8), begun, ended];
    writer.append(&records, Duration::ZERO).unwrap();

    // Beside the writer.
    let (text, code) = ledger(&folder, &["--verify"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.starts_with("sound: 1 segments") && text.contains("2 owed, 1 notices untold"), "{text}");
    let (text, _) = ledger(&folder, &["--by", "category"]);
    assert!(text.contains("category order: 1 owed") && text.contains("1 may have run"), "{text}");
    assert!(ledger(&folder, &["--by", "destination"]).0.contains("destination 8: 1 owed"));
    assert!(ledger(&folder, &["--by", "age"]).0.contains("time is up: 2 owed"));
    let (text, _) = ledger(&folder, &["--json"]);
    let lines: Vec<serde_json::Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!((&lines[0]["owed"], &lines[0]["may_have_run"]), (&"order-1".into(), &true.into()));
    assert_eq!((&lines[2]["untold"], &lines[2]["end"]), (&"note-2".into(), &"broken_off".into()));
    let (text, code) = ledger(&folder, &[]);
    assert!(code == Some(0) && text.contains("order-1 order for destination 7"), "{text}");
    drop(writer);

    let segment = folder.join("ledger-000000000001");
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes[40] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    let (text, code) = ledger(&folder, &["--verify"]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("damaged: ledger-000000000001") && text.contains("unknown: order-1"), "{text}");
    assert_eq!(std::fs::read(&segment).unwrap(), bytes, "it changes nothing");

    for (further, told) in [
        (vec!["--by", "colour"], "expected category, destination or age"),
        (vec!["--sync", "often"], "expected never, each, or seconds"),
        (vec!["--sync", "0"], "expected never, each, or seconds"),
    ] {
        let (text, code) = ledger(&folder, &further);
        assert!(code == Some(1) && text.contains(told) && text.lines().count() == 1, "{text}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
