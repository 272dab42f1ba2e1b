//! Opening of circuits, half-open trials and recovery.

use reeddock::*;

use crate::support::*;

/// Creates a policy whose circuit of destination 9 was opened by refused connections. Messages a, b and c are
/// queued.
pub fn with_open_circuit() -> PolicyTest {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    for name in ["a", "b", "c"] {
        test.submit(name, IDEMPOTENT, 9);
    }
    test.run_after(ms(0));
    for name in ["a", "b", "c"] {
        test.finish_attempt(name, 0, AttemptOutcome::NoConnection);
    }
    test
}

#[test]
fn open_circuit_sends_one_half_open_trial_at_a_time() {
    let mut test = with_open_circuit();
    assert!(
        test.started_after(ms(500)).is_empty(),
        "expected all messages to stay queued while the circuit is open"
    );
    let trial = test.started_after(ms(600));
    assert_eq!(trial.len(), 1, "expected one queued message as the half-open trial");
    assert!(test.started_after(ms(3000)).is_empty(), "expected no further trial while one is in flight");
    test.finish_attempt(&trial[0], 1, AttemptOutcome::NoConnection);
    assert!(test.started_after(ms(900)).is_empty(), "expected the failed trial to reopen the circuit");
    assert_eq!(test.started_after(ms(200)).len(), 1);
}

#[test]
fn circuit_opening_and_closing_are_reported_with_scope_and_outcome() {
    let mut test = with_open_circuit();
    let scope = CircuitScope::Destination(DestinationId(9));
    let opened = PolicyEvent::CircuitOpened { scope, outcome: AttemptOutcome::NoConnection };
    assert_eq!(test.host.events, [opened]);
    let trial = test.started_after(ms(6000));
    test.complete_attempt(&trial[0], 1);
    let closed = PolicyEvent::CircuitClosed { scope, outcome: AttemptOutcome::Completed };
    assert_eq!(test.host.events, [opened, closed]);
    assert_eq!(opened.to_string(), "circuit opened: destination 9, after NoConnection");
    assert_eq!(closed.to_string(), "circuit closed: destination 9, after Completed");
}

#[test]
fn circuit_that_closes_within_five_seconds_of_a_report_is_not_reported() {
    let mut test = with_open_circuit();
    let trial = test.started_after(ms(1100));
    test.complete_attempt(&trial[0], 1);
    assert_eq!(test.host.events.len(), 1, "expected no report but the opening of the circuit");
}

#[test]
fn recovered_circuit_allows_one_request_in_flight_at_first() {
    let mut test = with_open_circuit();
    let trial = test.started_after(ms(1100));
    test.complete_attempt(&trial[0], 1);
    assert!(test.started_after(ms(1)).len() <= 1);
}

#[test]
fn unanswered_request_sent_before_the_recovery_does_not_delay_later_requests() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    for name in ["stuck", "a", "b", "c"] {
        test.submit(name, NON_IDEMPOTENT, 9);
    }
    test.run_after(ms(0));
    for name in ["a", "b", "c"] {
        test.finish_attempt(name, 0, AttemptOutcome::NoConnection);
    }
    let trial = test.started_after(ms(1100));
    assert_eq!(trial.len(), 1);
    test.advance(ms(100));
    test.complete_attempt(&trial[0], 1);
    assert_eq!(
        test.started_after(ms(300)).len(),
        1,
        "expected one new request, although an older one is in flight"
    );
}

#[test]
fn half_open_trial_is_sent_when_due_while_the_circuit_of_another_endpoint_is_closed() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, OWN_CIRCUIT), listed(2, 9, OWN_CIRCUIT)]);
    let (mut to_one, mut n) = (0, 0);
    while to_one < 3 {
        n += 1;
        let name = format!("e{n}");
        test.submit(&name, IDEMPOTENT, 9);
        while let Some(attempt) = test.last_started_after(ms(0)) {
            let refused = attempt.endpoint == EndpointId(1);
            to_one += u32::from(refused);
            let number = test.policy.message_progress(&id(&name)).unwrap().attempts - 1;
            let outcome = if refused { AttemptOutcome::NoConnection } else { AttemptOutcome::Completed };
            test.finish_attempt(&name, number, outcome);
        }
        test.advance(ms(50));
    }
    test.submit("late", IDEMPOTENT, 9);
    let commands = test.run_after(ms(3000));
    assert!(matches!(
        commands[..],
        [HostCommand::StartAttempt(StartedAttempt { endpoint: EndpointId(1), .. })]
    ));
}

#[test]
fn message_that_always_gets_an_error_does_not_open_the_circuit() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("bad", IDEMPOTENT, 9);
    for attempt in 0..4 {
        assert_eq!(test.started_after(ms(1500)), ["bad"]);
        test.finish_attempt("bad", attempt, AttemptOutcome::Error);
    }
    test.submit("good", NON_IDEMPOTENT, 9);
    assert_eq!(test.started_after(ms(1))[0], "good");
}

#[test]
fn circuit_unused_for_ten_deadlines_is_removed() {
    let endpoints: Vec<ListedEndpoint> = (0..500).map(|n| listed(n, u64::from(n), SHARED_CIRCUIT)).collect();
    let mut test = PolicyTest::with_large_capacity(&endpoints);
    for n in 0..500 {
        let name = format!("e{n:04}");
        test.submit(&name, IDEMPOTENT, n);
        assert_eq!(test.started_after(ms(100)), [name.as_str()]);
        test.complete_attempt(&name, 0);
    }
    test.run_after(ms(0));
    assert_eq!(test.policy.state_size().circuits, 500);
    test.submit("kept", IDEMPOTENT, 0);
    assert_eq!(test.started_after(ms(100_000)), ["kept"]);
    test.complete_attempt("kept", 0);
    test.run_after(ms(150_000));
    assert_eq!(
        test.policy.state_size().circuits,
        1,
        "expected only the record of the circuit used since then"
    );
    test.submit("again", IDEMPOTENT, 3);
    assert_eq!(test.started_after(ms(0)), ["again"]);
}
