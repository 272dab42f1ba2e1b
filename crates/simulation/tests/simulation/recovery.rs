//! Overload of endpoints in slow start after an outage, and its attribution to forwarders.

use std::time::Duration;

use reeddock_simulation::ids::{EndpointIndex, ForwarderIndex};
use reeddock_simulation::invariants::{FleetRules, InvariantChecker};
use reeddock_simulation::layout::FleetLayout;
use reeddock_simulation::received_work::ReceivedWork;
use reeddock_simulation::simulated_endpoint::{overload_budget, OutageCause, SimulatedEndpoint};
use reeddock_simulation::Scenario;

const SCENARIO: &str = r#"
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

/// Returns a recovering endpoint, and the work that the settings allow it in one overload window.
fn recovering_endpoint(scenario: &Scenario) -> (SimulatedEndpoint, f64) {
    let plan = FleetLayout::draw(scenario, 1).endpoints.remove(0);
    let settings = &scenario.recovery;
    let allowed = settings.overload_capacity_multiple.get()
        * settings.slow_start_floor.get()
        * plan.capacity_per_s
        * settings.overload_window.seconds();
    let mut endpoint = SimulatedEndpoint::new(plan);
    endpoint.recover(Duration::ZERO, OutageCause::Fault);
    (endpoint, allowed)
}

#[test]
fn overload_budget_is_allowance_plus_twice_its_square_root_plus_two_across_forwarders() {
    let scenario = Scenario::parse("returning.toml", SCENARIO, &[]).unwrap();
    for forwarders in [1, 3, 30] {
        let (mut endpoint, allowed) = recovering_endpoint(&scenario);
        let tolerated = (allowed + 2.0 * allowed.sqrt() + 2.0).floor() as usize;
        assert!(
            tolerated as f64 > allowed + 2.0,
            "the square root must increase the budget over the allowed work {allowed}"
        );
        for request in 0..tolerated {
            let sender = ForwarderIndex(request % forwarders);
            assert!(
                endpoint.receive_work(Duration::ZERO, 1.0, sender, &scenario.recovery).is_none(),
                "request {request} of {tolerated} must not overload the endpoint"
            );
        }
        let overload =
            endpoint.receive_work(Duration::ZERO, 1.0, ForwarderIndex(0), &scenario.recovery).unwrap();
        assert_eq!(overload.received.len(), tolerated + 1);
        assert!((overload.budget - overload_budget(allowed)).abs() < 1e-9);
    }
}

#[test]
fn requests_older_than_overload_window_do_not_count() {
    let scenario = Scenario::parse("returning.toml", SCENARIO, &[]).unwrap();
    let (mut endpoint, allowed) = recovering_endpoint(&scenario);
    let window = scenario.recovery.overload_window.0;
    let tolerated = overload_budget(allowed).floor() as usize;
    for round in 0..3u32 {
        let at = round * (window + Duration::from_millis(1));
        for _ in 0..tolerated {
            assert!(endpoint.receive_work(at, 1.0, ForwarderIndex(0), &scenario.recovery).is_none());
        }
    }
}

#[test]
fn overload_is_violation_if_over_two_thirds_came_from_forwarders_aware_of_outage() {
    let violation_count = |aware: usize, all: usize| {
        let mut invariants = InvariantChecker::new(FleetRules { forwarders: all, ..FleetRules::default() });
        (0..aware).for_each(|n| invariants.record_failure(ForwarderIndex(n), EndpointIndex(0)));
        let work = |n| ReceivedWork { at: Duration::ZERO, amount: 1.0, sender: ForwarderIndex(n) };
        let received: Vec<ReceivedWork> = (0..all).map(work).collect();
        invariants.check_overload(Duration::ZERO, EndpointIndex(0), &received, 1.0);
        invariants.into_violations().count
    };
    assert_eq!(
        violation_count(20, 30),
        0,
        "exactly two thirds of the work from aware forwarders are allowed"
    );
    assert_eq!(violation_count(21, 30), 1);
    assert_eq!(violation_count(0, 30), 0);
}
