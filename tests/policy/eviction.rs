//! Rejection of messages when the capacity is used up.

use reeddock::*;

use crate::support::*;

#[test]
fn full_queue_rejects_a_message() {
    let mut test = PolicyTest::with_endpoints(&[]);
    for n in 0..50 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
    }
    let commands = test.run_after(ms(0));
    assert!(matches!(commands[..], [HostCommand::Reject { .. }]));
}

#[test]
fn full_queue_rejects_the_lowest_priority_whatever_its_destination() {
    let mut settings = Settings { max_in_flight: Some(0), max_pending_messages: Some(4), ..settings() };
    settings.classes[1].priority_weight = Some(3.0);
    let endpoints = [listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)];
    let mut test = PolicyTest::new(settings, &endpoints);
    for name in ["a", "b", "c"] {
        test.submit(name, NON_IDEMPOTENT, 9);
    }
    test.submit("low", IDEMPOTENT, 8);
    let commands = test.run_after(ms(0));
    assert!(
        matches!(&commands[..], [HostCommand::Reject { message, .. }] if message == "low"),
        "expected only the rejection of `low`: {commands:?}"
    );
}

#[test]
fn full_queue_rejects_the_latest_objective_of_the_longest_queue_or_the_earliest_late_message() {
    let settings = Settings { max_pending_messages: Some(6), max_in_flight: Some(1), ..settings() };
    let endpoints = [listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)];
    let mut test = PolicyTest::new(settings, &endpoints);
    test.complete_with_retry_after(1, 9, ms(10_000));
    test.complete_with_retry_after(2, 8, ms(10_000));
    for (name, destination) in [("a", 9), ("b", 9), ("c", 9), ("d", 8), ("e", 8)] {
        test.submit(name, IDEMPOTENT, destination);
        test.advance(ms(10));
    }
    assert!(
        test.run_after(ms(0)).is_empty(),
        "expected no rejection while capacity for one more message is left"
    );
    test.submit("f", IDEMPOTENT, 8);
    let commands = test.run_after(ms(0));
    assert_eq!(
        finished(&commands),
        ["f"],
        "expected the latest objective of two equally long queues to be rejected"
    );
    test.advance(ms(2_500));
    test.submit("g", IDEMPOTENT, 9);
    assert_eq!(
        finished(&test.run_after(ms(0))),
        ["a"],
        "expected the rejection of the message that is late by the longest time"
    );
}
