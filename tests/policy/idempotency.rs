//! Retries after an attempt that was possibly executed, and their time limits.

use reeddock::*;

use crate::support::*;

#[test]
fn non_idempotent_message_that_was_possibly_executed_fails() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Error,
    ] {
        let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
        test.submit("a", NON_IDEMPOTENT, 9);
        test.run_after(ms(0));
        test.finish_attempt("a", 0, outcome);
        assert_eq!(test.run_after(ms(0)), [fail("a")]);
    }
}

#[test]
fn non_idempotent_message_that_was_not_executed_is_retried() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", NON_IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.finish_attempt("a", 0, AttemptOutcome::NoConnection);
    assert_eq!(test.started_after(ms(100)), ["a"]);
}

#[test]
fn message_is_not_retried_once_its_idempotency_key_has_expired() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", WITH_KEY, 9);
    test.run_after(ms(0));
    test.advance(ms(5000));
    test.finish_attempt("a", 0, AttemptOutcome::TimedOut);
    assert_eq!(test.run_after(ms(0)), [fail("a")]);
}

#[test]
fn attempt_may_start_until_its_idempotency_key_expires_or_the_shutdown() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)]);
    let messages = [("with key", WITH_KEY), ("idempotent", IDEMPOTENT), ("non-idempotent", NON_IDEMPOTENT)];
    for (name, class) in messages {
        test.submit(name, class, 9);
    }
    assert_eq!(test.started_after(ms(0)).len(), 3);
    for (name, _) in messages {
        let timeouts = test.host.timeouts[name];
        assert_eq!(
            timeouts.start_within, timeouts.response_within,
            "expected no limit of the start of {name} but the response timeout"
        );
    }
    test.advance(ms(4000));
    for name in ["idempotent", "non-idempotent"] {
        test.complete_attempt(name, 0);
    }
    test.finish_attempt("with key", 0, AttemptOutcome::TimedOut);
    assert_eq!(test.started_after(ms(0)), ["with key"]);
    let start_within = test.host.timeouts["with key"].start_within;
    assert_eq!(start_within, ms(1000), "expected the rest of the idempotency window: 4 s of 5 s have passed");
    test.policy.begin_shutdown(test.now + ms(1500));
    test.submit("late", IDEMPOTENT, 8);
    assert_eq!(test.started_after(ms(100)), ["late"]);
    assert_eq!(test.host.timeouts["late"].start_within, ms(1400));
}

#[test]
fn without_hedging_all_messages_of_a_request_have_the_same_timeout() {
    for hedging_allowed in [false, true] {
        let settings = Settings { hedging_allowed, ..settings() };
        let mut test = PolicyTest::new(settings, &[listed(1, 9, BATCH_OF_4)]);
        for (name, class) in [
            ("a", IDEMPOTENT),
            ("b", NON_IDEMPOTENT),
            ("c", IDEMPOTENT),
            ("d", IDEMPOTENT),
            ("e", NON_IDEMPOTENT),
        ] {
            test.submit(name, class, 9);
        }
        assert_eq!(test.started_after(ms(0)).len(), 5);
        let timeouts = &test.host.timeouts;
        assert_eq!(timeouts["a"].response_within == timeouts["b"].response_within, !hedging_allowed);
        let requests = ["a", "b", "c", "d", "e"].map(|name| timeouts[name].request);
        let first_batch = requests[..4].iter().all(|request| *request == requests[0]);
        assert!(
            first_batch && requests[4] != requests[0],
            "expected a batch of `a` to `d` and a request for `e`: {requests:?}"
        );
    }
}
