//! Whole runs of the small form, sound and with a fault that its checks have to find.

use std::path::{Path, PathBuf};

use reeddock_scale_test::control::LostChange;
use reeddock_scale_test::report::{Line, Results};
use reeddock_scale_test::run::{run, Faults, Options};
use reeddock_scale_test::scenario::Scenario;

const STATES: &str = "hollow forwarders have the control side's list";
const COUNTS: &str = "no change is missing at a hollow forwarder";
const IN_FORCE: &str = "the last change is in force everywhere";
const PROBED: &str = "each new destination became known at each real forwarder";

fn small() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale/small.toml");
    Scenario::read(&file).unwrap()
}

/// Only hollow forwarders, few changes, and no trouble.
fn hollow_only() -> Scenario {
    let mut scenario = small();
    scenario.fleet.real = 0;
    scenario.fleet.hollow = 10;
    scenario.changes.every_s = 0.02;
    scenario.changes.lasts_s = 0.4;
    scenario.trouble.clear();
    scenario
}

fn play(scenario: Scenario, faults: Faults) -> Results {
    let program = Some(PathBuf::from(env!("CARGO_BIN_EXE_reeddock-scale-test-forwarder")));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.unwrap().block_on(run(scenario, Options { program, faults })).unwrap()
}

fn verdict(results: &Results, check: &str) -> bool {
    results.check(check).unwrap_or_else(|| panic!("no check {check:?}")).0
}

#[test]
fn the_small_form_passes_every_check_through_every_kind_of_trouble() {
    let results = play(small(), Faults::default());
    assert!(results.sound(), "{}", results.tables());
    let occasions: Vec<&str> = results
        .lines
        .iter()
        .filter_map(|line| match line {
            Line::ChangeInForce { role: "hollow", occasion, since: "reachable", spans }
                if spans.count > 0 =>
            {
                Some(*occasion)
            }
            _ => None,
        })
        .collect();
    assert_eq!(occasions, ["control_restart", "rack", "region_cut", "rolling_restart", "zone"]);
    let restarted = |line: &Line| matches!(line, Line::Process { used } if used.starts == 2);
    assert!(results.lines.iter().any(restarted), "a real forwarder was restarted");
    let figures = results.figures();
    for name in ["change_p99.real_over_hollow", "real.resident_peak_mb", "list.whole_bytes"] {
        assert!(figures.get(name).is_some_and(|value| *value > 0.0), "{name}: {figures:?}");
    }
    assert!(results.lines.iter().all(|line| serde_json::to_string(line).is_ok()));
}

#[test]
fn a_sound_run_of_hollow_forwarders_alone_passes() {
    let results = play(hollow_only(), Faults::default());
    assert!(results.sound(), "{}", results.tables());
}

#[test]
fn a_hollow_forwarder_that_drops_a_change_is_found() {
    let results = play(hollow_only(), Faults { hollow_drops: Some((3, 9)), control_loses: None });
    assert!(verdict(&results, IN_FORCE), "it says that it is up to date");
    assert!(!verdict(&results, STATES) && !verdict(&results, COUNTS), "{}", results.tables());
    let (_, detail) = results.check(STATES).unwrap();
    assert!(detail.starts_with("1 of 10 differ forwarder 3: Target"), "{detail}");
}

#[test]
fn a_change_that_the_control_side_loses_is_found() {
    let zone = 2;
    let lost = LostChange { door: zone, generation: 9 };
    let results = play(hollow_only(), Faults { hollow_drops: None, control_loses: Some(lost) });
    assert!(!verdict(&results, STATES), "{}", results.tables());
    let (_, detail) = results.check(STATES).unwrap();
    // Forwarders 2 and 9 stand in zone 2.
    assert!(detail.starts_with("2 of 10 differ"), "{detail}");
}

#[test]
fn the_last_change_of_all_is_found_where_it_is_lost() {
    let mut scenario = hollow_only();
    scenario.changes.settle_within_s = 0.3;
    // The list is of generation 1, and twenty changes follow.
    let lost = LostChange { door: 0, generation: 21 };
    let results = play(scenario, Faults { hollow_drops: None, control_loses: Some(lost) });
    assert!(!verdict(&results, IN_FORCE) && !verdict(&results, STATES), "{}", results.tables());
}

#[test]
fn a_change_that_never_reaches_a_real_forwarder_is_found() {
    let mut scenario = hollow_only();
    scenario.fleet.real = 1;
    scenario.changes.settle_within_s = 1.0;
    // Each fourth change lists a new destination: generations 5, 9, and so on.
    let lost = LostChange { door: 0, generation: 9 };
    let results = play(scenario, Faults { hollow_drops: None, control_loses: Some(lost) });
    assert!(!verdict(&results, PROBED) && verdict(&results, STATES), "{}", results.tables());
}
