//! Attempts that start before a planned shutdown.

use crate::support::*;

#[test]
fn non_idempotent_attempt_that_would_outlast_a_shutdown_is_not_started() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("first", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.advance(ms(300));
    test.complete_attempt("first", 0);
    test.policy.begin_shutdown(test.now + ms(2000));
    test.submit("early", NON_IDEMPOTENT, 9);
    assert_eq!(test.started_after(ms(0)), ["early"]);
    test.advance(ms(1000));
    test.submit("non-idempotent", NON_IDEMPOTENT, 9);
    test.submit("idempotent", IDEMPOTENT, 9);
    let started = test.started_after(ms(0));
    assert_eq!(
        started,
        ["idempotent"],
        "expected the non-idempotent message to be kept for the next start of the program"
    );
}
