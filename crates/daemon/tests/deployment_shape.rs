//! The deployment shape that `reeddock check` prints, for every combination of its properties.

#[path = "support/check_command.rs"]
mod check_command;
#[path = "support/temp_folder.rs"]
mod temp_folder;

use check_command::{check, CheckResult};
use serde_json::{json, Value};

/// Settings of a deployment whose responses carry load reports.
fn reporting_settings() -> Value {
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

fn check_settings(settings: &Value) -> CheckResult {
    let limits = json!({"memory_mb": 48, "sockets": 256, "disk_mb": 3});
    let config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "limits": limits,
                        "settings": settings});
    check(&config.to_string())
}

/// Returns the deployment shape that `reeddock check` prints for these settings.
fn shape(settings: &Value) -> String {
    let output = check_settings(settings).expect_success("shape");
    output.lines().find_map(|line| line.strip_prefix("shape ")).unwrap_or_default().to_owned()
}

#[test]
fn each_property_of_shape_depends_only_on_its_key() {
    let properties = [
        (
            "/report",
            [json!({"how": "silent", "fields": []}), json!({"how": "piggyback", "fields": ["x0", "x1"]})],
            ["responses carry no load reports", "responses carry load reports"],
        ),
        ("/weights", [json!("silent"), json!("nominal")], ["no listed rates", "exact rates"]),
        (
            "/discovery",
            [json!("automatic"), json!("subscribe")],
            ["endpoint list is pushed", "endpoint list is polled"],
        ),
        (
            "/policyLimits/mayDuplicate",
            [json!(false), json!(true)],
            ["one attempt in flight per message", "at most two attempts in flight per message"],
        ),
        ("/familyInfo/zoneFee", [json!([]), json!([0.0, 0.04])], ["no zone fees", "zone fees"]),
    ];
    for combination in 0..1 << properties.len() {
        let mut settings = reporting_settings();
        let mut expected = Vec::new();
        for (index, (pointer, values, words)) in properties.iter().enumerate() {
            let selected = combination >> index & 1;
            *settings.pointer_mut(pointer).unwrap() = values[selected].clone();
            expected.push(words[selected]);
        }
        assert_eq!(shape(&settings), expected.join(", "));
    }
}

#[test]
fn absent_or_null_keys_give_default_shape() {
    let default_shape =
        "responses carry no load reports, no listed rates, endpoint list is pushed, one attempt in flight per message, no zone fees";
    assert_eq!(shape(&json!({})), default_shape);
    let mut settings = reporting_settings();
    settings["report"]["fields"] = json!(["utilization", "x0"]);
    settings["weights"] = json!(null);
    assert_eq!(
        shape(&settings),
        "responses carry no load reports, no listed rates, endpoint list is polled, one attempt in flight per message, zone fees"
    );
    settings["weights"] = json!("rough");
    assert!(shape(&settings).contains("approximate rates"));
}

#[test]
fn malformed_value_is_rejected_with_key_in_one_line() {
    let malformed = [
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
    for (pointer, value, key) in malformed {
        let mut settings = reporting_settings();
        *settings.pointer_mut(pointer).unwrap() = value.clone();
        let error = check_settings(&settings).expect_one_line_error(&format!("{pointer} {value}"));
        assert!(error.contains(&format!("settings.{key}: ")), "error for {pointer} {value}: {error}");
    }
}
