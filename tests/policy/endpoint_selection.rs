//! Selection of the endpoint for a request.

use reeddock::*;

use crate::support::*;

#[test]
fn message_class_that_fails_at_one_endpoint_goes_to_another() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, SHARED_CIRCUIT), listed(2, 9, SHARED_CIRCUIT)]);
    let (mut lost, mut served) = (0, 0);
    for n in 0..40 {
        for class in [NON_IDEMPOTENT, IDEMPOTENT] {
            test.submit(&format!("{class}{n}"), class, 9);
            let Some(attempt) = test.last_started_after(ms(100)) else { continue };
            let to_first = attempt.endpoint == EndpointId(1);
            let fails = to_first && attempt.message.starts_with(NON_IDEMPOTENT);
            lost += u32::from(fails);
            served += u32::from(to_first && !fails);
            let outcome = if fails { AttemptOutcome::TimedOut } else { AttemptOutcome::Completed };
            test.finish_attempt(&attempt.message, 0, outcome);
        }
    }
    assert!(
        lost <= 4 && served >= 10,
        "expected 4 or fewer lost attempts, and 10 or more completions at endpoint 1: {lost}, {served}"
    );
}

#[test]
fn endpoints_with_their_own_circuits_get_requests_by_their_listed_rates() {
    let mut test = PolicyTest::with_endpoints(&[]);
    test.replace_endpoints(&[
        listed(1, 9, OWN_CIRCUIT).weight(Some(12.0)),
        listed(2, 9, OWN_CIRCUIT).weight(Some(2.0)),
    ]);
    let mut to_small = 0;
    for n in 0..100 {
        let name = format!("e{n}");
        test.submit(&name, IDEMPOTENT, 9);
        let attempt =
            test.last_started_after(ms(100)).expect("expected the last command to start an attempt");
        to_small += u32::from(attempt.endpoint == EndpointId(2));
        test.complete_attempt(&name, 0);
    }
    assert!(
        (2..=30).contains(&to_small),
        "expected 2 to 30 of 100 requests at the endpoint with the lower rate, not {to_small}"
    );
}

#[test]
fn endpoint_with_an_idle_connection_is_preferred() {
    let mut test = with_load_reports(&[
        listed(1, 9, SHARED_CIRCUIT),
        listed(2, 9, SHARED_CIRCUIT),
        listed(3, 9, SHARED_CIRCUIT),
    ]);
    let mut used = Vec::new();
    for n in 0..12 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        let attempt =
            test.last_started_after(ms(500)).expect("expected the last command to start an attempt");
        used.push(attempt.endpoint);
        test.complete_attempt(&attempt.message, 0);
    }
    assert!(
        used.iter().all(|endpoint| *endpoint == used[0]),
        "expected one endpoint for all requests: {used:?}"
    );
}

#[test]
fn endpoint_in_the_zone_with_the_lower_fee_is_preferred() {
    let zone_fee = |zone: &str, fee| ZoneFee { zone: zone.to_owned(), fee };
    let zone_fees = vec![zone_fee("east", 0.01), zone_fee("west", 0.04)];
    let mut test = PolicyTest::without_endpoint_list(Settings { zone_fees, ..settings() });
    for (endpoint, zone) in [(1, "west"), (2, "east")] {
        test.update_endpoints(&[listed(endpoint, 9, OWN_CIRCUIT).zone(zone)], EndpointState::Active);
    }
    let mut to_east = 0;
    for n in 0..40 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        let attempt =
            test.last_started_after(ms(500)).expect("expected the last command to start an attempt");
        to_east += u32::from(attempt.endpoint == EndpointId(2));
        test.complete_attempt(&attempt.message, 0);
    }
    // Both endpoints are drawn together in half of the selections.
    assert!(
        to_east > 25,
        "expected more than 25 of 40 requests in the zone with the lower fee, not {to_east}"
    );
}

#[test]
fn endpoint_that_is_twice_as_slow_gets_fewer_requests() {
    let endpoints = [listed(1, 9, OWN_CIRCUIT), listed(2, 9, OWN_CIRCUIT), listed(3, 8, SHARED_CIRCUIT)];
    let mut test = PolicyTest::new(Settings { max_in_flight: Some(2), ..settings() }, &endpoints);
    let mut to_slow = 0;
    for n in 0..220 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        let attempt =
            test.last_started_after(ms(500)).expect("expected the last command to start an attempt");
        let slow = attempt.endpoint == EndpointId(1);
        test.advance(if slow { ms(1500) } else { ms(100) });
        test.complete_attempt(&attempt.message, 0);
        to_slow += u32::from(n >= 20 && slow);
    }
    // Only the slow endpoint is drawn in a quarter of the selections.
    assert!(to_slow < 75, "expected fewer than 75 of 200 requests at the slow endpoint, not {to_slow}");
}
