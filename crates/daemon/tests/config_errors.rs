//! Invalid configurations and command lines are reported in one line on standard error, with exit code 1.

#[path = "support/process.rs"]
mod process;
#[path = "support/temp_folder.rs"]
mod temp_folder;
#[path = "support/wait.rs"]
mod wait;

use std::io::Read;
use std::path::Path;
use std::process::{Command, Stdio};

use process::{serve_command, KillOnDrop};
use serde_json::{json, Value};
use temp_folder::TempFolder;
use wait::wait_for;

const FAILURE_CODE: Option<i32> = Some(1);

fn valid_config() -> Value {
    json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"memory_mb": 48, "sockets": 256, "disk_mb": 3}, "settings": {},
    })
}

/// Runs a command, checks that it fails with one line on standard error, and returns the line.
fn one_line_error(command: &mut Command) -> String {
    let spawned = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut process = KillOnDrop(spawned.unwrap());
    // The wait is limited, because a forwarder that serves despite the error would not end.
    let status = wait_for("the end of the process", || process.0.try_wait().unwrap());
    let (mut output, mut error) = (String::new(), String::new());
    process.0.stdout.take().unwrap().read_to_string(&mut output).unwrap();
    process.0.stderr.take().unwrap().read_to_string(&mut error).unwrap();
    assert_eq!(status.code(), FAILURE_CODE, "exit code; standard error: {error}");
    assert_eq!(output, "", "standard output");
    assert!(
        error.starts_with("reeddock: ") && error.ends_with('\n'),
        "expected one line that starts with `reeddock: `, found {error:?}"
    );
    assert_eq!(error.lines().count(), 1, "lines on standard error: {error}");
    error
}

fn check_command(config_file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    command.args(["check".as_ref(), "--config".as_ref(), config_file.as_os_str()]);
    command
}

/// Checks that `check` and `serve` reject this file with the same error, and returns the error.
fn error_of_check_and_serve(config_file: &Path) -> String {
    let state = TempFolder::new("config-errors-state");
    let error = one_line_error(&mut check_command(config_file));
    assert_eq!(one_line_error(&mut serve_command(config_file, state.path())), error);
    error
}

#[test]
fn missing_or_malformed_key_is_reported_with_file_and_expected_value() {
    let folder = TempFolder::new("config-errors");
    let file = folder.path().join("config.json");
    let address = "expected IP:PORT";
    let seed = "expected a string with a hexadecimal number of 64 bits";
    let limit = "expected a number of at least 0";
    for (key, malformed, expected_value) in [
        ("listen", json!("nowhere"), address),
        ("discovery", json!(7), address),
        ("seed", json!("not hexadecimal"), seed),
        ("settings", json!([]), "expected an object"),
        ("limits/memory_mb", json!(-1), limit),
        ("limits/sockets", json!("many"), limit),
        ("limits/disk_mb", json!(null), limit),
    ] {
        let pointer = format!("/{key}");
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        let mut without_key = valid_config();
        without_key.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(field).unwrap();
        let mut with_malformed = valid_config();
        *with_malformed.pointer_mut(&pointer).unwrap() = malformed;
        for config in [without_key, with_malformed] {
            std::fs::write(&file, config.to_string()).unwrap();
            let name = key.replace('/', ".");
            let expected =
                format!("reeddock: {}: missing or malformed key {name}: {expected_value}\n", file.display());
            assert_eq!(error_of_check_and_serve(&file), expected, "error for {config}");
        }
    }
}

#[test]
fn invalid_json_or_wrong_type_is_reported_with_file() {
    let folder = TempFolder::new("config-errors");
    let file = folder.path().join("config.json");
    for (text, expected) in [
        ("", "is not JSON: EOF while parsing a value at line 1 column 0"),
        ("{\"listen\":\n\"127.0.0.1:0\",\n\n", "is not JSON: EOF while parsing a value at line 4 column 0"),
        ("{\n} and\nmore\n", "is not JSON: trailing characters at line 2 column 3"),
        ("[\n]\n", "invalid type: sequence, expected a JSON object with the configuration"),
        ("\"two\\nlines\"", "expected a JSON object with the configuration"),
    ] {
        std::fs::write(&file, text).unwrap();
        let error = error_of_check_and_serve(&file);
        assert!(error.contains(expected) && error.contains(&file.display().to_string()), "{text:?}: {error}");
    }
}

#[test]
fn unreadable_file_is_reported() {
    let folder = TempFolder::new("config-errors");
    for file in [folder.path().join("missing.json"), folder.path().to_owned()] {
        let error = error_of_check_and_serve(&file);
        assert!(
            error.starts_with(&format!("reeddock: cannot read {}: ", file.display())),
            "expected an error that names the file: {error}"
        );
    }
}

#[test]
fn error_stays_on_one_line_with_line_break_in_file_name() {
    let folder = TempFolder::new("config-errors");
    let error = error_of_check_and_serve(&folder.path().join("two\nlines.json"));
    assert!(error.contains("two lines.json: "), "expected the file name in one line: {error}");
}

#[test]
fn incomplete_or_unknown_arguments_are_rejected() {
    for (arguments, expected) in [
        (
            &["check"][..],
            "reeddock: no configuration file: expected --config FILE or the environment variable EDGE_CONFIG\n",
        ),
        (
            &["serve", "--config", "x"],
            "reeddock: no state folder: expected --state FOLDER or the environment variable EDGE_STATE\n",
        ),
        (&[], "reeddock: no command given; `reeddock help` lists the commands\n"),
        (&["deliver"], "reeddock: unknown command \"deliver\"; `reeddock help` lists the commands\n"),
        (&["check", "--unheard"], "reeddock: invalid option '--unheard'\n"),
        (&["check", "--config"], "reeddock: missing argument for option '--config'\n"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
        command.args(arguments).env_remove("EDGE_CONFIG").env_remove("EDGE_STATE");
        assert_eq!(one_line_error(&mut command), expected, "error for {arguments:?}");
    }
}
