//! Guards against renames in the code that change names read by operators and scripts: keys of JSON results,
//! keys and keywords of the scenario file, and options of the command line.

#[path = "support/full_scenario.rs"]
mod full_scenario;
#[path = "support/outside_names.rs"]
mod outside_names;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use full_scenario::{FULL_SCENARIO, SCENARIO_KEYS};
use outside_names::{help_names, key_paths};
use reeddock_experiments::ExperimentResult;
use reeddock_simulation::Scenario;
use serde_json::{json, Value};

/// Keys of statistics in JSON.
const STATISTICS: [&str; 4] = ["deviation", "least", "mean", "most"];

fn scenario_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name)
}

fn printed_text(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock-experiment"));
    let output = command.args(arguments).output().unwrap();
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn printed_json(arguments: &[&str]) -> Value {
    serde_json::from_str(&printed_text(&[arguments, &["--json"]].concat())).unwrap()
}

/// Returns a report in which every list has an item and every invariant is broken.
fn report() -> Value {
    let rules =
        ["interface", "one_answer", "no_double_effect", "drains", "not_pushed_over", "order", "waits"];
    let broken = rules.map(|rule| {
        json!({"rule": rule, "at_s": 1.5, "forwarder": 1, "envelope": 2, "what": "a", "led_by": ["b"]})
    });
    let part = json!({"name": "a", "asked": 2.5, "share": 0.5});
    json!({
        "scenario": "a", "policy": "module", "seed": 1, "credit": 0.5, "credit_worst_span": 0.25,
        "credit_worst_category": 0.25, "first_tries": 1, "envelopes": 2,
        "categories": [part], "programs": [part], "destinations": [part],
        "ends": {
            "completed_in_time": 1, "completed_late": 2, "shed": 3, "broken_off": 4, "withdrawn": 5,
            "turned_away": 6, "lost": 7,
        },
        "dispatches": {
            "all": 1, "calls": 2, "completed": 3, "errors": 4, "full": 5, "timed_out": 6,
            "no_connection": 7, "broken": 8, "called_off": 9, "unsent": 10,
        },
        "latency_ms": {"p50": 1, "p90": 2, "p99": 3, "worst": 4},
        "dispatches_per_try": 1.5, "refusals_per_try": 2.5, "work_wasted": 0.5, "slots_used": 0.25,
        "new_connections_per_try": 0.75, "repeats_applied": 1, "falls": 2, "rules_broken": 7,
        "broken": broken,
        "seconds": [{
            "credit": {"asked": 1.5, "earned": 0.5}, "dispatched": 1, "completed": 2, "refused": 3,
            "shed": 4, "broken_off": 5,
        }],
        "watched": [{
            "destination": 1, "kind": "a", "limit": 2.5,
            "seconds": [{"calls": 1, "refused": 2, "served": 3, "capacity": 4.5}],
        }],
        "latency_steps": [[10, 2]], "unfinished": 1, "ran_s": 60.5, "events": 3, "turns": 4,
    })
}

/// Returns a policy's summary in a comparison or sweep.
fn summary() -> Value {
    let statistics = json!({"mean": 1.5, "deviation": 0.5, "least": 1.25, "most": 1.75});
    json!({
        "policy": "module", "days": 1,
        "figures": {
            "credit": statistics, "worst_span": 0.5, "worst_category": 0.25, "p50_ms": 1.5, "p99_ms": 2.5,
            "dispatches_per_try": 1.5, "refusals_per_try": 0.5, "work_wasted": 0.5, "slots_used": 0.25,
        },
        "against_first": statistics, "rules_broken": 1, "days_with_broken_rules": 1, "falls": 2,
    })
}

/// Asserts that a result is read from this JSON and written as the same JSON, with the same keys.
fn assert_read_and_written(expected: &Value) {
    let result: ExperimentResult = serde_json::from_value(expected.clone()).unwrap();
    let written: Value = serde_json::from_str(&result.to_json().unwrap()).unwrap();
    assert_eq!(key_paths(&written), key_paths(expected));
    assert_eq!(&written, expected);
}

#[test]
fn run_and_replay_results_are_read_and_written_with_these_keys() {
    assert_read_and_written(&json!({"kind": "runs", "reports": [report()]}));
    assert_read_and_written(&json!({"kind": "replay", "seen": true, "was": "a", "report": report()}));
}

#[test]
fn comparison_and_sweep_results_are_read_and_written_with_these_keys() {
    let comparison =
        json!({"kind": "comparison", "scenario": "a", "rows": [summary()], "first_days": [report()]});
    assert_read_and_written(&comparison);
    let rows = json!([{"values": ["1"], "row": summary()}]);
    assert_read_and_written(&json!({"kind": "sweep", "scenario": "a", "keys": ["lasts_s"], "rows": rows}));
}

#[test]
fn search_results_are_read_and_written_with_these_keys() {
    let found = json!([{
        "file": "found/a.toml", "what": "a", "credit": 0.5, "one_try": 0.25, "ceiling": 0.75, "first_tries": 9,
    }]);
    assert_read_and_written(&json!({
        "kind": "search", "scenarios": 3, "with_broken_rules": 1, "under_one_try": 2, "found": found,
    }));
}

#[test]
fn comparison_is_printed_with_these_keys_and_policy_names() {
    let file = scenario_file("first-morning.toml");
    let printed = printed_json(&["compare", file.to_str().unwrap(), "--seeds", "1"]);
    let expected =
        json!({"kind": "comparison", "scenario": "a", "rows": [summary()], "first_days": [report()]});
    // Keys of violations are ignored, because they are missing if no policy breaks an invariant in this run.
    let without_violations = |value: &Value| {
        let mut paths = key_paths(value);
        paths.retain(|path| !path.starts_with("first_days[].broken[]"));
        paths
    };
    assert_eq!(without_violations(&printed), without_violations(&expected));
    let policies: Vec<&str> =
        printed["rows"].as_array().unwrap().iter().map(|row| row["policy"].as_str().unwrap()).collect();
    assert_eq!(policies, ["module", "one-try", "back-off", "breaker", "ceiling"]);
}

/// Returns the paths of a table's keys, whose rows hold statistics and other values.
fn table_paths(keys: &[&str], statistics: &[&str], others: &[&str]) -> BTreeSet<String> {
    let mut paths: BTreeSet<String> = keys.iter().map(|key| (*key).to_owned()).collect();
    paths.extend(others.iter().chain(statistics).map(|key| format!("rows[].{key}")));
    for key in statistics {
        paths.extend(STATISTICS.iter().map(|statistic| format!("rows[].{key}.{statistic}")));
    }
    paths
}

#[test]
fn recovery_study_is_printed_with_these_keys() {
    let file = scenario_file("cold-return.toml");
    let overrides = ["--set", "fleet.forwarders=3", "--set", "lasts_s=40", "--seeds", "1"];
    let printed = printed_json(&[&["ramp", file.to_str().unwrap()], overrides.as_slice()].concat());
    let statistics = ["allowed", "known", "ratio", "sum"];
    let others =
        ["policy", "ratio_median", "returns", "seeds", "seeds_broken", "seeds_over", "usual_per_s", "values"];
    assert_eq!(key_paths(&printed), table_paths(&["keys", "rows", "scenario"], &statistics, &others));
}

#[test]
fn sharing_study_is_printed_with_these_keys() {
    let file = scenario_file("seldom-met.toml");
    let mut arguments = vec!["sharing", file.to_str().unwrap()];
    arguments.extend(["--forwarders", "30", "--meet-every", "25", "--down", "0.1", "--outage", "60"]);
    arguments.extend(["--cells", "1000", "--full", "1000", "--seeds", "1"]);
    let statistics = [
        "connections_per_s",
        "credit",
        "credit_down",
        "down",
        "first_lost",
        "first_lost_to_known",
        "trials_per_envelope",
        "trials_per_s",
    ];
    let others = ["destinations", "forwarders", "policy", "rules_broken", "seeds"];
    let expected = table_paths(&["rows", "scenario"], &statistics, &others);
    assert_eq!(key_paths(&printed_json(&arguments)), expected);
}

#[test]
fn recordings_and_their_comparison_are_printed_with_these_keys() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("recordings");
    let out = out.to_str().unwrap();
    let recorded = printed_json(&["record", "--streams", "1", "--digest", "--out", out]);
    let paths = key_paths(&recorded);
    assert!(paths.iter().eq(["files", "files[].digest", "files[].file", "files[].lines"]), "{paths:?}");
    let paths = key_paths(&printed_json(&["record", "--compare", out, out]));
    assert!(paths.iter().eq(["different", "equal", "pairs"]), "{paths:?}");
}

