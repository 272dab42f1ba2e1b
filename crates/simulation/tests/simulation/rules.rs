//! Each of the six rules has a check that finds a delivery policy with a defect, and no check finds one without.

use crate::defective_policy::{Defect, DefectivePolicy};
use reeddock_simulation::invariants::{Rule, Violation};
use reeddock_simulation::{run_with, Report, Scenario};

/// Three forwarders, destinations that send Retry-After, and capacity for each fault.
const SCENARIO: &str = r#"
version = 1
name = "spoilt"
lasts_s = 40
[fleet]
forwarders = 3
slots = 30
room = 300
drain_grace_s = 1
[traffic]
usual_per_s = 60
load = 1.0
[list]
delay_s = 0.5
[[category]]
name = "note"
effect = "pure"
promised_s = 3
outer_limit_s = 15
work_ms = { log_normal = { median = 150, sigma = 0.3 } }
[[category]]
name = "order"
effect = "effectful"
promised_s = 3
outer_limit_s = 15
work_ms = { log_normal = { median = 150, sigma = 0.3 } }
[[category]]
name = "line"
effect = "pure"
promised_s = 3
outer_limit_s = 15
ordered_keys = 20
work_ms = { log_normal = { median = 150, sigma = 0.3 } }
[[program]]
name = "all"
[[kind]]
name = "shared"
destinations = 6
targets = 2
limit = { span = 2 }
headroom = 1.1
told_waits = 0.8
"#;

fn run_scenario(faults: &str, defect: Defect, seed: u64) -> Report {
    let scenario = Scenario::parse("spoilt.toml", &format!("{SCENARIO}{faults}"), &[]).unwrap();
    run_with(&scenario, seed, "spoilt", &|now, settings, host| {
        DefectivePolicy::open(defect, now, settings, host)
    })
}

/// The text of a violation shows nothing as the code writes it: no names of types or variants, no braces.
fn assert_no_code_names(violation: &Violation) {
    let text = violation.to_string();
    let is_type_name = |word: &str| {
        let letters: Vec<char> = word.chars().collect();
        letters.windows(2).any(|pair| pair[0].is_lowercase() && pair[1].is_uppercase())
    };
    let from_code = text.split_whitespace().find(|word| is_type_name(word) || word.contains(['{', '}']));
    assert_eq!(from_code, None, "{text}");
    assert!(!text.contains("Some("), "{text}");
}

/// The defective policy breaks the rule in some of these runs, the delivery policy as it is breaks none in any.
fn run_defective(faults: &str, defect: Defect, rule: Rule) -> Report {
    let mut found = None;
    for seed in 1..=3 {
        let sound = run_scenario(faults, Defect::None, seed);
        assert_eq!(sound.violations, [], "the policy as it is, seed {seed}");
        let defective = run_scenario(faults, defect, seed);
        if defective.violations.iter().any(|violation| violation.rule == rule) {
            found.get_or_insert(defective);
        }
    }
    if let Some(report) = &found {
        report.violations.iter().for_each(assert_no_code_names);
    }
    found.unwrap_or_else(|| panic!("no check of {rule:?} has found {defect:?}"))
}

const RESPONSES_LOST: &str = r#"
[[trouble]]
at_s = 8
for_s = 15
what = { answers_lost = { whom = { share = 0.5 }, share = 0.5 } }
"#;
const DRAINS: &str = r#"
[[trouble]]
at_s = 8
for_s = 12
what = { leaves = { whom = { share = 1, targets = 0.5 } } }
"#;
/// Recovering destinations bear little, so that whoever overloads them is found with every seed.
const DOWN: &str = r#"
[returning]
cold_from = 0.1
fall_multiple = 1.0
[[trouble]]
at_s = 8
for_s = 12
what = { refused = { whom = { destinations = [0, 1, 2] } } }
"#;

#[test]
fn one_final_answer_each() {
    let report = run_defective(RESPONSES_LOST, Defect::AnswersTwice, Rule::OneAnswer);
    let broken = report.violations.iter().find(|b| b.rule == Rule::OneAnswer).unwrap();
    // It names the message, the instant and what led to it.
    assert!(broken.message.is_some() && broken.forwarder.is_some() && broken.at_s > 0.0);
    assert!(broken.history.first().unwrap().contains("taken by forwarder"), "{:?}", broken.history);
    assert!(broken.history.iter().any(|l| l.contains("answered")), "{:?}", broken.history);
}

#[test]
fn an_answer_for_every_message() {
    let report = run_defective("", Defect::IgnoresSome, Rule::OneAnswer);
    assert!(report.violations.iter().any(|b| b.description.contains("no final answer")));
}

#[test]
fn no_effect_twice() {
    let report = run_defective(RESPONSES_LOST, Defect::RepeatsNonIdempotent, Rule::NoDoubleEffect);
    // The effects at the destination show it too, apart from what the forwarder was told.
    assert!(
        report.violations.iter().any(|b| b.description.contains("applied first try")),
        "{:?}",
        report.violations
    );
}

#[test]
fn draining_endpoints_get_nothing_new() {
    run_defective(DRAINS, Defect::IgnoresDraining, Rule::Drains);
}

#[test]
fn a_recovering_destination_is_not_overloaded() {
    let report = run_defective(DOWN, Defect::OverloadsRecovering, Rule::NoOverload);
    let broken = report.violations.iter().find(|b| b.rule == Rule::NoOverload).unwrap();
    assert!(broken.history.iter().any(|l| l.contains("had seen a failure")), "{:?}", broken.history);
}

#[test]
fn order_is_kept_within_a_key() {
    run_defective("", Defect::IgnoresOrder, Rule::Order);
}

#[test]
fn retry_after_is_honored() {
    run_defective("", Defect::IgnoresRetryAfter, Rule::RetryAfterHonored);
}
