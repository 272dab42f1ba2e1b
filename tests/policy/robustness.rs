//! Unusual endpoint lists, clocks, identifiers and settings.

use reeddock::*;

use crate::support::*;

#[test]
fn unusual_lists_and_clocks_lose_no_message() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, SHARED_CIRCUIT), listed(2, 8, "no such kind")]);
    test.submit("a", IDEMPOTENT, 9);
    test.submit("nowhere", IDEMPOTENT, 77);
    test.submit("unknown class", "no such class", 9);
    assert_eq!(test.host.commands, [fail("unknown class")]);
    assert_eq!(test.started_after(ms(0)), ["a"]);
    test.update_endpoints(&[listed(1, 8, SHARED_CIRCUIT)], EndpointState::Active);
    test.finish_attempt("a", 0, AttemptOutcome::NoConnection);
    assert!(
        test.started_after(ms(5000)).is_empty(),
        "expected no attempt, because the endpoint belongs to another destination"
    );
    test.update_endpoints(&[listed(1, 9, SHARED_CIRCUIT)], EndpointState::Active);
    assert_eq!(
        test.started_after(ms(1000)),
        ["a"],
        "expected an attempt, because the endpoint belongs to the destination again"
    );
    test.withdraw("never seen");
    test.complete_attempt("never seen", 3);
    let commands = test.run_after(ms(100_000_000));
    assert_eq!(commands, [fail("nowhere")], "expected a failure after the clock jumped past the deadline");
    test.finish_attempt("a", 1, AttemptOutcome::TimedOut);
    assert_eq!(test.run_after(ms(0)), [fail("a")]);
    for n in 0..5000 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
    }
    let commands = test.run_after(ms(0));
    let rejected = commands.iter().filter(|command| matches!(command, HostCommand::Reject { .. })).count();
    let kept = test.policy.state_size().messages;
    assert_eq!(5000 - rejected, kept, "expected each message to be queued, sent or rejected");
}

#[test]
fn nothing_is_sent_if_no_request_may_be_in_flight() {
    for max_in_flight in [Some(0), None] {
        let mut test = PolicyTest::new(Settings { max_in_flight, ..settings() }, ONE_ENDPOINT);
        test.submit("a", IDEMPOTENT, 9);
        assert_eq!(test.started_after(ms(0)).is_empty(), max_in_flight.is_some());
    }
}

#[test]
fn out_of_range_settings_do_not_stop_a_forwarder() {
    let zero = Some(ms(0));
    let out_of_range = Settings {
        classes: vec![MessageClass {
            name: IDEMPOTENT.into(),
            priority_weight: Some(f64::NAN),
            ..Default::default()
        }],
        forwarders: Some(0),
        max_in_flight: Some(0),
        max_pending_messages: Some(0),
        slow_start_floor: Some(-1.0),
        overload_capacity_multiple: Some(f64::INFINITY),
        overload_window: zero,
        slow_start_duration: zero,
        listed_weights: ListedWeights::ApproximateRates,
        ..Default::default()
    };
    let mut test = PolicyTest::new(out_of_range, ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    let commands = test.run_after(ms(100));
    assert!(
        commands.is_empty(),
        "expected the message to stay queued, because no request may be in flight: {commands:?}"
    );
    assert_eq!(test.run_after(ms(30_000)), [fail("a")]);
}
