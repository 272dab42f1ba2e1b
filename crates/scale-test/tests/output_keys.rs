//! Renames in the code must not change the names that operators and scripts use: keys and labels of JSON
//! lines, keys of scenario files, and command line options.

#[path = "../../experiments/tests/support/outside_names.rs"]
mod outside_names;

use std::collections::BTreeSet;
use std::process::Command;

use outside_names::{help_names, key_paths};
use reeddock_scale_test::fit::{least_squares, FittedMetric};
use reeddock_scale_test::report::{
    Component, ForwarderUsage, LatencyStart, LatencySummary, OperatingCondition, ResultLine, RunPhase,
    TrafficRates,
};
use reeddock_scale_test::scenario::{FaultKind, Scenario};
use serde::Serialize;
use serde_json::{json, Value};

/// A scenario file with all keys and all kinds of faults.
const FULL_SCENARIO: &str = r#"
version = 1
name = "full"
about = "every key of a scenario"
seed = 1
limit_s = 60

[fleet]
real = 2
hollow = 40
hollow_threads = 2
zones = 7
regions = 3

[list]
targets = 500
whole_at_once = 4
start_within_s = 20

[changes]
every_s = 0.1
probe_every = 4
lasts_s = 6
settle_within_s = 20

[process]
memory_mb = 64
descriptors = 256
disk_mb = 3

[traffic]
per_forwarder_per_s = 20

[[trouble]]
kind = "rolling_restart"
at_s = 0.5
one_in = 10
gap_s = 0.1
down_s = 0.3

[[trouble]]
kind = "control_restart"
at_s = 2
down_s = 0.3
forgets = true

[[trouble]]
kind = "zone"
at_s = 3
down_s = 0.2
zone = 3

[[trouble]]
kind = "rack"
at_s = 3.5
down_s = 0.2
zone = 5
machines = 3

[[trouble]]
kind = "region_cut"
at_s = 3.5
lasts_s = 2
region = 1

[fit]
targets = [100, 200, 300, 400]
hollow = [10, 20, 30, 40]
target_targets = 320000
target_forwarders = 1000
"#;

/// Paths of the keys of [`FULL_SCENARIO`] in JSON, without the keys of faults.
const SCENARIO_KEYS: [&str; 32] = [
    "about",
    "changes",
    "changes.every_s",
    "changes.lasts_s",
    "changes.probe_every",
    "changes.settle_within_s",
    "fit",
    "fit.hollow",
    "fit.target_forwarders",
    "fit.target_targets",
    "fit.targets",
    "fleet",
    "fleet.hollow",
    "fleet.hollow_threads",
    "fleet.real",
    "fleet.regions",
    "fleet.zones",
    "limit_s",
    "list",
    "list.start_within_s",
    "list.targets",
    "list.whole_at_once",
    "name",
    "process",
    "process.descriptors",
    "process.disk_mb",
    "process.memory_mb",
    "seed",
    "traffic",
    "traffic.per_forwarder_per_s",
    "trouble",
    "version",
];

fn to_json(value: impl Serialize) -> Value {
    serde_json::to_value(value).unwrap()
}

fn full_scenario() -> Scenario {
    Scenario::parse("full", FULL_SCENARIO).unwrap()
}

fn latency() -> LatencySummary {
    LatencySummary { count: 1, p50_ms: 2.5, p99_ms: 3.5, max_ms: 4.5 }
}

fn usage() -> ForwarderUsage {
    ForwarderUsage { forwarder: 1, starts: 2, processor_s: 3.5, resident_bytes: 4, resident_peak_bytes: 5 }
}

/// Returns the JSON form of [`latency`].
fn latency_json() -> Value {
    json!({"count": 1, "p50_ms": 2.5, "p99_ms": 3.5, "worst_ms": 4.5})
}

/// Returns the JSON form of [`usage`].
fn usage_json() -> Value {
    json!({"forwarder": 1, "starts": 2, "processor_s": 3.5, "resident_bytes": 4, "resident_peak_bytes": 5})
}

#[test]
fn run_line_keeps_its_keys() {
    let line = to_json(ResultLine::Run { scenario: Box::new(full_scenario()), version: "1", cores: 2 });
    assert_eq!(line["line"], "run");
    assert_eq!(line["scenario"], to_json(full_scenario()));
    let keys: Vec<&String> = line.as_object().unwrap().keys().collect();
    let sorted: BTreeSet<&str> = keys.into_iter().map(String::as_str).collect();
    assert!(sorted.iter().eq(&["cores", "line", "scenario", "version"]), "{sorted:?}");
}

#[test]
fn latency_lines_keep_their_keys_and_labels() {
    let latency = latency();
    let spans = latency_json();
    let (component, condition, measured_from) =
        (Component::HollowForwarders, OperatingCondition::Normal, LatencyStart::ListChange);
    assert_eq!(
        to_json(ResultLine::ListInEffect { component, condition: OperatingCondition::FirstStart, latency }),
        json!({"line": "list_in_force", "role": "hollow", "occasion": "first start", "spans": spans})
    );
    assert_eq!(
        to_json(ResultLine::ChangeInEffect { component, condition, measured_from, latency }),
        json!({
            "line": "change_in_force", "role": "hollow", "occasion": "calm", "since": "change",
            "spans": spans,
        })
    );
    assert_eq!(
        to_json(ResultLine::ProbeResolution { latency }),
        json!({"line": "probe_resolution", "spans": spans})
    );
}

