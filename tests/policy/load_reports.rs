//! Pacing with responses that report the unused share of a rate limit.

use reeddock::*;

use crate::support::*;

#[test]
fn with_load_reports_no_message_waits_for_a_time_slot() {
    let mut test = with_load_reports(&[listed(1, 9, OWN_CIRCUIT)]);
    for n in 0..4 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
    }
    assert_eq!(test.started_after(ms(0)).len(), 4);
}

/// Returns the pacing interval of a circuit, in seconds, after two rejections. If `answered` is set, a
/// request completes between the rejections.
fn pacing_interval_after_two_rejections(left: f64, limit: f64, answered: bool) -> f64 {
    let mut test = with_load_reports(ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    if answered {
        test.submit("b", IDEMPOTENT, 9);
    }
    test.run_after(ms(0));
    test.report_load(1, left, limit);
    test.reject_attempt("a", 0, None);
    if answered {
        test.complete_attempt("b", 0);
    }
    let again = (0..40).any(|_| !test.started_after(ms(50)).is_empty());
    assert!(again, "expected the first retry within the latency objective");
    test.report_load(1, left, limit);
    test.reject_attempt("a", 1, None);
    test.longest_pacing_interval()
}

#[test]
fn rejection_at_a_used_up_limit_is_retried_soon() {
    assert!(pacing_interval_after_two_rejections(0.1, 6.0, true) < 2.0);
}

#[test]
fn rejection_without_a_limit_is_retried_late() {
    let interval = pacing_interval_after_two_rejections(0.0, 0.0, true);
    assert!(
        interval > 2.5,
        "expected a pacing interval above 2.5 s, because the destination may be down: {interval} s"
    );
}

#[test]
fn rejections_without_a_completion_between_them_are_retried_late_at_any_limit_left() {
    for (left, limit) in [(0.1, 6.0), (0.9, 6.0), (0.0, 0.0)] {
        assert!(
            pacing_interval_after_two_rejections(left, limit, false) > 3.0,
            "expected an interval above 3 s at share {left} left of {limit} requests a second"
        );
    }
}

#[test]
fn response_that_reports_free_capacity_ends_the_pacing() {
    for (left, ends_pacing) in [(1.0, true), (0.0, false)] {
        let mut test = with_load_reports(ONE_ENDPOINT);
        test.submit("a", IDEMPOTENT, 9);
        test.submit("b", IDEMPOTENT, 9);
        test.run_after(ms(0));
        test.report_load(1, 0.0, 6.0);
        test.reject_attempt("a", 0, None);
        let before = test.longest_pacing_interval();
        test.report_load(1, left, 6.0);
        test.complete_attempt("b", 0);
        assert!(
            ends_pacing || test.longest_pacing_interval() > 0.9 * before,
            "expected an interval above 90% of {before} s, as rejected requests may count against the limit"
        );
        test.run_after(ms(2000));
        for n in 0..3 {
            test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        }
        assert_eq!(
            test.started_after(ms(0)).len() > 1,
            ends_pacing,
            "expected several attempts at once only if pacing has ended; share of the limit left: {left}"
        );
    }
}

/// Returns the pacing interval, in seconds, of one of four forwarders after three rejections at a used-up
/// limit.
fn pacing_interval_at_limit(limit: f64) -> f64 {
    let settings = Settings {
        forwarders: Some(4),
        max_in_flight: Some(2),
        listed_weights: ListedWeights::Rates,
        responses_carry_load_reports: true,
        ..settings()
    };
    let mut test = PolicyTest::new(settings, ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    for attempt in 0..3 {
        let again = (0..200).any(|_| !test.started_after(ms(50)).is_empty());
        assert!(again, "expected a retry within ten seconds");
        test.report_load(1, 0.0, limit);
        test.reject_attempt("a", attempt, None);
    }
    test.longest_pacing_interval()
}

#[test]
fn report_of_a_lower_limit_widens_the_pacing_interval() {
    let (low, high) = (pacing_interval_at_limit(0.5), pacing_interval_at_limit(6.0));
    assert!(
        low > 1.5 * high,
        "expected an interval of more than 1.5 times {high} s at the lower limit, not {low} s"
    );
}