#[test]
fn scenario_with_every_key_is_read_and_written_with_these_keys() {
    let scenario = Scenario::parse("full", FULL_SCENARIO, &[]).unwrap();
    let written = serde_json::to_value(&scenario).unwrap();
    let paths = key_paths(&written);
    let expected: BTreeSet<String> = SCENARIO_KEYS.lines().map(str::to_owned).collect();
    assert_eq!(paths, expected);
    assert_eq!(Scenario::parse("written", &scenario.to_text(), &[]).unwrap(), scenario);
}

#[test]
fn scenario_keywords_are_written_as_they_are_read() {
    let scenario = Scenario::parse("full", FULL_SCENARIO, &[]).unwrap();
    let written = serde_json::to_value(&scenario).unwrap();
    let words = |section: &str, key: &str| -> Vec<Value> {
        written[section].as_array().unwrap().iter().map(|item| item[key].clone()).collect()
    };
    assert_eq!(words("category", "effect"), [json!("pure"), json!({"receipted": 6.0}), json!("effectful")]);
    assert_eq!(words("category", "decay"), ["line", "halves", "line"]);
    assert_eq!(words("kind", "limit"), [json!("none"), json!("rate"), json!({"span": 2.0})]);
    assert_eq!(written["list"]["weights"], "rates");
    assert_eq!(written["found"]["rule"], "not_pushed_over");
    let without_rates = FULL_SCENARIO.replace("weights = \"rates\"", "weights = \"none\"");
    let scenario = Scenario::parse("no rates", &without_rates, &[]).unwrap();
    assert_eq!(serde_json::to_value(&scenario).unwrap()["list"]["weights"], "none");
}

