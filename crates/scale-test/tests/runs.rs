//! Complete runs of the small scenario, without defects and with a seeded defect that the checks must report.

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

/// Returns a scenario without real forwarders and faults, and with few changes.
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

fn passed(results: &Results, check: &str) -> bool {
    results.check_verdict(check).unwrap_or_else(|| panic!("results contain no check named {check:?}")).passed
}

#[test]
fn small_scenario_passes_all_checks_through_all_kinds_of_faults() {
    let results = run_with_defects(small_scenario(), SeededDefects::default());
    assert!(results.all_passed(), "{}", tables(&results));
    let conditions: Vec<&str> = results
        .lines
        .iter()
        .filter_map(|line| match line {
            ResultLine::ChangeInEffect {
                component: Component::HollowForwarders,
                condition,
                measured_from: LatencyStart::ForwarderReachable,
                latency,
            } if latency.count > 0 => Some(condition.name()),
            _ => None,
        })
        .collect();
    assert_eq!(conditions, ["control_restart", "rack", "region_cut", "rolling_restart", "zone"]);
    let is_restarted_process =
        |line: &ResultLine| matches!(line, ResultLine::Process { usage } if usage.starts == 2);
    assert!(results.lines.iter().any(is_restarted_process), "no real forwarder was restarted");
    let metrics = results.metrics();
    for name in ["change_p99.real_over_hollow", "real.resident_peak_mb", "list.whole_bytes"] {
        assert!(metrics.get(name).is_some_and(|value| *value > 0.0), "{name}: {metrics:?}");
    }
    assert!(results.lines.iter().all(|line| serde_json::to_string(line).is_ok()));
}

#[test]
fn run_without_real_forwarders_passes() {
    let results = run_with_defects(hollow_only_scenario(), SeededDefects::default());
    assert!(results.all_passed(), "{}", tables(&results));
}

#[test]
fn change_dropped_by_a_hollow_forwarder_is_reported() {
    let dropped = DroppedChange { hollow_forwarder: 3, generation: 9 };
    let results = run_with_defects(
        hollow_only_scenario(),
        SeededDefects { dropped_change: Some(dropped), lost_change: None },
    );
    assert!(passed(&results, LAST_CHANGE_IN_FORCE), "the forwarder must report the last change as in effect");
    assert!(
        !passed(&results, HOLLOW_LISTS_MATCH) && !passed(&results, NO_CHANGE_MISSING),
        "{}",
        tables(&results)
    );
    let detail = results.check_verdict(HOLLOW_LISTS_MATCH).unwrap().detail;
    assert!(detail.starts_with("1 of 10 differ forwarder 3: Target"), "{detail}");
}

#[test]
fn change_lost_by_the_control_plane_is_reported() {
    let zone = 2;
    let lost = LostChange { listener: zone, generation: 9 };
    let results = run_with_defects(
        hollow_only_scenario(),
        SeededDefects { dropped_change: None, lost_change: Some(lost) },
    );
    assert!(!passed(&results, HOLLOW_LISTS_MATCH), "{}", tables(&results));
    let detail = results.check_verdict(HOLLOW_LISTS_MATCH).unwrap().detail;
    // Forwarders 2 and 9 are in zone 2.
    assert!(detail.starts_with("2 of 10 differ"), "{detail}");
}

#[test]
fn loss_of_the_last_change_is_reported() {
    let mut scenario = hollow_only_scenario();
    scenario.changes.settle_timeout_s = 0.3;
    // The first list has generation 1, and 20 changes follow.
    let lost = LostChange { listener: 0, generation: 21 };
    let results = run_with_defects(scenario, SeededDefects { dropped_change: None, lost_change: Some(lost) });
    assert!(
        !passed(&results, LAST_CHANGE_IN_FORCE) && !passed(&results, HOLLOW_LISTS_MATCH),
        "{}",
        tables(&results)
    );
}

#[test]
fn change_that_does_not_reach_a_real_forwarder_is_reported() {
    let mut scenario = hollow_only_scenario();
    scenario.fleet.real = 1;
    scenario.changes.settle_timeout_s = 1.0;
    // Every fourth change lists a new destination: generations 5, 9, and so on.
    let lost = LostChange { listener: 0, generation: 9 };
    let results = run_with_defects(scenario, SeededDefects { dropped_change: None, lost_change: Some(lost) });
    assert!(
        !passed(&results, NEW_DESTINATIONS_KNOWN) && passed(&results, HOLLOW_LISTS_MATCH),
        "{}",
        tables(&results)
    );
}
