//! Timers of the policy, and events that wake a waiting destination.

use std::time::Duration;

use reeddock::*;

use crate::support::*;

#[test]
fn timer_that_fires_slightly_early_is_set_again() {
    let mut test = PolicyTest::with_endpoints(&[]);
    test.advance(Duration::from_nanos(500));
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    let timer = test.host.timers.pop().expect("expected a timer before the deadline, none was set");
    let whole_micros = Duration::from_micros(timer.as_micros() as u64 - 1);
    test.run_after(whole_micros);
    assert!(!test.host.timers.is_empty());
}

#[test]
fn waiting_destination_is_woken_by_events_and_at_the_end_of_its_wait() {
    let mut test = PolicyTest::with_large_capacity(ONE_ENDPOINT);
    test.complete_with_retry_after(1, 9, ms(4000));
    test.submit_many(1, 9);
    assert!(test.started_after(ms(0)).is_empty());
    assert_eq!(test.host.timers.last(), Some(&ms(4000)), "expected a timer for the end of the Retry-After");
    assert!(test.started_after(ms(3900)).is_empty());
    // Another endpoint of the destination admits requests now.
    test.update_endpoints(&[listed(2, 9, OWN_CIRCUIT)], EndpointState::Active);
    assert_eq!(test.started_after(ms(0)), ["e0000"]);
    test.reject_attempt("e0000", 0, Some(ms(1000)));
    assert!(test.started_after(ms(50)).is_empty(), "expected no attempt while both endpoints wait");
    assert_eq!(
        test.started_after(ms(100)),
        ["e0000"],
        "expected an attempt once the wait of one endpoint is over"
    );
}
