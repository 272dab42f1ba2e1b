//! Small experiments, through the library and the program.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use reeddock_experiments::{
    random_scenario, shrink, write_html_report, ArgumentError, ComparisonPlan, ExperimentRunner, PolicyList,
    ScenarioOverride, ShrinkGoal, SweepPlan,
};
use reeddock_simulation::{run, BuiltInPolicy, Scenario};

fn scenario() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/first-morning.toml")
}

fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reeddock-experiment")).args(arguments).output().unwrap()
}

#[test]
fn a_sweep_gives_the_same_bytes_with_any_number_of_threads() {
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
            .sweep(&scenario(), &plan)
            .unwrap()
            .to_json()
            .unwrap()
    };
    let alone = bytes(1);
    assert_eq!(alone, bytes(3));
    assert!(alone.contains("\"values\":[\"0.8\",\"15\"]"), "{alone}");
}

#[test]
fn drawn_scenarios_are_sound_and_read_as_written() {
    for seed in 0..400 {
        let drawn = random_scenario(seed);
        let read = Scenario::parse("drawn", &drawn.to_text(), &[]).unwrap_or_else(|e| panic!("{seed}: {e}"));
        assert_eq!(read, drawn, "seed {seed}");
    }
}

/// FNV-1a of 64 bits.
fn checksum(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

#[test]
fn a_seed_draws_the_same_scenario_as_ever() {
    // Files in `scenarios/found/` name the seeds that they were drawn from.
    let scenarios: String = (0..100).map(|number| random_scenario(number * 7919).to_text()).collect();
    assert_eq!(checksum(&scenarios), 0xbdb2_4db3_feaf_fff8);
}

#[test]
fn values_of_an_override_may_hold_the_commas_of_lists_and_tables() {
    let parsed: ScenarioOverride = r#" kind.0.limit = "none", { span = 2 } ,[1, 2]"#.parse().unwrap();
    assert_eq!(parsed.key, "kind.0.limit");
    assert_eq!(parsed.values, [r#""none""#, "{ span = 2 }", "[1, 2]"]);
    for malformed in ["", "key", "key=", "=1", "key=1,,2", "key=1,"] {
        assert_eq!(malformed.parse::<ScenarioOverride>().unwrap_err(), ArgumentError::MalformedOverride);
    }
}

#[test]
fn what_is_found_is_shrunk_and_replayed() {
    // A distance to the ceiling that any scenario has which is worse than perfect.
    let seed = (0..200)
        .find(|seed| {
            let drawn = random_scenario(*seed);
            let few = drawn.fleet.forwarders <= 3 && drawn.traffic.baseline_per_s.get() < 60.0;
            few && run(&drawn, *seed, BuiltInPolicy::UpperBound).credit
                - run(&drawn, *seed, BuiltInPolicy::DeliveryPolicy).credit
                > 0.03
        })
        .expect("one of these days is worse than perfect");
    let drawn = random_scenario(seed);
    let gap = run(&drawn, seed, BuiltInPolicy::UpperBound).credit
        - run(&drawn, seed, BuiltInPolicy::DeliveryPolicy).credit;
    let goal = ShrinkGoal::CreditGap(gap);
    let mut small = shrink(&drawn, seed, goal);
    assert!(goal.is_reproduced_by(&small, seed), "it still shows what was found");
    assert!(small.to_text().len() < drawn.to_text().len());

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
    assert!(replayed.status.success() && text.contains("seen again"), "{text}");
    // A rule that is not broken there is not seen, and the exit code says so.
    small.found.as_mut().unwrap().rule = Some(reeddock_simulation::invariants::Rule::Interface);
    std::fs::write(&file, small.to_text()).unwrap();
    assert_eq!(program(&["replay", file.to_str().unwrap()]).status.code(), Some(1));
}

#[test]
fn results_are_kept_and_plotted_on_one_page() {
    let folder = tempfile::tempdir().unwrap();
    let runner = ExperimentRunner::with_threads(None).unwrap();
    let policies: PolicyList = "module,ceiling".parse().unwrap();
    let compared = runner.compare(&scenario(), &ComparisonPlan { policies, seeds: 1 }).unwrap();
    compared.keep(Some(folder.path())).unwrap();
    let page = folder.path().join("page.html");
    let plots = write_html_report(folder.path(), &page).unwrap();
    let text = std::fs::read_to_string(page).unwrap();
    assert!(plots >= 4 && text.matches("<svg").count() == plots, "{plots} plots");
    assert!(text.contains("emulated") && text.contains("first-morning"));
}

#[test]
fn a_wrong_line_is_answered_with_one_line() {
    let scenario = scenario();
    let file = scenario.to_str().unwrap();
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
