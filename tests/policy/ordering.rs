//! Messages with an ordering key.

use reeddock::*;

use crate::support::*;

#[test]
fn messages_of_an_ordering_key_are_sent_one_at_a_time_and_delayed_after_a_possible_execution() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    for name in ["a", "b"] {
        test.submit_ordered(name, 9, OrderingKey(5));
    }
    assert_eq!(test.started_after(ms(0)), ["a"]);
    test.finish_attempt("a", 0, AttemptOutcome::TimedOut);
    test.withdraw("a");
    assert!(test.started_after(ms(2990)).is_empty());
    assert_eq!(test.started_after(ms(20)), ["b"]);
}

#[test]
fn messages_blocked_by_their_ordering_key_are_sent_in_order() {
    let mut test = PolicyTest::with_large_capacity(ONE_ENDPOINT);
    for n in 0..1000 {
        test.submit_ordered(&format!("e{n:04}"), 9, OrderingKey(7));
    }
    test.submit("free", IDEMPOTENT, 9);
    let mut started = test.started_after(ms(0));
    started.sort();
    assert_eq!(started, ["e0000", "free"]);
    // The first message is completed, the second is withdrawn while it is blocked, and the third is sent.
    test.withdraw("e0001");
    test.complete_attempt("e0000", 0);
    assert_eq!(test.started_after(ms(10)), ["e0002"]);
    // After a possible execution, other messages of the ordering key are delayed. The same message may be
    // retried.
    test.finish_attempt("e0002", 0, AttemptOutcome::TimedOut);
    assert_eq!(test.policy.message_progress(&id("e0002")).unwrap().attempts, 1);
    let next = test.started_after(ms(1500));
    assert!(next.iter().all(|name| name == "e0002"), "expected no message but e0002: {next:?}");
}
