//! Tests of the command `record`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn scenario(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    file.to_str().unwrap().to_owned()
}

fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reeddock-experiment")).args(arguments).output().unwrap()
}

fn record(folder: &Path, arguments: &[&str]) -> String {
    let command_line = [&["record", "--out", folder.to_str().unwrap()], arguments].concat();
    let output = program(&command_line);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn compare(left: &Path, right: &Path) -> (Option<i32>, String) {
    let output = program(&["record", "--compare", left.to_str().unwrap(), right.to_str().unwrap()]);
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

fn existing_file(folder: &Path, name: &str) -> PathBuf {
    let path = folder.join(name);
    assert!(path.exists(), "{}", path.display());
    path
}

#[test]
fn repeated_recordings_are_equal_and_changed_line_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (left, right) = (folder.path().join("a"), folder.path().join("b"));
    let first = scenario("first-morning.toml");
    let tables = [&left, &right].map(|out| record(out, &[&first, "--seed", "3"]));
    assert_eq!(tables[0], tables[1]);
    assert!(tables[0].contains("first-morning.seed-3.recording"), "{}", tables[0]);
    let (code, text) = compare(&left, &right);
    assert!(code == Some(0) && text.contains("1 of 1 equal"), "{text}");

    let changed = existing_file(&right, "first-morning.seed-3.recording");
    let lines = std::fs::read_to_string(&changed).unwrap();
    assert!(
        lines.lines().any(|l| l.contains(" asks dispatch ")),
        "the recording must hold commands of the delivery policy"
    );
    std::fs::write(&changed, lines.replacen("outcome=completed", "outcome=error", 1)).unwrap();
    let (code, text) = compare(&left, &right);
    assert!(code == Some(1) && text.contains("DIFFERS at line") && text.contains("forwarder "), "{text}");
}

#[test]
fn stream_digests_do_not_depend_on_thread_count() {
    let folder = tempfile::tempdir().unwrap();
    let (left, right) = (folder.path().join("a"), folder.path().join("b"));
    let streams = ["--streams", "120", "--seed", "5", "--digest"];
    record(&left, &[&streams[..], &["--threads", "1"]].concat());
    record(&right, &[&streams[..], &["--threads", "3"]].concat());
    existing_file(&left, "streams-00000005-00000104.digests");
    let (code, text) = compare(&left, &right);
    assert!(code == Some(0) && text.contains("2 of 2 equal"), "{text}");
}

#[test]
fn invalid_record_arguments_are_reported_on_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("out");
    let out = out.to_str().unwrap();
    let first = scenario("first-morning.toml");
    record(Path::new(out), &["--streams", "1"]);
    for (arguments, expected) in [
        (vec!["--out", out], "nothing to record"),
        (vec!["none.toml", "--out", out], "none.toml: cannot be read"),
        (vec!["--streams", "0", "--out", out], "--streams 0: expected 1 or more"),
        (vec!["--streams", "99999999", "--out", out], "at most 10000 recordings"),
        (vec![&first, "--seeds", "0", "--out", out], "--seeds 0: expected 1 or more"),
        (vec![&first, &first, "--out", out], "named twice"),
        (vec!["--streams", "1", "--out", out], "cannot be created"),
        (vec!["--streams", "many", "--out", out], "invalid value 'many'"),
        (vec!["--compare", out, "none"], "none: cannot be read"),
        (vec!["--compare", out, env!("CARGO_MANIFEST_DIR")], "holds no recordings"),
    ] {
        let output = program(&[&["record"], &arguments[..]].concat());
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
        // The parser of arguments appends a hint to its errors.
        let lines = text.lines().count();
        assert!(lines == 1 || text.contains("For more information"), "{arguments:?}: {text}");
    }
}
