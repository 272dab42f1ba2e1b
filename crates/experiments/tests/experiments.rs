//! Tests of runs, sweeps, searches and reports, through the library and the program.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use reeddock_experiments::{
    random_scenario, shrink, write_html_report, ArgumentError, ComparisonPlan, ExperimentRunner, PolicyList,
    ScenarioOverride, ShrinkGoal, SweepPlan,
};
use reeddock_simulation::{run, BuiltInPolicy, Scenario};

fn scenario_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/first-morning.toml")
}

fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reeddock-experiment")).args(arguments).output().unwrap()
}

#[test]
fn sweep_result_does_not_depend_on_thread_count() {
    let bytes = |threads| {
        let plan = SweepPlan {
            overrides: vec![
                "traffic.load=0.4,0.8".parse::<ScenarioOverride>().unwrap(),
                "lasts_s=15".parse().unwrap(),
            ],
            policies: "module,one-try".parse::<PolicyList>().unwrap(),
            seeds: 2,
        };
        ExperimentRunner::with_threads(Some(threads))
            .unwrap()
            .sweep(&scenario_file(), &plan)
            .unwrap()
            .to_json()
            .unwrap()
    };
    let single_threaded = bytes(1);
    assert_eq!(single_threaded, bytes(3));
    assert!(single_threaded.contains("\"values\":[\"0.8\",\"15\"]"), "{single_threaded}");
}

#[test]
fn random_scenarios_stay_the_same_when_written_and_read() {
    for seed in 0..400 {
        let generated = random_scenario(seed);
        let read = Scenario::parse("drawn", &generated.to_text(), &[])
            .unwrap_or_else(|e| panic!("the written scenario of seed {seed} must be readable: {e}"));
        assert_eq!(read, generated, "seed {seed}");
    }
}

/// Returns the 64-bit FNV-1a hash of a text.
fn checksum(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

#[test]
fn random_scenario_of_a_seed_never_changes() {
    // Files in `scenarios/found/` name the seeds that they were generated from.
    let scenarios: String = (0..100).map(|number| random_scenario(number * 7919).to_text()).collect();
    assert_eq!(checksum(&scenarios), 0xbdb2_4db3_feaf_fff8);
}

#[test]
fn override_values_may_contain_commas_inside_lists_and_tables() {
    let parsed: ScenarioOverride = r#" kind.0.limit = "none", { span = 2 } ,[1, 2]"#.parse().unwrap();
    assert_eq!(parsed.key, "kind.0.limit");
    assert_eq!(parsed.values, [r#""none""#, "{ span = 2 }", "[1, 2]"]);
    for malformed in ["", "key", "key=", "=1", "key=1,,2", "key=1,"] {
        assert_eq!(malformed.parse::<ScenarioOverride>().unwrap_err(), ArgumentError::MalformedOverride);
    }
}

#[test]
fn found_scenario_is_shrunk_and_replayed() {
    // The first small scenario in which the delivery policy has a credit gap to the upper bound.
    let seed = (0..200)
        .find(|seed| {
            let generated = random_scenario(*seed);
            let is_small = generated.fleet.forwarders <= 3 && generated.traffic.baseline_per_s.get() < 60.0;
            is_small
                && run(&generated, *seed, BuiltInPolicy::UpperBound).credit
                    - run(&generated, *seed, BuiltInPolicy::DeliveryPolicy).credit
                    > 0.03
        })
        .expect("expected a small random scenario in which the upper bound earns over 0.03 more credit than the delivery policy");
    let generated = random_scenario(seed);
    let gap = run(&generated, seed, BuiltInPolicy::UpperBound).credit
        - run(&generated, seed, BuiltInPolicy::DeliveryPolicy).credit;
    let goal = ShrinkGoal::CreditGap(gap);
    let mut small = shrink(&generated, seed, goal);
    assert!(goal.is_reproduced_by(&small, seed), "the shrunk scenario must still show the credit gap");
    assert!(small.to_text().len() < generated.to_text().len());

    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("found.toml");
    small.found = Some(reeddock_simulation::scenario::SearchFinding {
        seed,
        rule: None,
        credit: run(&small, seed, BuiltInPolicy::DeliveryPolicy).credit,
        one_attempt: 0.0,
        upper_bound: run(&small, seed, BuiltInPolicy::UpperBound).credit,
    });
    std::fs::write(&file, small.to_text()).unwrap();
    let replayed = program(&["replay", file.to_str().unwrap()]);
    let text = String::from_utf8(replayed.stdout).unwrap();
    assert!(replayed.status.success() && text.contains(": reproduced"), "{text}");
    // An invariant that the scenario does not break is not reproduced, so that the exit code is 1.
    small.found.as_mut().unwrap().rule = Some(reeddock_simulation::invariants::Rule::Interface);
    std::fs::write(&file, small.to_text()).unwrap();
    assert_eq!(program(&["replay", file.to_str().unwrap()]).status.code(), Some(1));
}

#[test]
fn saved_results_are_plotted_on_one_html_page() {
    let folder = tempfile::tempdir().unwrap();
    let runner = ExperimentRunner::with_threads(None).unwrap();
    let policies: PolicyList = "module,ceiling".parse().unwrap();
    let comparison = runner.compare(&scenario_file(), &ComparisonPlan { policies, seeds: 1 }).unwrap();
    comparison.save(Some(folder.path())).unwrap();
    let page = folder.path().join("page.html");
    let plots = write_html_report(folder.path(), &page).unwrap();
    let text = std::fs::read_to_string(page).unwrap();
    assert!(plots >= 4 && text.matches("<svg").count() == plots, "{plots} plots");
    assert!(text.contains("emulated") && text.contains("first-morning"));
}

#[test]
fn invalid_arguments_and_files_are_reported_with_exit_code_2() {
    let path = scenario_file();
    let file = path.to_str().unwrap();
    for (arguments, expected) in [
        (vec!["run", "none.toml"], "none.toml: cannot be read"),
        (vec!["compare", file, "--policies", "modul"], "expected module, one-try"),
        (vec!["sweep", file, "--set", "traffic.load"], "expected KEY=VALUE"),
        (vec!["sweep", file, "--set", "traffic.load=high"], "traffic.load"),
        (vec!["sweep", file, "--set", "kind.7.batch=2"], "kind.7.batch"),
        (vec!["compare", file, "--seeds", "0"], "expected 1 seed or more"),
        (vec!["search", "--minutes", "0"], "--minutes is 0"),
        (vec!["replay", file], "expected a file that a search wrote"),
        (vec!["report", env!("CARGO_MANIFEST_DIR")], "holds no results"),
        (vec!["run", file, "--threads", "0"], "--threads is 0"),
    ] {
        let output = program(&arguments);
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
}
