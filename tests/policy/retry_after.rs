//! Retry-After of endpoints, and its estimate where a rejection has none.

use reeddock::*;

use crate::support::*;

#[test]
fn no_request_is_sent_before_the_retry_after_ends() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, Some(ms(1500)));
    test.submit("b", NON_IDEMPOTENT, 9);
    assert!(test.started_after(ms(1490)).is_empty());
    assert!(!test.started_after(ms(10)).is_empty());
}

#[test]
fn message_whose_deadline_ends_before_the_retry_after_is_rejected_at_once() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, Some(ms(60_000)));
    assert_eq!(test.run_after(ms(0)), [reject("a", Some(ms(3000)))]);
}

#[test]
fn queued_messages_whose_deadline_ends_before_a_retry_after_are_finished_when_it_is_received() {
    let mut test = PolicyTest::with_large_capacity(ONE_ENDPOINT);
    test.submit_many(20, 9);
    assert_eq!(test.started_after(ms(0)).len(), 8);
    test.policy.retry_after_received(test.now, EndpointId(1), ms(30_000));
    let commands = test.run_after(ms(0));
    assert_eq!(
        finished(&commands).len(),
        12,
        "expected answers to all messages whose deadline ends before the Retry-After"
    );
    // A message submitted during the wait is finished as well.
    test.submit("late", IDEMPOTENT, 9);
    assert_eq!(finished(&test.run_after(ms(0))), ["late"]);
}

#[test]
fn retry_after_of_the_first_message_of_a_request_applies_if_its_last_has_none() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, BATCH_OF_4)]);
    for name in ["a", "b"] {
        test.submit(name, IDEMPOTENT, 9);
    }
    assert_eq!(test.started_after(ms(0)).len(), 2);
    test.reject_attempt("a", 0, Some(ms(2500)));
    test.reject_attempt("b", 0, None);
    assert!(test.started_after(ms(2490)).is_empty());
}

#[test]
fn rejection_without_retry_after_uses_the_last_retry_after() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, Some(ms(1200)));
    assert_eq!(test.started_after(ms(1200)), ["a"]);
    test.reject_attempt("a", 1, None);
    assert!(test.started_after(ms(1190)).is_empty());
    assert_eq!(test.started_after(ms(1200)), ["a"]);
}

#[test]
fn long_retry_after_ends_with_one_trial_and_not_with_all_queued_messages() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, BATCH_OF_40)]);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, Some(ms(19_000)));
    test.run_after(ms(17_000));
    for n in 0..40 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
    }
    assert!(
        test.started_after(ms(1990)).is_empty(),
        "expected no attempt before the Retry-After ends, whose circuit must keep its record"
    );
    let trial = test.started_after(ms(10));
    assert_eq!(trial.len(), 1);
    test.advance(ms(100));
    test.complete_attempt(&trial[0], 1);
    let started = test.started_after(ms(0));
    assert!(
        started.len() < 30,
        "expected fewer than 30 messages in the first batch after the trial, not {}",
        started.len()
    );
}

#[test]
fn retry_after_of_an_endpoint_with_its_own_circuit_does_not_block_another_endpoint() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, OWN_CIRCUIT), listed(2, 9, OWN_CIRCUIT)]);
    test.submit("a", IDEMPOTENT, 9);
    let first = test.last_started_after(ms(0)).expect("expected the last command to start an attempt");
    test.reject_attempt("a", 0, Some(ms(1500)));
    let commands = test.run_after(ms(0));
    assert!(matches!(
        &commands[..],
        [HostCommand::StartAttempt(second)] if second.endpoint != first.endpoint
    ));
}

/// Guards against a request within a Retry-After of an endpoint that is new in the list and has no circuit.
#[test]
fn inherited_retry_after_delays_the_first_request_to_an_endpoint() {
    for kind in [OWN_CIRCUIT, SHARED_CIRCUIT] {
        let mut test = PolicyTest::with_endpoints(&[listed(1, 9, kind)]);
        test.policy.retry_after_inherited(test.now, EndpointId(1), ms(700));
        test.submit("a", IDEMPOTENT, 9);
        assert!(test.started_after(ms(690)).is_empty(), "{kind}");
        assert_eq!(test.started_after(ms(10)), ["a"], "{kind}");
    }
}
