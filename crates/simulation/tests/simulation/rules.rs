//! Each of the six rules has an invariant check that speaks when the delivery policy is spoilt on purpose, and none that speaks
//! when it is not.

use crate::spoilt::{Defect, Spoilt};
use reeddock_simulation::invariants::Rule;
use reeddock_simulation::{run_with, Report, Scenario};

/// Three forwarders, destinations with told waits, and room for each fault.
const WORLD: &str = r#"
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

fn play(troubles: &str, defect: Defect, seed: u64) -> Report {
    let scenario = Scenario::parse("spoilt.toml", &format!("{WORLD}{troubles}"), &[]).unwrap();
    run_with(&scenario, seed, "spoilt", &|now, terms, host| Spoilt::open(defect, now, terms, host))
}

/// The spoilt module breaks the rule on some of these days, the delivery policy as it is breaks none on any.
fn speaks(troubles: &str, defect: Defect, rule: Rule) -> Report {
    let mut spoken = None;
    for seed in 1..=3 {
        let sound = play(troubles, Defect::None, seed);
        assert_eq!(sound.broken, [], "the module as it is, seed {seed}");
        let spoilt = play(troubles, defect, seed);
        if spoilt.broken.iter().any(|b| b.rule == rule) {
            spoken.get_or_insert(spoilt);
        }
    }
    spoken.unwrap_or_else(|| panic!("no oracle for {rule:?} has seen {defect:?}"))
}

const ANSWERS_LOST: &str = r#"
[[trouble]]
at_s = 8
for_s = 15
what = { answers_lost = { whom = { share = 0.5 }, share = 0.5 } }
"#;
const LEAVES: &str = r#"
[[trouble]]
at_s = 8
for_s = 12
what = { leaves = { whom = { share = 1, targets = 0.5 } } }
"#;
/// Destinations that come back bear little, so that whoever pushes them is seen on every seed.
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
    let report = speaks(ANSWERS_LOST, Defect::AnswersTwice, Rule::OneAnswer);
    let broken = report.broken.iter().find(|b| b.rule == Rule::OneAnswer).unwrap();
    // It names the message, the instant and what led to it.
    assert!(broken.envelope.is_some() && broken.forwarder.is_some() && broken.at_s > 0.0);
    assert!(broken.led_by.first().unwrap().contains("taken by forwarder"), "{:?}", broken.led_by);
    assert!(broken.led_by.iter().any(|l| l.contains("answered")), "{:?}", broken.led_by);
}

#[test]
fn an_answer_for_every_envelope() {
    let report = speaks("", Defect::ForgetsOne, Rule::OneAnswer);
    assert!(report.broken.iter().any(|b| b.what.contains("no final answer")));
}

#[test]
fn no_effect_twice() {
    let report = speaks(ANSWERS_LOST, Defect::SendsEffectfulAgain, Rule::NoDoubleEffect);
    // The book of the destination says it too, apart from what the forwarder was told.
    assert!(report.broken.iter().any(|b| b.what.contains("applied first try")), "{:?}", report.broken);
}

#[test]
fn drains_are_kept() {
    speaks(LEAVES, Defect::SendsPastDrains, Rule::Drains);
}

#[test]
fn a_returning_destination_is_not_pushed_over() {
    let report = speaks(DOWN, Defect::PushesReturning, Rule::NotPushedOver);
    let broken = report.broken.iter().find(|b| b.rule == Rule::NotPushedOver).unwrap();
    assert!(broken.led_by.iter().any(|l| l.contains("had seen a failure")), "{:?}", broken.led_by);
}

#[test]
fn order_is_kept_by_key() {
    speaks("", Defect::IgnoresOrder, Rule::Order);
}

#[test]
fn waits_are_kept() {
    speaks("", Defect::DeafToWaits, Rule::Waits);
}
