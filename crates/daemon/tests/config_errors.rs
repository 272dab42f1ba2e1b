//! A configuration or command line that can't be used: the program says why in one line on standard error, and exits
//! with code 1.

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

const FAILURE: Option<i32> = Some(1);

/// A configuration without which nothing is wrong.
fn good_config() -> Value {
    json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"memory_mb": 48, "sockets": 256, "disk_mb": 3}, "settings": {},
    })
}

/// Runs a command that has to fail, and returns the one line that it writes.
fn one_line_error(command: &mut Command) -> String {
    let spawned = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut process = KillOnDrop(spawned.unwrap());
    // One that went on serving in spite of the error would never end.
    let status = wait_for("the program's end", || process.0.try_wait().unwrap());
    let (mut output, mut error) = (String::new(), String::new());
    process.0.stdout.take().unwrap().read_to_string(&mut output).unwrap();
    process.0.stderr.take().unwrap().read_to_string(&mut error).unwrap();
    assert_eq!(status.code(), FAILURE, "{error}");
    assert_eq!(output, "");
    assert!(error.starts_with("reeddock: ") && error.ends_with('\n'), "{error:?}");
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

fn check_command(config_file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    command.args(["check".as_ref(), "--config".as_ref(), config_file.as_os_str()]);
    command
}

/// Both commands that read a configuration refuse this file, with the same line.
fn refused_by_check_and_serve(config_file: &Path) -> String {
    let state = TempFolder::new("config-errors-state");
    let error = one_line_error(&mut check_command(config_file));
    assert_eq!(one_line_error(&mut serve_command(config_file, state.path())), error);
    error
}

#[test]
fn a_missing_or_malformed_part_is_named_with_the_file() {
    let folder = TempFolder::new("config-errors");
    let file = folder.path().join("config.json");
    for (part, malformed) in [
        ("listen", json!("nowhere")),
        ("discovery", json!(7)),
        ("seed", json!("not hexadecimal")),
        ("settings", json!([])),
        ("limits/memory_mb", json!(-1)),
        ("limits/sockets", json!("many")),
        ("limits/disk_mb", json!(null)),
    ] {
        let pointer = format!("/{part}");
        let (within, key) = pointer.rsplit_once('/').unwrap();
        let mut without = good_config();
        without.pointer_mut(within).unwrap().as_object_mut().unwrap().remove(key).unwrap();
        let mut with_malformed = good_config();
        *with_malformed.pointer_mut(&pointer).unwrap() = malformed;
        for config in [without, with_malformed] {
            std::fs::write(&file, config.to_string()).unwrap();
            let name = part.replace('/', ".");
            let expected = format!("reeddock: {}: {name} is missing or malformed\n", file.display());
            assert_eq!(refused_by_check_and_serve(&file), expected, "{config}");
        }
    }
}

#[test]
fn text_that_is_no_configuration_is_refused_with_the_file() {
    let folder = TempFolder::new("config-errors");
    let file = folder.path().join("config.json");
    for (text, expected) in [
        ("", "is not JSON: EOF while parsing a value at line 1 column 0"),
        ("{\"listen\":\n\"127.0.0.1:0\",\n\n", "is not JSON: EOF while parsing a value at line 4 column 0"),
        ("{\n} and\nmore\n", "is not JSON: trailing characters at line 2 column 3"),
        ("[\n]\n", "invalid type: sequence, expected a configuration"),
        ("\"two\\nlines\"", "expected a configuration"),
    ] {
        std::fs::write(&file, text).unwrap();
        let error = refused_by_check_and_serve(&file);
        assert!(error.contains(expected) && error.contains(&file.display().to_string()), "{text:?}: {error}");
    }
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let folder = TempFolder::new("config-errors");
    for file in [folder.path().join("missing.json"), folder.path().to_owned()] {
        let error = refused_by_check_and_serve(&file);
        assert!(error.starts_with(&format!("reeddock: cannot read {}: ", file.display())), "{error}");
    }
}

#[test]
fn a_line_break_in_the_file_name_does_not_break_the_error() {
    let folder = TempFolder::new("config-errors");
    let error = refused_by_check_and_serve(&folder.path().join("two\nlines.json"));
    assert!(error.contains("two lines.json: "), "{error}");
}

#[test]
fn a_command_line_that_lacks_something_or_has_too_much_is_refused() {
    for (arguments, expected) in [
        (&["check"][..], "reeddock: no --config, and EDGE_CONFIG names no file\n"),
        (&["serve", "--config", "x"], "reeddock: no --state, and EDGE_STATE names no folder that lasts\n"),
        (&[], "reeddock: no command; see reeddock help\n"),
        (&["deliver"], "reeddock: no command \"deliver\"; see reeddock help\n"),
        (&["check", "--unheard"], "reeddock: invalid option '--unheard'\n"),
        (&["check", "--config"], "reeddock: missing argument for option '--config'\n"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
        command.args(arguments).env_remove("EDGE_CONFIG").env_remove("EDGE_STATE");
        assert_eq!(one_line_error(&mut command), expected, "{arguments:?}");
    }
}
