//! Endpoint lists in a configuration: lists of different lengths, and malformed lists.

#[path = "support/check_command.rs"]
mod check_command;
#[path = "support/temp_folder.rs"]
mod temp_folder;

use check_command::{check, CheckResult};

/// Runs `reeddock check` on a configuration that contains the text `list` between its other keys.
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

fn list_with_entries(entry_count: usize) -> String {
    let entries: Vec<String> = (0..entry_count).map(entry).collect();
    format!(r#""known":{{"generation":41,"reset":true,"instances":[{}]}},"#, entries.join(","))
}

#[test]
fn list_of_any_length_and_key_order_is_read() {
    let reordered =
        format!(r#""known":{{"instances":[{},{}],"more":{{"x":[]}},"generation":41}},"#, entry(1), entry(2));
    for (name, list, expected) in [
        ("none", String::new(), "cached endpoint list: 0 endpoints, generation 0\n"),
        ("null", r#""known":null,"#.to_owned(), "cached endpoint list: 0 endpoints, generation 0\n"),
        ("empty", list_with_entries(0), "cached endpoint list: 0 endpoints, generation 41\n"),
        ("short", list_with_entries(2), "cached endpoint list: 2 endpoints, generation 41\n"),
        ("reordered", reordered, "cached endpoint list: 2 endpoints, generation 41\n"),
        ("long", list_with_entries(20_000), "cached endpoint list: 20000 endpoints, generation 41\n"),
    ] {
        let output = check_with_list(&list).expect_success(name);
        assert!(output.contains(expected), "{name}: {output}");
    }
}

#[test]
fn malformed_list_is_rejected_with_place_in_one_line() {
    let unknown_state = list_with_entries(3)
        .replace("\"cell\":2,\"lifecycle\":\"Ready\"", "\"cell\":2,\"lifecycle\":\"Sleeping\"");
    for (name, list, expected) in [
        ("lifecycle", unknown_state, "known: instances[2]: unknown lifecycle \"Sleeping\""),
        ("generation", r#""known":{"instances":[]},"#.into(), "known: missing field `generation`"),
        (
            "twice",
            r#""known":{"generation":1,"generation":2},"#.into(),
            "known: duplicate field `generation`",
        ),
        (
            "number",
            r#""known":7,"#.into(),
            "known: invalid type: integer `7`, expected an endpoint list as a JSON object",
        ),
        (
            "entries",
            r#""known":{"generation":1,"instances":null},"#.into(),
            "expected a JSON array of endpoints",
        ),
        ("reset", r#""known":{"generation":1,"reset":1},"#.into(), "expected a boolean"),
        ("cut", r#""known":{"generation":1,"#.into(), "is not JSON"),
    ] {
        let error = check_with_list(&list).expect_one_line_error(name);
        assert!(error.contains(expected), "{name}: {error}");
    }
}
