//! Final answers to messages that can no longer be delivered in time.

use reeddock::*;

use crate::circuit_breaker::with_open_circuit;
use crate::support::*;

#[test]
fn message_that_was_not_executed_is_rejected_once_no_response_can_arrive_in_time() {
    let mut test = with_open_circuit();
    let commands = (0..4000).flat_map(|_| test.run_after(ms(5)));
    let answers: Vec<HostCommand> =
        commands.filter(|command| !matches!(command, HostCommand::StartAttempt(_))).collect();
    // The third message is the half-open trial and may have been executed.
    let rejected =
        |command: &&HostCommand| matches!(command, HostCommand::Reject { retry_after: Some(_), .. });
    assert_eq!(
        answers.iter().filter(rejected).count(),
        2,
        "expected two rejections with a Retry-After: {answers:?}"
    );
}

#[test]
fn each_of_a_thousand_queued_messages_gets_one_answer_after_its_endpoint_is_removed() {
    let mut test = PolicyTest::with_large_capacity(ONE_ENDPOINT);
    test.submit_many(1000, 9);
    let started = test.started_after(ms(0));
    assert_eq!(started.len(), 8, "expected requests up to the limit of requests in flight");
    test.update_endpoints(ONE_ENDPOINT, EndpointState::Removed);
    assert!(
        test.run_after(ms(10_000)).is_empty(),
        "expected messages to stay queued, because the endpoint may become active again"
    );
    for name in &started {
        test.finish_attempt(name, 0, AttemptOutcome::NoConnection);
    }
    let commands = test.run_after(ms(10_000));
    let mut names = finished(&commands);
    assert_eq!(names.len(), 1000);
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 1000, "expected one answer for each message");
    assert!(test.policy.state_size().messages == 0);
}

#[test]
fn clock_jump_of_an_hour_expires_queued_messages_in_queueing_order() {
    let mut test = PolicyTest::with_large_capacity(ONE_ENDPOINT);
    test.complete_with_retry_after(1, 9, ms(5000));
    test.submit_many(300, 9);
    assert!(test.run_after(ms(10)).is_empty());
    let commands = test.run_after(ms(3_600_000));
    let started = commands.iter().filter(|command| matches!(command, HostCommand::StartAttempt(_))).count();
    let names = finished(&commands);
    assert_eq!(names.len() + started, 300);
    assert!(
        names.is_sorted(),
        "expected messages with equal deadlines to expire in queueing order: {names:?}"
    );
}
