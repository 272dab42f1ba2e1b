//! Whole runs of the small form, sound and with a seeded defect that its checks have to find.

use std::path::{Path, PathBuf};

use reeddock_scale_test::report::{Component, LatencyStart, ResultLine, Results};
use reeddock_scale_test::run::{run, DroppedChange, LostChange, Options, SeededDefects};
use reeddock_scale_test::scenario::Scenario;
use reeddock_scale_test::tables::tables;

const HOLLOW_LISTS_MATCH: &str = "hollow forwarders have the control side's list";
const NO_CHANGE_MISSING: &str = "no change is missing at a hollow forwarder";
const LAST_CHANGE_IN_FORCE: &str = "the last change is in force everywhere";
const NEW_DESTINATIONS_KNOWN: &str = "each new destination became known at each real forwarder";

fn small_scenario() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale/small.toml");
    Scenario::read(&file).unwrap()
}

/// Only hollow forwarders, few changes, and no fault.
fn hollow_only_scenario() -> Scenario {
    let mut scenario = small_scenario();
    scenario.fleet.real = 0;
    scenario.fleet.hollow = 10;
    scenario.changes.interval_s = 0.02;
    scenario.changes.duration_s = 0.4;
    scenario.faults.clear();
    scenario
}

fn run_with_defects(scenario: Scenario, defects: SeededDefects) -> Results {
    let program = Some(PathBuf::from(env!("CARGO_BIN_EXE_reeddock-scale-test-forwarder")));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.unwrap().block_on(run(scenario, Options { program, defects })).unwrap()
}

fn verdict(results: &Results, check: &str) -> bool {
    results.check_verdict(check).unwrap_or_else(|| panic!("no check {check:?}")).passed
}

#[test]
fn the_small_form_passes_every_check_through_every_kind_of_fault() {
    let results = run_with_defects(small_scenario(), SeededDefects::default());
    assert!(results.all_passed(), "{}", tables(&results));
    let conditions: Vec<&str> = results
        .lines
        .iter()
        .filter_map(|line| match line {
            ResultLine::ChangeInForce {
                component: Component::HollowForwarders,
                condition,
                measured_from: LatencyStart::ForwarderReachable,
                latency,
            } if latency.count > 0 => Some(condition.name()),
            _ => None,
        })
        .collect();
    assert_eq!(conditions, ["control_restart", "rack", "region_cut", "rolling_restart", "zone"]);
    let restarted = |line: &ResultLine| matches!(line, ResultLine::Process { usage } if usage.starts == 2);
    assert!(results.lines.iter().any(restarted), "a real forwarder was restarted");
    let metrics = results.metrics();
    for name in ["change_p99.real_over_hollow", "real.resident_peak_mb", "list.whole_bytes"] {
        assert!(metrics.get(name).is_some_and(|value| *value > 0.0), "{name}: {metrics:?}");
    }
    assert!(results.lines.iter().all(|line| serde_json::to_string(line).is_ok()));
}

#[test]
fn a_sound_run_of_hollow_forwarders_alone_passes() {
    let results = run_with_defects(hollow_only_scenario(), SeededDefects::default());
    assert!(results.all_passed(), "{}", tables(&results));
}

#[test]
fn a_hollow_forwarder_that_drops_a_change_is_found() {
    let dropped = DroppedChange { hollow_forwarder: 3, generation: 9 };
    let results = run_with_defects(
        hollow_only_scenario(),
        SeededDefects { dropped_change: Some(dropped), lost_change: None },
    );
    assert!(verdict(&results, LAST_CHANGE_IN_FORCE), "it says that it is up to date");
    assert!(
        !verdict(&results, HOLLOW_LISTS_MATCH) && !verdict(&results, NO_CHANGE_MISSING),
        "{}",
        tables(&results)
    );
    let detail = results.check_verdict(HOLLOW_LISTS_MATCH).unwrap().detail;
    assert!(detail.starts_with("1 of 10 differ forwarder 3: Target"), "{detail}");
}

#[test]
fn a_change_that_the_control_side_loses_is_found() {
    let zone = 2;
    let lost = LostChange { listener: zone, generation: 9 };
    let results = run_with_defects(
        hollow_only_scenario(),
        SeededDefects { dropped_change: None, lost_change: Some(lost) },
    );
    assert!(!verdict(&results, HOLLOW_LISTS_MATCH), "{}", tables(&results));
    let detail = results.check_verdict(HOLLOW_LISTS_MATCH).unwrap().detail;
    // Forwarders 2 and 9 stand in zone 2.
    assert!(detail.starts_with("2 of 10 differ"), "{detail}");
}

#[test]
fn the_last_change_of_all_is_found_where_it_is_lost() {
    let mut scenario = hollow_only_scenario();
    scenario.changes.settle_timeout_s = 0.3;
    // The list is of generation 1, and twenty changes follow.
    let lost = LostChange { listener: 0, generation: 21 };
    let results = run_with_defects(scenario, SeededDefects { dropped_change: None, lost_change: Some(lost) });
    assert!(
        !verdict(&results, LAST_CHANGE_IN_FORCE) && !verdict(&results, HOLLOW_LISTS_MATCH),
        "{}",
        tables(&results)
    );
}

#[test]
fn a_change_that_never_reaches_a_real_forwarder_is_found() {
    let mut scenario = hollow_only_scenario();
    scenario.fleet.real = 1;
    scenario.changes.settle_timeout_s = 1.0;
    // Each fourth change lists a new destination: generations 5, 9, and so on.
    let lost = LostChange { listener: 0, generation: 9 };
    let results = run_with_defects(scenario, SeededDefects { dropped_change: None, lost_change: Some(lost) });
    assert!(
        !verdict(&results, NEW_DESTINATIONS_KNOWN) && verdict(&results, HOLLOW_LISTS_MATCH),
        "{}",
        tables(&results)
    );
}
