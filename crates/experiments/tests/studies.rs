//! Tests of the recovery study and the sharing study on small fleets.

use std::path::{Path, PathBuf};

use reeddock_experiments::{
    ComparisonPlan, ExperimentRunner, PolicyList, ScenarioOverride, SharingStudyPlan,
};

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name)
}

/// Returns a plan of one run with few destinations, to each of which a forwarder sends often.
fn small_fleets(fleet_sizes: Vec<u32>) -> SharingStudyPlan {
    SharingStudyPlan {
        fleet_sizes,
        message_interval_s: 25.0,
        down_share: 0.1,
        outage_s: 60.0,
        max_forwarder_destination_pairs: 1_000,
        production_destinations: 1_000,
        seeds: 1,
    }
}

#[test]
fn recovery_loads_are_summed_over_the_fleet_and_do_not_depend_on_thread_count() {
    let rows = |threads| {
        let overrides: Vec<ScenarioOverride> =
            vec!["fleet.forwarders=3,12".parse().unwrap(), "lasts_s=40".parse().unwrap()];
        let plan = ComparisonPlan { policies: "module,back-off".parse::<PolicyList>().unwrap(), seeds: 2 };
        let runner = ExperimentRunner::with_threads(Some(threads)).unwrap();
        runner.study_recovery(&scenario("cold-return.toml"), &overrides, &plan).unwrap().rows
    };
    let single_threaded = rows(1);
    assert_eq!(serde_json::to_string(&single_threaded).unwrap(), serde_json::to_string(&rows(3)).unwrap());
    // Each fleet and policy has four sizes of destinations. Each of twelve destinations recovers once in a
    // run.
    assert_eq!(single_threaded.len(), 2 * 2 * 4);
    let recoveries: usize = single_threaded.iter().map(|r| r.recoveries).sum();
    assert_eq!(recoveries, 2 * 2 * 2 * 12);
    // Retries with back-off alone overload a recovering destination, and the study reports the overload.
    let overload_count = |policy: &str| {
        single_threaded.iter().filter(|r| r.policy == policy).map(|r| r.seeds_with_overload).sum::<usize>()
    };
    assert!(overload_count("back-off") > 0);
    assert!(single_threaded
        .iter()
        .filter(|row| row.policy == "back-off")
        .any(|row| row.load_ratio.maximum > 1.0));
    assert_eq!(overload_count("module"), 0);
}

#[test]
fn forwarders_sharing_circuit_state_send_less_to_down_destinations() {
    let plan = small_fleets(vec![30]);
    let table = ExperimentRunner::with_threads(None)
        .unwrap()
        .study_sharing(&scenario("seldom-met.toml"), &plan)
        .unwrap();
    let row = |name: &str| table.rows.iter().find(|r| r.policy.contains(name)).unwrap();
    let (unshared, delayed) = (row("circuit, shares nothing"), row("after 1 s"));
    let (immediate, upper_bound) = (row("at once"), row("true state"));
    assert!(
        immediate.first_attempt_lost_to_known_outage_share.mean
            < 0.5 * unshared.first_attempt_lost_to_known_outage_share.mean
    );
    // Until the result of a trial arrives, other forwarders with messages attempt trials as well, so that the
    // delay costs most of the gain.
    assert!(delayed.attempts_per_s.mean > 1.5 * immediate.attempts_per_s.mean);
    assert!(upper_bound.attempts_per_s.mean < 0.1 * immediate.attempts_per_s.mean);
    assert!(table.rows.iter().all(|r| r.violations == 0));
}

#[test]
fn repeated_fleet_size_gets_its_own_equal_rows() {
    // Guards against pairing the results of repeated sizes with the wrong rows.
    let plan = small_fleets(vec![2, 2]);
    let runner = ExperimentRunner::with_threads(None).unwrap();
    let rows = runner.study_sharing(&scenario("seldom-met.toml"), &plan).unwrap().rows;
    let (first, second) = rows.split_at(rows.len() / 2);
    assert_eq!(serde_json::to_string(first).unwrap(), serde_json::to_string(second).unwrap());
    assert!(!first.is_empty() && rows.iter().all(|row| row.forwarders == 2));
}

#[test]
fn fleet_size_of_zero_is_rejected() {
    let plan = small_fleets(vec![0]);
    let error = ExperimentRunner::with_threads(None)
        .unwrap()
        .study_sharing(&scenario("seldom-met.toml"), &plan)
        .unwrap_err();
    assert_eq!(error.to_string(), "--forwarders is 0: expected 1 to 10000");
}
