//! The endpoint list in a configuration: short and long, well-formed and malformed.

#[path = "support/check_command.rs"]
mod check_command;
#[path = "support/temp_folder.rs"]
mod temp_folder;

use check_command::{check, CheckResult};

/// Checks a configuration with this text between its other parts.
fn check_with_list(list: &str) -> CheckResult {
    check(&format!(
        r#"{{"listen":"127.0.0.1:0","unheard":{{"of":[1]}},"discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"memory_mb":48,"sockets":256,"disk_mb":3}},{list}"settings":{{}}}}"#
    ))
}

fn entry(n: usize) -> String {
    format!(
        r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:9","zone":"a","machineType":"m","cell":{n},"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
    )
}

fn list_of(entries: usize) -> String {
    let entries: Vec<String> = (0..entries).map(entry).collect();
    format!(r#""known":{{"generation":41,"reset":true,"instances":[{}]}},"#, entries.join(","))
}

#[test]
fn a_list_is_read_however_long_it_is_and_in_whatever_order() {
    let mixed =
        format!(r#""known":{{"instances":[{},{}],"more":{{"x":[]}},"generation":41}},"#, entry(1), entry(2));
    for (name, list, expected) in [
        ("none", String::new(), "0 targets known, generation 0"),
        ("null", r#""known":null,"#.to_owned(), "0 targets known, generation 0"),
        ("empty", list_of(0), "0 targets known, generation 41"),
        ("short", list_of(2), "2 targets known, generation 41"),
        ("mixed", mixed, "2 targets known, generation 41"),
        ("long", list_of(20_000), "20000 targets known, generation 41"),
    ] {
        let output = check_with_list(&list).expect_success(name);
        assert!(output.contains(expected), "{name}: {output}");
    }
}

#[test]
fn a_malformed_list_is_refused_in_one_line_with_its_place() {
    let unknown_state =
        list_of(3).replace("\"cell\":2,\"lifecycle\":\"Ready\"", "\"cell\":2,\"lifecycle\":\"Sleeping\"");
    for (name, list, expected) in [
        ("lifecycle", unknown_state, "known: instances[2]: unknown lifecycle \"Sleeping\""),
        ("generation", r#""known":{"instances":[]},"#.into(), "known: missing field `generation`"),
        (
            "twice",
            r#""known":{"generation":1,"generation":2},"#.into(),
            "known: duplicate field `generation`",
        ),
        ("number", r#""known":7,"#.into(), "known: invalid type: integer `7`, expected a list of targets"),
        (
            "entries",
            r#""known":{"generation":1,"instances":null},"#.into(),
            "expected a list of targets in brackets",
        ),
        ("reset", r#""known":{"generation":1,"reset":1},"#.into(), "expected a boolean"),
        ("cut", r#""known":{"generation":1,"#.into(), "is not JSON"),
    ] {
        let error = check_with_list(&list).expect_one_line_error(name);
        assert!(error.contains(expected), "{name}: {error}");
    }
}
