//! Destinations that come back cold: what they bear, and who is held to have pushed them over.

use std::time::Duration;

use reeddock_simulation::invariants::InvariantChecker;
use reeddock_simulation::layout::EndpointIndex;
use reeddock_simulation::layout::{FleetLayout, ForwarderIndex};
use reeddock_simulation::simulated_endpoint::{falls_over, SimulatedEndpoint};
use reeddock_simulation::Scenario;

const WORLD: &str = r#"
version = 1
name = "returning"
lasts_s = 10
[fleet]
forwarders = 30
slots = 12
room = 100
[traffic]
usual_per_s = 10
[[category]]
name = "note"
effect = "pure"
promised_s = 3
outer_limit_s = 15
work_ms = 100
[[program]]
name = "all"
[[kind]]
name = "one"
destinations = 1
"#;

/// A cold endpoint, with the calls that the terms allow it in the span that counts, at its return.
fn returned(scenario: &Scenario) -> (SimulatedEndpoint, f64) {
    let plan = FleetLayout::draw(scenario, 1).targets.remove(0);
    let terms = &scenario.returning;
    let allowed =
        terms.fall_multiple.get() * terms.cold_from.get() * plan.capacity * terms.tip_after.seconds();
    let mut simulated_endpoint = SimulatedEndpoint::new(plan);
    simulated_endpoint.returned = Some(Duration::ZERO);
    (simulated_endpoint, allowed)
}

#[test]
fn a_cold_target_bears_n_and_twice_its_root_and_two_calls_summed_over_all_forwarders() {
    let scenario = Scenario::parse("returning.toml", WORLD, &[]).unwrap();
    for forwarders in [1, 3, 30] {
        let (mut simulated_endpoint, allowed) = returned(&scenario);
        let borne = (allowed + 2.0 * allowed.sqrt() + 2.0).floor() as usize;
        assert!(borne as f64 > allowed + 2.0, "the root counts here: {allowed}");
        for call in 0..borne {
            let by = ForwarderIndex(call % forwarders);
            assert!(
                simulated_endpoint.push(Duration::ZERO, 1.0, by, &scenario.returning).is_none(),
                "call {call}"
            );
        }
        let fall =
            simulated_endpoint.push(Duration::ZERO, 1.0, ForwarderIndex(0), &scenario.returning).unwrap();
        assert_eq!(fall.pushed.len(), borne + 1);
        assert!((fall.budget - falls_over(allowed)).abs() < 1e-9);
    }
}

#[test]
fn calls_older_than_the_span_do_not_count() {
    let scenario = Scenario::parse("returning.toml", WORLD, &[]).unwrap();
    let (mut simulated_endpoint, allowed) = returned(&scenario);
    let span = scenario.returning.tip_after.0;
    let borne = falls_over(allowed).floor() as usize;
    for turn in 0..3u32 {
        let at = turn * (span + Duration::from_millis(1));
        for _ in 0..borne {
            assert!(simulated_endpoint.push(at, 1.0, ForwarderIndex(0), &scenario.returning).is_none());
        }
    }
}

#[test]
fn the_rule_is_broken_where_over_two_thirds_came_from_forwarders_that_knew() {
    let broken = |known: usize, all: usize| {
        let mut invariants =
            InvariantChecker::new(Vec::new(), all, Duration::ZERO, Duration::ZERO, Duration::ZERO);
        (0..known).for_each(|n| invariants.saw_trouble(ForwarderIndex(n), EndpointIndex(0)));
        let pushed: Vec<_> = (0..all).map(|n| (Duration::ZERO, 1.0, ForwarderIndex(n))).collect();
        invariants.fell(Duration::ZERO, EndpointIndex(0), &pushed, 1.0);
        invariants.verdict().0
    };
    assert_eq!(broken(20, 30), 0, "two thirds are not over two thirds");
    assert_eq!(broken(21, 30), 1);
    assert_eq!(broken(0, 30), 0);
}
