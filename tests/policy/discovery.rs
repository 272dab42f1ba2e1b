//! Complete endpoint lists, lists of changes, and failed polls.

use reeddock::*;

use crate::support::*;

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.update_endpoints(ONE_ENDPOINT, EndpointState::Draining);
    test.submit("a", IDEMPOTENT, 9);
    assert!(test.started_after(ms(0)).is_empty());
}

#[test]
fn removed_endpoint_gets_no_new_requests_and_its_messages_fail_at_their_deadline() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.replace_endpoints(&[listed(2, 8, SHARED_CIRCUIT)]);
    test.submit("a", IDEMPOTENT, 9);
    assert!(test.started_after(ms(0)).is_empty());
    assert_eq!(
        test.run_after(ms(20_000)),
        [fail("a")],
        "expected a failure at the deadline without an active endpoint"
    );
}

#[test]
fn endpoint_that_becomes_active_again_gets_its_queued_messages() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.update_endpoints(ONE_ENDPOINT, EndpointState::Removed);
    test.submit_many(40, 9);
    assert!(test.started_after(ms(100)).is_empty());
    test.update_endpoints(ONE_ENDPOINT, EndpointState::Active);
    assert_eq!(test.started_after(ms(0)).len(), 8);
}

#[test]
fn records_of_replaced_endpoints_are_removed_after_a_delay() {
    let mut test = PolicyTest::with_endpoints(&[listed(0, 9, OWN_CIRCUIT), listed(0, 8, SHARED_CIRCUIT)]);
    for n in 1..200 {
        let name = format!("e{n}");
        test.update_endpoints(&[listed(n - 1, 9, OWN_CIRCUIT)], EndpointState::Removed);
        let replacement = [listed(n, 9, OWN_CIRCUIT), listed(1000 + n, 100 + u64::from(n), SHARED_CIRCUIT)];
        test.apply_endpoint_list(n % 2 == 0, &replacement, EndpointState::Active);
        assert!(
            test.policy.knows_destination(DestinationId(9)),
            "expected the destination to be kept while its endpoint is replaced"
        );
        test.submit(&name, IDEMPOTENT, 9);
        assert_eq!(test.started_after(ms(1000)), [name.as_str()]);
        test.complete_attempt(&name, 0);
    }
    assert!(test.policy.keeps_endpoint(EndpointId(190)));
    let size = test.policy.state_size();
    let kept = [size.endpoints, size.circuits, size.destinations];
    assert!(
        kept.iter().all(|kept| *kept < 80),
        "expected fewer than 80 records each of endpoints, circuits and destinations: {kept:?}"
    );
}

#[test]
fn removal_of_ten_thousand_endpoints_is_spread_over_runs_of_due_work() {
    let endpoints: Vec<ListedEndpoint> =
        (0..10_000).map(|n| listed(n, u64::from(n), SHARED_CIRCUIT)).collect();
    let mut test = PolicyTest::with_large_capacity(&endpoints);
    test.complete_with_retry_after(5000, 5000, ms(10_000));
    test.submit("a", IDEMPOTENT, 5000);
    assert!(test.run_after(ms(0)).is_empty());
    test.policy.begin_endpoint_list(true);
    let dropped = test.policy.finish_endpoint_list();
    assert_eq!(dropped.len(), 10_000);
    let (mut deleted, mut runs) = (0, 0);
    while deleted < 10_000 {
        test.run_after(if runs == 0 { ms(0) } else { ms(30_000) });
        let in_this_run = test.policy.take_removed_endpoints().len();
        assert!(
            in_this_run <= 1_000,
            "expected at most 1,000 removals in one run of due work, not {in_this_run}"
        );
        deleted += in_this_run;
        runs += 1;
        assert!(runs < 20, "{deleted} of 10,000 endpoints removed after {runs} runs");
    }
    let size = test.policy.state_size();
    assert!(size.endpoints == 0 && size.messages == 0);
}