#[test]
fn program_has_these_subcommands() {
    let help = printed_text(&["--help"]);
    let expected =
        ["compare", "help", "ramp", "record", "replay", "report", "run", "search", "sharing", "sweep"];
    assert_eq!(help_names(&help, "Commands:"), expected);
    assert_eq!(help_names(&help, "Options:"), ["--help", "--json", "--threads", "--version"]);
}

#[test]
fn subcommands_have_these_options() {
    for (subcommand, own_options) in [
        ("compare", vec!["--out", "--policies", "--seeds"]),
        ("ramp", vec!["--policies", "--seeds", "--set"]),
        ("record", vec!["--compare", "--digest", "--out", "--seed", "--seeds", "--streams"]),
        ("replay", vec![]),
        ("report", vec!["--to"]),
        ("run", vec!["--out", "--policy", "--seed"]),
        ("search", vec!["--keep", "--minutes", "--out", "--seed"]),
        (
            "sharing",
            vec!["--cells", "--down", "--forwarders", "--full", "--meet-every", "--outage", "--seeds"],
        ),
        ("sweep", vec!["--out", "--policies", "--seeds", "--set"]),
    ] {
        let mut expected = [own_options, vec!["--help", "--json", "--threads"]].concat();
        expected.sort_unstable();
        let help = printed_text(&[subcommand, "--help"]);
        assert_eq!(help_names(&help, "Options:"), expected, "{subcommand}");
    }
}
