//! Selection of the destination and the message for the next request.

use crate::support::*;

const TWO_DESTINATIONS: &[ListedEndpoint] = &[listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)];

#[test]
fn messages_for_one_endpoint_are_sent_as_a_batch() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, BATCH_OF_4)]);
    for n in 0..40 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
    }
    assert_eq!(test.started_after(ms(0)).len(), 32, "expected eight requests of four messages");
}

#[test]
fn unresponsive_destination_does_not_use_up_the_limit_of_requests_in_flight() {
    let mut test = PolicyTest::with_endpoints(TWO_DESTINATIONS);
    for n in 0..30 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        test.run_after(ms(300));
    }
    test.submit("other", IDEMPOTENT, 8);
    assert_eq!(test.started_after(ms(0)), ["other"]);
}

#[test]
fn long_queue_gets_more_requests_than_a_short_one_at_the_limit_of_requests_in_flight() {
    let mut test = PolicyTest::with_endpoints(TWO_DESTINATIONS);
    for n in 0..30 {
        test.submit(&format!("long{n}"), IDEMPOTENT, 9);
    }
    for n in 0..8 {
        // One short request is sent and completed while the long queue waits.
        test.submit(&format!("short{n}"), IDEMPOTENT, 8);
        test.run_after(ms(100));
        test.complete_attempt(&format!("short{n}"), 0);
        test.complete_attempt(&format!("long{n}"), 0);
    }
    for n in 8..16 {
        test.submit(&format!("short{n}"), IDEMPOTENT, 8);
        test.complete_attempt(&format!("long{n}"), 0);
    }
    let started = test.started_after(ms(0));
    let long = started.iter().filter(|name| name.starts_with("long")).count();
    assert!(long > started.len() / 2, "expected most attempts for the long queue: {started:?}");
}

#[test]
fn repeatable_straggler_is_cancelled_for_a_destination_that_responds() {
    let mut test = PolicyTest::with_endpoints(&[
        listed(1, 9, OWN_CIRCUIT),
        listed(2, 9, OWN_CIRCUIT),
        listed(3, 8, SHARED_CIRCUIT),
    ]);
    for n in 0..7 {
        let class = if n % 2 == 0 { IDEMPOTENT } else { NON_IDEMPOTENT };
        test.submit(&format!("silent{n}"), class, 9);
    }
    test.submit("quick", IDEMPOTENT, 8);
    assert_eq!(test.started_after(ms(0)).len(), 8, "expected attempts up to the limit of requests in flight");
    test.run_after(ms(200));
    test.complete_attempt("quick", 0);
    for n in 0..4 {
        test.submit(&format!("next{n}"), IDEMPOTENT, 8);
    }
    test.run_after(ms(0));
    test.complete_attempt("next0", 0);
    let commands = test.run_after(ms(3000));
    let cancelled = |command: &HostCommand| matches!(command, HostCommand::Cancel { message, .. } if message.starts_with("silent"));
    assert!(commands.iter().any(cancelled), "expected the cancellation of a silent attempt: {commands:?}");
    let non_idempotent = |command: &HostCommand| matches!(command, HostCommand::Cancel { message, .. } if ["silent1", "silent3"].contains(&message.as_str()));
    assert!(
        !commands.iter().any(non_idempotent),
        "expected no cancellation of a non-idempotent attempt, which would lose its message: {commands:?}"
    );
}

#[test]
fn low_priority_class_is_not_starved_at_a_destination_at_its_limit() {
    let mut settings = settings();
    settings.max_in_flight = Some(1);
    settings.max_pending_messages = Some(500);
    settings.classes[1].priority_weight = Some(3.0);
    let mut test = PolicyTest::new(settings, ONE_ENDPOINT);
    let mut low = 0;
    for n in 0..200 {
        test.submit(&format!("low{n}"), IDEMPOTENT, 9);
        test.submit(&format!("high{n}"), NON_IDEMPOTENT, 9);
        let started = test.started_after(ms(20));
        assert_eq!(started.len(), 1);
        low += usize::from(started[0].starts_with("low"));
        test.complete_attempt(&started[0], 0);
    }
    // The squares of the weights 1 and 3 give the low class a tenth of the requests.
    assert!((8..40).contains(&low), "expected 8 to 39 of 200 requests for the low priority class, not {low}");
}

#[test]
fn message_submitted_shortly_before_its_deadline_is_not_late_and_is_sent_at_once() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    // Requests to this destination take 0.5 s.
    test.submit("first", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.advance(ms(500));
    test.complete_attempt("first", 0);
    let deadline = test.now + ms(300);
    test.submit_with_deadline("short", IDEMPOTENT, 9, deadline);
    let progress = test.policy.message_progress(&id("short")).unwrap();
    assert_eq!(progress.objective_ends_at, deadline, "expected the latency objective to end at the deadline");
    assert_eq!(
        test.started_after(ms(0)),
        ["short"],
        "expected an attempt, because some responses take less than the mean"
    );
}
