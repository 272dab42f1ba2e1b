//! Time and number of retries of a message.

use reeddock::*;

use crate::support::*;

#[test]
fn message_that_was_not_sent_does_not_use_up_its_attempts_at_once() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.submit("a", NON_IDEMPOTENT, 9);
    let mut attempts = 0;
    for _ in 0..100 {
        if !test.started_after(ms(10)).is_empty() {
            test.finish_attempt("a", attempts, AttemptOutcome::NotSent);
            attempts += 1;
        }
    }
    assert!((3..=5).contains(&attempts), "expected 3 to 5 attempts in a second, not {attempts}");
}
