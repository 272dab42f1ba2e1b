//! What the program says of configurations of either shape, and of those that mix them.

use std::process::{Command, Output};

use serde_json::{json, Value};

fn asking() -> Value {
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

fn told() -> Value {
    let mut settings = asking();
    settings["discovery"] = json!("automatic");
    settings["weights"] = json!("rough");
    settings["report"] = json!({"how": "silent", "fields": []});
    settings["policyLimits"]["mayDuplicate"] = json!(true);
    settings["familyInfo"]["zoneFee"] = json!([0.0, 0.0]);
    settings
}

fn check(settings: &Value) -> Output {
    let path = std::env::temp_dir().join(format!("reeddock-shape-{}.json", std::process::id()));
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

#[test]
fn either_shape_follows_from_the_settings_and_what_mixes_them_is_refused_with_its_key() {
    for (settings, shape) in [(asking(), "shape asking"), (told(), "shape told"), (json!({}), "shape told")] {
        let said = check(&settings);
        assert!(said.status.success(), "{}", line(&said.stderr));
        assert!(line(&said.stdout).contains(shape), "{}", line(&said.stdout));
    }
    let wrong = [
        (asking(), "/weights", json!("rough"), "weights"),
        (asking(), "/weights", json!(null), "weights"),
        (asking(), "/discovery", json!("automatic"), "discovery"),
        (asking(), "/policyLimits/mayDuplicate", json!(true), "policyLimits.mayDuplicate"),
        (asking(), "/report/how", json!("silent"), "weights"),
        (asking(), "/report/how", json!("telepathy"), "report.how"),
        (asking(), "/report/fields", json!(["x0"]), "report.fields"),
        (asking(), "/report/fields", json!(7), "report.fields"),
        (asking(), "/guarantees/mustAskInUs", json!(0), "guarantees.mustAskInUs"),
        (asking(), "/guarantees/mustAskInUs", json!(-5), "guarantees.mustAskInUs"),
        (asking(), "/familyInfo/zoneFee", json!([0.01]), "familyInfo.zoneFee"),
        (asking(), "/familyInfo/zoneFee", json!([0.01, -1.0]), "familyInfo.zoneFee[1]"),
        (asking(), "/az", json!("north"), "az"),
        (told(), "/weights", json!("nominal"), "weights"),
        (told(), "/discovery", json!("subscribe"), "discovery"),
        (told(), "/policyLimits/mayDuplicate", json!(false), "policyLimits.mayDuplicate"),
        (told(), "/report/how", json!("piggyback"), "weights"),
        (told(), "/familyInfo/zoneFee", json!([0.0, 0.04]), "familyInfo.zoneFee"),
    ];
    for (mut settings, at, value, key) in wrong {
        *settings.pointer_mut(at).unwrap() = value.clone();
        let said = check(&settings);
        let fault = line(&said.stderr);
        assert!(!said.status.success(), "{at} {value}");
        assert!(fault.contains(&format!("settings.{key}: ")) && fault.lines().count() == 1, "{at}: {fault}");
    }
}
