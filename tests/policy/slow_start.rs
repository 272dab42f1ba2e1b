//! Conditions for slow start of an endpoint.

use reeddock::*;

use crate::support::*;

/// Returns how many of eight messages are started at once after `resets` consecutive connection resets.
fn started_after_resets(resets: u32) -> usize {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    for n in 0..20 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        test.run_after(ms(100));
        test.complete_attempt(&format!("e{n}"), 0);
    }
    test.submit("broken", IDEMPOTENT, 9);
    for attempt in 0..resets {
        test.run_after(ms(1100));
        test.finish_attempt("broken", attempt, AttemptOutcome::ConnectionReset);
    }
    for n in 20..28 {
        test.submit(&format!("e{n}"), NON_IDEMPOTENT, 9);
    }
    test.started_after(ms(0)).len()
}

#[test]
fn single_connection_reset_between_completions_starts_no_slow_start() {
    assert_eq!(started_after_resets(1), 8);
}

#[test]
fn second_connection_reset_without_a_completion_starts_slow_start() {
    assert!(
        started_after_resets(2) < 8,
        "expected fewer than eight messages after two resets, which may indicate an outage"
    );
}
