//! Pacing of forwarders that share an endpoint with many others.

use reeddock::*;

use crate::support::*;

const OWN_CIRCUIT_ENDPOINT: &[ListedEndpoint] = &[listed(1, 9, OWN_CIRCUIT)];

/// Returns how many requests a fleet sends to an endpoint in each second after each forwarder was rejected
/// once at the same time. The endpoint is listed with 6 requests a second.
fn started_after_common_rejection(outcome: AttemptOutcome) -> Vec<usize> {
    let mut fleet = fleet(30, OWN_CIRCUIT_ENDPOINT);
    fleet.iter_mut().for_each(|member| member.submit("a", IDEMPOTENT, 9));
    // The span covers a time slot of each forwarder.
    let started: usize = (0..50)
        .flat_map(|_| fleet.iter_mut().map(|member| member.started_after(ms(80)).len()).collect::<Vec<_>>())
        .sum();
    assert_eq!(started, 30);
    fleet.iter_mut().for_each(|member| member.finish_attempt("a", 0, outcome));
    (0..15).map(|_| fleet.iter_mut().map(|member| member.started_after(ms(1000)).len()).sum()).collect()
}

#[test]
fn fleet_spreads_its_retries_after_a_common_rejection_or_retry_after() {
    for outcome in [
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::Rejected { retry_after: Some(ms(1500)) },
    ] {
        let started = started_after_common_rejection(outcome);
        let most = started.windows(3).map(|span| span.iter().sum::<usize>()).max().unwrap();
        // The endpoint accepts 18 requests within 3 s.
        assert!(most <= 18 + 4, "expected at most 22 requests within 3 s, not {most}: {started:?}");
        assert!(
            started.iter().sum::<usize>() >= 25,
            "expected 25 or more retries before the deadline: {started:?}"
        );
    }
}

/// Returns the pacing interval, in seconds, after a rejection of one of `messages` messages submitted
/// together.
fn pacing_interval_with_recent(messages: u64) -> f64 {
    let mut test = fleet_member_of_60(OWN_CIRCUIT_ENDPOINT);
    test.submit("early", IDEMPOTENT, 9);
    assert!((0..100).any(|_| test.started_after(ms(100)).len() == 1));
    test.complete_attempt("early", 0);
    test.advance(ms(60_000));
    (0..messages).for_each(|n| test.submit(&format!("e{n}"), IDEMPOTENT, 9));
    let started = (0..100).find_map(|_| test.started_after(ms(100)).pop()).unwrap();
    test.reject_attempt(&started, 0, None);
    let first_interval = test.policy.pacing_intervals_seconds().next();
    first_interval.unwrap()
}

#[test]
fn fair_share_grows_with_traffic_taken_over_from_other_forwarders() {
    let (usual, busy) = (pacing_interval_with_recent(1), pacing_interval_with_recent(12));
    assert!(
        usual >= 10.0 && busy < 2.0,
        "expected pacing intervals from 10 s and below 2 s, not {usual} s and {busy} s"
    );
}

/// Returns how many requests a fleet of 60 sends in each second to an endpoint that is listed with 6 requests
/// a second, after each forwarder got a message at the same time.
fn started_after_burst() -> Vec<usize> {
    let mut fleet = fleet(60, OWN_CIRCUIT_ENDPOINT);
    for member in &mut fleet {
        member.advance(ms(30_000));
        member.submit("a", IDEMPOTENT, 9);
    }
    let mut started_in_second = || -> usize {
        let mut started = 0;
        for _ in 0..10 {
            for member in &mut fleet {
                for name in member.started_after(ms(100)) {
                    started += 1;
                    member.complete_attempt(&name, 0);
                }
            }
        }
        started
    };
    (0..16).map(|_| started_in_second()).collect()
}

