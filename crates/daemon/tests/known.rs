//! The list of endpoints in a configuration, short and long, sound and not.

use std::process::{Command, Output};

/// What the program says of a configuration with this after its other parts.
fn check(name: &str, known: &str) -> Output {
    let path = std::env::temp_dir().join(format!("reeddock-known-{}-{name}.json", std::process::id()));
    let file = format!(
        r#"{{"listen":"127.0.0.1:0","unheard":{{"of":[1]}},"discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"memory_mb":48,"sockets":256,"disk_mb":3}},{known}"settings":{{}}}}"#
    );
    std::fs::write(&path, file).unwrap();
    let said = Command::new(env!("CARGO_BIN_EXE_reeddock"))
        .args(["check".as_ref(), "--config".as_ref(), path.as_os_str()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    said
}

fn entry(n: usize) -> String {
    format!(
        r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:9","zone":"a","machineType":"m","cell":{n},"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
    )
}

fn list(entries: usize) -> String {
    let entries: Vec<String> = (0..entries).map(entry).collect();
    format!(r#""known":{{"generation":41,"reset":true,"instances":[{}]}},"#, entries.join(","))
}

#[test]
fn a_list_is_found_however_long_it_is_and_in_whatever_order() {
    let mixed =
        format!(r#""known":{{"instances":[{},{}],"more":{{"x":[]}},"generation":41}},"#, entry(1), entry(2));
    for (name, known, told) in [
        ("none", String::new(), "0 targets known, generation 0"),
        ("null", r#""known":null,"#.to_owned(), "0 targets known, generation 0"),
        ("empty", list(0), "0 targets known, generation 41"),
        ("short", list(2), "2 targets known, generation 41"),
        ("mixed", mixed, "2 targets known, generation 41"),
        ("long", list(20_000), "20000 targets known, generation 41"),
    ] {
        let said = check(name, &known);
        let text = String::from_utf8_lossy(&said.stdout);
        assert!(said.status.success() && text.contains(told), "{name}: {text} {:?}", said.stderr);
    }
}

#[test]
fn a_list_that_cannot_be_read_is_refused_in_one_line_with_its_place() {
    let bad = list(3).replace("\"cell\":2,\"lifecycle\":\"Ready\"", "\"cell\":2,\"lifecycle\":\"Sleeping\"");
    for (name, known, told) in [
        ("lifecycle", bad, "known: instances[2]: unknown lifecycle \"Sleeping\""),
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
        let said = check(name, &known);
        let fault = String::from_utf8_lossy(&said.stderr);
        assert!(!said.status.success() && fault.contains(told), "{name}: {fault}");
        assert!(fault.contains(&format!("-{name}.json")) && fault.lines().count() == 1, "{name}: {fault}");
    }
}
