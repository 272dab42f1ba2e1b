//! Each rule check detects a delivery policy with a defect, and reports no violation for the policy without
//! one.

use crate::defective_policy::{Defect, DefectivePolicy};
use reeddock_simulation::invariants::{Rule, Violation};
use reeddock_simulation::{run_with, Report, Scenario};

/// Scenario with three forwarders, and rate-limited destinations that send Retry-After.
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

/// Asserts that the text of a violation contains no `Debug` output: no type or variant names and no braces.
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

/// Asserts that the defect breaks the rule with some seed, and that the unaltered policy breaks none with any
/// seed.
fn run_defective(faults: &str, defect: Defect, rule: Rule) -> Report {
    let mut found = None;
    for seed in 1..=3 {
        let unaltered = run_scenario(faults, Defect::None, seed);
        assert_eq!(unaltered.violations, [], "unaltered policy, seed {seed}");
        let defective = run_scenario(faults, defect, seed);
        if defective.violations.iter().any(|violation| violation.rule == rule) {
            found.get_or_insert(defective);
        }
    }
    if let Some(report) = &found {
        report.violations.iter().for_each(assert_no_code_names);
    }
    found.unwrap_or_else(|| panic!("no violation of {rule:?} was reported for {defect:?}"))
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
/// Outage of destinations with a small slow-start limit, so that a policy without slow start overloads them.
const OUTAGE: &str = r#"
[returning]
cold_from = 0.1
fall_multiple = 1.0
[[trouble]]
at_s = 8
for_s = 12
what = { refused = { whom = { destinations = [0, 1, 2] } } }
"#;

#[test]
fn second_final_answer_is_reported_with_history() {
    let report = run_defective(RESPONSES_LOST, Defect::AnswersTwice, Rule::OneAnswer);
    let violation = report.violations.iter().find(|violation| violation.rule == Rule::OneAnswer).unwrap();
    // The violation contains the message, the time and the history of the message.
    assert!(violation.message.is_some() && violation.forwarder.is_some() && violation.at_s > 0.0);
    assert!(violation.history.first().unwrap().contains("taken by forwarder"), "{:?}", violation.history);
    assert!(violation.history.iter().any(|line| line.contains("answered")), "{:?}", violation.history);
}

#[test]
fn missing_final_answer_is_reported() {
    let report = run_defective("", Defect::IgnoresSomeMessages, Rule::OneAnswer);
    assert!(report.violations.iter().any(|violation| violation.description.contains("no final answer")));
}

#[test]
fn repeated_effect_of_non_idempotent_message_is_reported() {
    let report = run_defective(RESPONSES_LOST, Defect::RepeatsNonIdempotent, Rule::NoDoubleEffect);
    // The effects at the destination are checked independently of the outcomes at the forwarder.
    assert!(
        report.violations.iter().any(|violation| violation.description.contains("applied first try")),
        "{:?}",
        report.violations
    );
}

#[test]
fn attempt_to_draining_endpoint_is_reported() {
    run_defective(DRAINS, Defect::IgnoresDraining, Rule::Drains);
}

#[test]
fn overload_of_recovering_destination_is_reported() {
    let report = run_defective(OUTAGE, Defect::OverloadsRecoveringEndpoints, Rule::NoOverload);
    let violation = report.violations.iter().find(|violation| violation.rule == Rule::NoOverload).unwrap();
    assert!(
        violation.history.iter().any(|line| line.contains("had seen a failure")),
        "{:?}",
        violation.history
    );
}

#[test]
fn broken_order_of_ordering_key_is_reported() {
    run_defective("", Defect::IgnoresOrderingKeys, Rule::Order);
}

#[test]
fn ignored_retry_after_is_reported() {
    run_defective("", Defect::IgnoresRetryAfter, Rule::RetryAfterHonored);
}