#[test]
fn second_complete_list_replaces_an_unfinished_one_and_aborted_list_removes_nothing() {
    let mut test =
        PolicyTest::with_large_capacity(&[listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)]);
    // The first list is begun and never finished.
    test.policy.begin_endpoint_list(true);
    test.update_endpoint(&listed(1, 9, SHARED_CIRCUIT).weight(None), EndpointState::Active);
    test.policy.begin_endpoint_list(true);
    test.update_endpoint(&listed(2, 8, SHARED_CIRCUIT).weight(None), EndpointState::Active);
    assert_eq!(test.policy.finish_endpoint_list(), [EndpointId(1)]);
    test.submit("nine", IDEMPOTENT, 9);
    test.submit("eight", IDEMPOTENT, 8);
    assert_eq!(test.started_after(ms(0)), ["eight"]);
    // An aborted list removes nothing.
    test.policy.begin_endpoint_list(true);
    test.policy.abort_endpoint_list();
    assert!(test.policy.finish_endpoint_list().is_empty());
    test.submit("again", IDEMPOTENT, 8);
    assert_eq!(test.started_after(ms(0)), ["again"]);
}

#[test]
fn failed_polls_of_the_endpoint_list_are_repeated_with_backoff() {
    let settings = Settings { max_poll_interval: Some(ms(10_000)), ..settings() };
    let mut test = PolicyTest::without_endpoint_list(settings);
    test.run_after(ms(0));
    let mut polled = Vec::new();
    test.policy.discovery_failed(test.now);
    for n in 0..600 {
        if test.run_after(ms(100)).contains(&HostCommand::WatchEndpointList) {
            polled.push(n);
            test.policy.discovery_failed(test.now);
        }
    }
    assert!(
        (5..=12).contains(&polled.len()),
        "expected 5 to 12 polls in a minute: after {polled:?} tenths of a second"
    );
    assert!(
        polled[0] >= 4,
        "expected no poll within 0.4 s of the first failure: {polled:?} tenths of a second"
    );
    test.replace_endpoints(ONE_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    assert_eq!(test.started_after(ms(0)), ["a"]);
}

/// Guards against sending by an outdated list: its addresses may belong to other destinations by now.
#[test]
fn requests_wait_until_discovery_confirms_the_list() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.policy.await_list_confirmation(test.now);
    test.submit("a", IDEMPOTENT, 9);
    assert!(test.started_after(ms(0)).is_empty());
    assert!(test.started_after(ms(900)).is_empty());
    test.policy.confirm_endpoint_list();
    assert_eq!(test.started_after(ms(0)), ["a"]);
    // A list of changes confirms the rest of the list.
    test.policy.await_list_confirmation(test.now);
    test.submit("b", IDEMPOTENT, 9);
    assert!(test.started_after(ms(0)).is_empty());
    test.update_endpoints(&[listed(2, 8, SHARED_CIRCUIT)], EndpointState::Active);
    assert_eq!(test.started_after(ms(0)), ["b"]);
}

/// Guards against an outage of deliveries while discovery is unavailable.
#[test]
fn requests_are_sent_by_an_unconfirmed_list_after_a_second() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.policy.await_list_confirmation(test.now);
    test.submit("a", IDEMPOTENT, 9);
    assert!(test.started_after(ms(0)).is_empty());
    assert_eq!(test.host.timers.last(), Some(&ms(1000)), "expected a timer for the end of the wait");
    assert!(test.started_after(ms(999)).is_empty());
    assert_eq!(test.started_after(ms(1)), ["a"]);
}

#[test]
fn incomplete_full_list_confirms_only_the_endpoints_that_it_has_named() {
    let mut test = PolicyTest::with_endpoints(&[listed(1, 9, SHARED_CIRCUIT), listed(2, 8, SHARED_CIRCUIT)]);
    test.policy.begin_endpoint_list(true);
    test.policy.await_list_confirmation(test.now);
    test.submit("nine", IDEMPOTENT, 9);
    test.submit("eight", IDEMPOTENT, 8);
    assert!(test.started_after(ms(0)).is_empty());
    test.update_endpoint(&listed(2, 8, SHARED_CIRCUIT), EndpointState::Active);
    assert_eq!(test.started_after(ms(0)), ["eight"]);
    test.update_endpoint(&listed(1, 9, SHARED_CIRCUIT), EndpointState::Active);
    assert_eq!(test.started_after(ms(0)), ["nine"]);
}

#[test]
fn message_that_waits_for_the_confirmation_gets_its_final_answer_at_its_deadline() {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.policy.await_list_confirmation(test.now);
    test.submit_with_deadline("a", IDEMPOTENT, 9, test.now + ms(400));
    let commands = [test.run_after(ms(0)), test.run_after(ms(400))].concat();
    assert_eq!(finished(&commands), ["a"]);
}