#[test]
fn burst_to_a_whole_fleet_is_spread_to_the_listed_rate() {
    let started = started_after_burst();
    // About three in ten time slots are open at first and used at once. All 60 messages are ten seconds of
    // the listed rate.
    let most = started[1..].iter().max().unwrap();
    assert!(
        started[0] <= 18 + 12 && *most <= 12,
        "expected at most 30 requests in the first second and 12 in each later one: {started:?}"
    );
    assert_eq!(
        started[..10].iter().sum::<usize>(),
        60,
        "expected all messages to be sent within the length of a time slot, 10 s: {started:?}"
    );
}

/// Returns how many of `messages` messages, spread evenly over a minute, one forwarder of a fleet starts in
/// that minute.
fn started_in_a_minute(messages: u64) -> usize {
    let mut test = fleet_member_of_60(OWN_CIRCUIT_ENDPOINT);
    let mut started = 0;
    for n in 0..600 {
        test.advance(ms(50));
        if n % (600 / messages) == 0 {
            test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        }
        for name in test.started_after(ms(50)) {
            started += 1;
            test.complete_attempt(&name, 0);
        }
    }
    started
}

#[test]
fn forwarder_with_several_times_the_mean_traffic_has_several_times_the_time_slots() {
    let (usual, busy) = (started_in_a_minute(3), started_in_a_minute(30));
    assert!(
        (2..=4).contains(&usual) && busy >= 20,
        "expected 2 to 4 of 3 messages and 20 or more of 30 in a minute, not {usual} and {busy}"
    );
}

#[test]
fn message_is_sent_although_the_listed_rate_is_invalid() {
    for weight in [f64::MAX, 1e300, 1e-300, f64::MIN_POSITIVE, 0.0, -4.0, f64::NAN, f64::INFINITY] {
        let mut test = fleet_member_of_60(&[]);
        test.replace_endpoints(&[listed(1, 9, OWN_CIRCUIT).weight(Some(weight))]);
        test.submit("a", IDEMPOTENT, 9);
        let started = (0..199).find_map(|_| test.started_after(ms(100)).pop());
        assert_eq!(
            started.as_deref(),
            Some("a"),
            "expected an attempt although the listed weight is {weight}"
        );
    }
}

#[test]
fn forwarder_sends_one_request_per_interval_after_a_rejection_while_one_is_in_flight() {
    let mut test = fleet_member_of_60(OWN_CIRCUIT_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, None);
    test.advance(ms(15_000));
    for name in ["b", "c"] {
        test.submit(name, IDEMPOTENT, 9);
    }
    let started: Vec<usize> = (0..190).map(|_| test.started_after(ms(100)).len()).collect();
    let first = started.iter().position(|count| *count > 0).unwrap();
    assert_eq!(
        started[first..(first + 100).min(190)].iter().sum::<usize>(),
        1,
        "expected one attempt in the 10 s from the first; attempts per tenth of a second: {started:?}"
    );
}

#[test]
fn message_does_not_wait_for_a_full_batch_without_time_slots() {
    let mut test = fleet_member_of_60(&[listed(1, 9, BATCH_OF_4)]);
    for n in 0..4 {
        let name = format!("e{n}");
        test.submit(&name, IDEMPOTENT, 9);
        assert_eq!(test.started_after(ms(500)), std::slice::from_ref(&name));
        test.complete_attempt(&name, 0);
    }
}

#[test]
fn pacing_interval_is_at_most_half_the_deadline_of_a_message() {
    let mut test = fleet_member(600, 0, OWN_CIRCUIT_ENDPOINT);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, None);
    assert!(
        (0..150).any(|_| !test.started_after(ms(100)).is_empty()),
        "expected a retry within 15 s, although the fair share is one request in 100 s"
    );
}

#[test]
fn messages_that_wait_for_a_time_slot_are_sent_as_a_batch() {
    let mut test = fleet_member_of_60(&[listed(1, 9, OWN_CIRCUIT_BATCH_OF_10)]);
    test.submit("first", IDEMPOTENT, 9);
    assert_eq!(test.started_after(ms(0)), ["first"]);
    test.complete_attempt("first", 0);
    for n in 0..4 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        assert!(test.started_after(ms(500)).is_empty(), "expected no request before the next time slot");
    }
    assert_eq!(test.started_after(ms(13_100)).len(), 4);
}
