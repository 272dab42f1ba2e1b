//! The studies of returning destinations and of shared knowledge, small.

use std::path::{Path, PathBuf};

use reeddock_experiments::{
    ComparisonPlan, ExperimentRunner, PolicyList, ScenarioOverride, SharingStudyPlan,
};

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name)
}

/// One day of few destinations, each of which a forwarder meets often.
fn small_fleets(forwarders: Vec<u32>) -> SharingStudyPlan {
    SharingStudyPlan {
        forwarders,
        message_interval_s: 25.0,
        down_share: 0.1,
        outage_s: 60.0,
        max_cells: 1_000,
        real_destinations: 1_000,
        seeds: 1,
    }
}

#[test]
fn ramps_are_summed_over_the_fleet_and_the_same_with_any_number_of_threads() {
    let rows = |threads| {
        let overrides: Vec<ScenarioOverride> =
            vec!["fleet.forwarders=3,12".parse().unwrap(), "lasts_s=40".parse().unwrap()];
        let plan = ComparisonPlan { policies: "module,back-off".parse::<PolicyList>().unwrap(), seeds: 2 };
        let runner = ExperimentRunner::with_threads(Some(threads)).unwrap();
        runner.study_recovery(&scenario("cold-return.toml"), &overrides, &plan).unwrap().rows
    };
    let alone = rows(1);
    assert_eq!(serde_json::to_string(&alone).unwrap(), serde_json::to_string(&rows(3)).unwrap());
    // Four sizes of destinations for each fleet and policy; each of twelve returns once a day.
    assert_eq!(alone.len(), 2 * 2 * 4);
    let returns: usize = alone.iter().map(|r| r.recoveries).sum();
    assert_eq!(returns, 2 * 2 * 2 * 12);
    // Retries without a guard push a returning destination over, and the study sees it.
    let fell = |policy: &str| {
        alone.iter().filter(|r| r.policy == policy).map(|r| r.seeds_with_overload).sum::<usize>()
    };
    assert!(fell("back-off") > 0);
    assert!(alone.iter().filter(|row| row.policy == "back-off").any(|row| row.load_ratio.maximum > 1.0));
    assert_eq!(fell("module"), 0);
}

#[test]
fn forwarders_that_share_send_less_to_what_is_down() {
    let plan = small_fleets(vec![30]);
    let table = ExperimentRunner::with_threads(None)
        .unwrap()
        .study_sharing(&scenario("seldom-met.toml"), &plan)
        .unwrap();
    let row = |name: &str| table.rows.iter().find(|r| r.policy.contains(name)).unwrap();
    let (alone, late) = (row("circuit, shares nothing"), row("after 1 s"));
    let (at_once, ideal) = (row("at once"), row("true state"));
    assert!(at_once.first_lost_to_known.mean < 0.5 * alone.first_lost_to_known.mean);
    // While the news of a trial are on their way, all that hold something go too: a delay costs most of the gain.
    assert!(late.attempts_per_s.mean > 1.5 * at_once.attempts_per_s.mean);
    assert!(ideal.attempts_per_s.mean < 0.1 * at_once.attempts_per_s.mean);
    assert!(table.rows.iter().all(|r| r.violations == 0));
}

#[test]
fn a_fleet_size_may_be_named_twice() {
    // Its rows once were looked for past the end of the sizes.
    let plan = small_fleets(vec![2, 2]);
    let runner = ExperimentRunner::with_threads(None).unwrap();
    let rows = runner.study_sharing(&scenario("seldom-met.toml"), &plan).unwrap().rows;
    let (first, second) = rows.split_at(rows.len() / 2);
    assert_eq!(serde_json::to_string(first).unwrap(), serde_json::to_string(second).unwrap());
    assert!(!first.is_empty() && rows.iter().all(|row| row.forwarders == 2));
}

#[test]
fn sizes_of_nonsense_are_refused_in_one_line() {
    let plan = small_fleets(vec![0]);
    let fault = ExperimentRunner::with_threads(None)
        .unwrap()
        .study_sharing(&scenario("seldom-met.toml"), &plan)
        .unwrap_err();
    assert_eq!(fault.to_string(), "--forwarders is 0: expected 1 to 10000");
}