#[test]
fn message_and_traffic_lines_keep_their_keys() {
    let phase = RunPhase::Startup;
    assert_eq!(
        to_json(ResultLine::Submissions {
            phase,
            latency: latency(),
            accepted: 1,
            rejected: 2,
            unanswered: 3
        }),
        json!({
            "line": "hand_in", "phase": "at the start", "spans": latency_json(), "taken_on": 1,
            "refused": 2, "unanswered": 3,
        })
    );
    assert_eq!(
        to_json(ResultLine::Deliveries { requests: 1, notices: 2 }),
        json!({"line": "ends", "calls": 1, "notices": 2})
    );
    let rates = TrafficRates { received_bytes_per_s: 1.5, sent_bytes_per_s: 2.5, messages_per_s: 3.5 };
    assert_eq!(
        to_json(ResultLine::Exchange {
            component: Component::RealForwarders,
            phase,
            forwarders: 1,
            seconds: 2.5,
            rates
        }),
        json!({
            "line": "exchange", "role": "real", "phase": "at the start", "forwarders": 1, "seconds": 2.5,
            "figures": {"received_bytes_per_s": 1.5, "sent_bytes_per_s": 2.5, "messages_per_s": 3.5},
        })
    );
}

#[test]
fn resource_lines_keep_their_keys() {
    assert_eq!(
        to_json(ResultLine::Sample { at_s: 1.5, usage: usage() }),
        json!({"line": "sample", "at_s": 1.5, "used": usage_json()})
    );
    assert_eq!(
        to_json(ResultLine::Process { usage: usage() }),
        json!({"line": "process", "used": usage_json()})
    );
    assert_eq!(
        to_json(ResultLine::Thread { name: "clients".to_owned(), core_share: 0.5 }),
        json!({"line": "part", "part": "clients", "core_share": 0.5})
    );
    assert_eq!(
        to_json(ResultLine::Program { resident_bytes: 1, resident_peak_bytes: 2 }),
        json!({"line": "program", "resident_bytes": 1, "resident_peak_bytes": 2})
    );
}

#[test]
fn metric_and_check_lines_keep_their_keys() {
    assert_eq!(
        to_json(ResultLine::Metric { name: "a".to_owned(), value: 1.5 }),
        json!({"line": "figure", "name": "a", "value": 1.5})
    );
    assert_eq!(
        to_json(ResultLine::Check { name: "a", passed: true, detail: "b".to_owned() }),
        json!({"line": "check", "check": "a", "passed": true, "detail": "b"})
    );
}

#[test]
fn labels_keep_their_words() {
    let components =
        to_json([Component::ControlPlane, Component::HollowForwarders, Component::RealForwarders]);
    assert_eq!(components, json!(["control side", "hollow", "real"]));
    let phases = to_json([RunPhase::AfterStartup, RunPhase::Startup]);
    assert_eq!(phases, json!(["after the start", "at the start"]));
    assert_eq!(
        to_json([LatencyStart::ListChange, LatencyStart::ForwarderReachable]),
        json!(["change", "reachable"])
    );
    let conditions =
        to_json([OperatingCondition::Normal, OperatingCondition::FirstStart, OperatingCondition::Restart]);
    assert_eq!(conditions, json!(["calm", "first start", "restart"]));
    let kinds = [
        FaultKind::ControlRestart,
        FaultKind::RackOutage,
        FaultKind::RegionPartition,
        FaultKind::RollingRestart,
        FaultKind::ZoneOutage,
    ];
    let expected = json!(["control_restart", "rack", "region_cut", "rolling_restart", "zone"]);
    assert_eq!(to_json(kinds.map(OperatingCondition::Fault)), expected);
}

#[test]
fn fitted_metric_keeps_its_keys() {
    let line = least_squares(&[(1.0, 1.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    let metric = FittedMetric {
        metric: "a".to_owned(),
        size_kind: "b",
        sizes: vec![1],
        values: vec![1.5],
        line,
        planned_size: 2,
        at_planned_size: 2.5,
        extrapolation_factor: 3.5,
    };
    let expected = [
        "at_target",
        "factor",
        "figure",
        "line",
        "line.deviation",
        "line.intercept",
        "line.points",
        "line.slope",
        "line.slope_error",
        "over",
        "sizes",
        "target",
        "values",
    ];
    let paths = key_paths(&to_json(metric));
    assert!(paths.iter().eq(&expected), "{paths:?}");
}

#[test]
fn scenario_keeps_its_keys() {
    let mut paths = key_paths(&to_json(full_scenario()));
    paths.retain(|path| !path.starts_with("trouble[]"));
    assert!(paths.iter().eq(&SCENARIO_KEYS), "{paths:?}");
}

#[test]
fn faults_keep_their_keys_and_kinds() {
    let expected = json!([
        {"kind": "rolling_restart", "at_s": 0.5, "one_in": 10, "gap_s": 0.1, "down_s": 0.3},
        {"kind": "control_restart", "at_s": 2.0, "down_s": 0.3, "forgets": true},
        {"kind": "zone", "at_s": 3.0, "down_s": 0.2, "zone": 3},
        {"kind": "rack", "at_s": 3.5, "down_s": 0.2, "zone": 5, "machines": 3},
        {"kind": "region_cut", "at_s": 3.5, "lasts_s": 2.0, "region": 1},
    ]);
    assert_eq!(to_json(full_scenario())["trouble"], expected);
}

fn help(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock-scale-test"));
    let output = command.args(arguments).arg("--help").output().unwrap();
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn program_keeps_its_subcommands_and_options() {
    let main_help = help(&[]);
    assert_eq!(help_names(&main_help, "Commands:"), ["fit", "help"]);
    assert_eq!(help_names(&main_help, "Options:"), ["--forwarder", "--help", "--jsonl", "--version"]);
    assert_eq!(help_names(&help(&["fit"]), "Options:"), ["--forwarder", "--help", "--jsonl"]);
}
