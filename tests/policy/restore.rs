//! Messages that were accepted before a restart.

use reeddock::*;

use crate::support::*;

/// Returns the commands after a message with one earlier attempt is restored.
fn restored_after_attempt(class: &str, proves_not_executed: bool, milliseconds_ago: u64) -> Vec<HostCommand> {
    let mut test = PolicyTest::with_endpoints(ONE_ENDPOINT);
    test.now = ms(20_000);
    test.submit("a", class, 9);
    let started_at = test.now - ms(milliseconds_ago);
    let attempt = PreviousAttempt { endpoint: EndpointId(1), started_at, proves_not_executed };
    test.restore("a", &[attempt]);
    test.run_after(ms(0))
}

fn starts_one_attempt(commands: Vec<HostCommand>) -> bool {
    matches!(&commands[..], [HostCommand::StartAttempt(_)])
}

#[test]
fn attempt_before_a_restart_counts_as_possibly_executed() {
    assert_eq!(restored_after_attempt(NON_IDEMPOTENT, false, 100), [fail("a")]);
    assert!(starts_one_attempt(restored_after_attempt(NON_IDEMPOTENT, true, 100)));
    assert!(starts_one_attempt(restored_after_attempt(IDEMPOTENT, false, 100)));
}

#[test]
fn message_with_an_idempotency_key_is_retried_after_a_restart_while_the_key_is_valid() {
    assert!(starts_one_attempt(restored_after_attempt(WITH_KEY, false, 100)));
    let expired = restored_after_attempt(WITH_KEY, false, 5000);
    assert_eq!(expired, [fail("a")], "expected a failure, because the idempotency key has expired");
}

#[test]
fn restored_message_is_sent_before_new_ones() {
    let mut test = PolicyTest::new(Settings { max_in_flight: Some(1), ..settings() }, ONE_ENDPOINT);
    test.now = ms(60_000);
    test.submit("new", IDEMPOTENT, 9);
    test.submit_with_deadline("restored", IDEMPOTENT, 9, test.now + ms(3000));
    test.restore("restored", &[]);
    assert_eq!(test.started_after(ms(0)), ["restored"]);
}

#[test]
fn restored_message_is_sent_in_about_the_first_half_of_its_remaining_time() {
    for seed in 0..20 {
        // The forwarder's fair share of the endpoint is one request in 50 s.
        let mut test = fleet_member(300, seed, ONE_ENDPOINT);
        test.now = ms(60_000);
        test.submit_with_deadline("restored", NON_IDEMPOTENT, 9, test.now + ms(8000));
        test.restore("restored", &[]);
        let started = (0..41).any(|_| test.started_after(ms(100)) == ["restored"]);
        assert!(started, "seed {seed}: expected an attempt within about half of the remaining time");
    }
}

#[test]
fn forwarders_that_restart_together_spread_their_restored_messages() {
    let mut fleet = fleet(60, &[listed(1, 9, OWN_CIRCUIT)]);
    for member in &mut fleet {
        for name in ["a", "b", "c"] {
            member.submit(name, IDEMPOTENT, 9);
            member.restore(name, &[]);
        }
    }
    let mut started_in =
        |span| fleet.iter_mut().map(|member| member.started_after(span).len()).sum::<usize>();
    let first = started_in(ms(1000));
    let rest = (0..10).map(|_| started_in(ms(1000))).sum::<usize>();
    assert!(
        first <= 12 && rest >= 30,
        "expected 12 or fewer of 180 messages in 1 s, and 30 or more in the next 10 s: {first}, {rest}"
    );
}
