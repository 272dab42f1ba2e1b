//! What the program says of how configurations lay a deployment out, part by part and in every mixture.

use std::process::{Command, Output};

use serde_json::{json, Value};

fn reporting() -> Value {
    json!({
        "balancers": 200, "az": "east", "areas": ["east", "west"], "discovery": "subscribe", "weights": "nominal",
        "classes": [{"name": "update", "effect": "idempotent", "onTimeUs": 2000000, "giveUpUs": 20000000}],
        "kinds": ["partner"],
        "report": {"how": "piggyback", "fields": ["x0", "x1"]},
        "familyInfo": {"maxCalls": 2, "batchByKind": [1], "kindApart": [true], "zoneFee": [0.01, 0.04]},
        "policyLimits": {"openCap": 8, "attemptsCap": 8, "mayDuplicate": false, "connIdleUs": 15000000},
        "guarantees": {"mustAskInUs": 10000000}, "tariffs": {"handshake": 0.04}, "unheard": {"of": 1}
    })
}

fn check(settings: &Value) -> Output {
    let path = std::env::temp_dir().join(format!(
        "reeddock-shape-{}-{:?}.json",
        std::process::id(),
        std::thread::current().id()
    ));
    let limits = json!({"memory_mb": 48, "sockets": 256, "disk_mb": 3});
    let file = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "limits": limits,
                      "settings": settings});
    std::fs::write(&path, file.to_string()).unwrap();
    let said = Command::new(env!("CARGO_BIN_EXE_reeddock"))
        .args(["check".as_ref(), "--config".as_ref(), path.as_os_str()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    said
}

fn line(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// How the program names the parts of these settings.
fn shape(settings: &Value) -> String {
    let said = check(settings);
    assert!(said.status.success(), "{}", line(&said.stderr));
    let told = line(&said.stdout);
    told.lines().find_map(|l| l.strip_prefix("shape ")).unwrap_or_default().to_owned()
}

#[test]
fn each_part_follows_from_its_own_key_whatever_the_others_say() {
    let parts = [
        (
            "/report",
            [json!({"how": "silent", "fields": []}), json!({"how": "piggyback", "fields": ["x0", "x1"]})],
            ["answers tell of no limit", "answers tell of limits"],
        ),
        ("/weights", [json!("silent"), json!("nominal")], ["no listed rates", "exact rates"]),
        ("/discovery", [json!("automatic"), json!("subscribe")], ["lists are pushed", "lists are asked for"]),
        (
            "/policyLimits/mayDuplicate",
            [json!(false), json!(true)],
            ["one dispatch out at a time", "two dispatches out at most"],
        ),
        ("/familyInfo/zoneFee", [json!([]), json!([0.0, 0.04])], ["no fees", "fees by zone"]),
    ];
    for mixture in 0..1 << parts.len() {
        let mut settings = reporting();
        let mut expected = Vec::new();
        for (place, (at, values, words)) in parts.iter().enumerate() {
            let which = mixture >> place & 1;
            *settings.pointer_mut(at).unwrap() = values[which].clone();
            expected.push(words[which]);
        }
        assert_eq!(shape(&settings), expected.join(", "));
    }
}

#[test]
fn what_is_left_out_or_told_of_other_things_is_untold() {
    let bare =
        "answers tell of no limit, no listed rates, lists are pushed, one dispatch out at a time, no fees";
    assert_eq!(shape(&json!({})), bare);
    let mut settings = reporting();
    settings["report"]["fields"] = json!(["utilization", "x0"]);
    settings["weights"] = json!(null);
    assert_eq!(
        shape(&settings),
        "answers tell of no limit, no listed rates, lists are asked for, one dispatch out at a time, fees by zone"
    );
    settings["weights"] = json!("rough");
    assert!(shape(&settings).contains("rough rates"));
}

#[test]
fn a_value_that_means_nothing_is_refused_with_its_key() {
    let wrong = [
        ("/weights", json!("heavy"), "weights"),
        ("/weights", json!(7), "weights"),
        ("/discovery", json!("telepathy"), "discovery"),
        ("/policyLimits/mayDuplicate", json!("perhaps"), "policyLimits.mayDuplicate"),
        ("/report/how", json!("telepathy"), "report.how"),
        ("/report/fields", json!(7), "report.fields"),
        ("/guarantees/mustAskInUs", json!(0), "guarantees.mustAskInUs"),
        ("/guarantees/mustAskInUs", json!(-5), "guarantees.mustAskInUs"),
        ("/guarantees/mustAskInUs", json!(null), "guarantees.mustAskInUs"),
        ("/familyInfo/zoneFee", json!([0.01]), "familyInfo.zoneFee"),
        ("/familyInfo/zoneFee", json!([0.01, -1.0]), "familyInfo.zoneFee[1]"),
        ("/familyInfo/zoneFee", json!("free"), "familyInfo.zoneFee"),
        ("/areas", json!("east"), "areas"),
        ("/az", json!("north"), "az"),
    ];
    for (at, value, key) in wrong {
        let mut settings = reporting();
        *settings.pointer_mut(at).unwrap() = value.clone();
        let said = check(&settings);
        let fault = line(&said.stderr);
        assert!(!said.status.success(), "{at} {value}");
        assert!(fault.contains(&format!("settings.{key}: ")) && fault.lines().count() == 1, "{at}: {fault}");
    }
}
