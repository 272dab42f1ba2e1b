//! How forwarders that share an endpoint with many others keep to their fair share of it.

use reeddock::*;

use crate::support::*;

const OWN: &[ListedEndpoint] = &[listed(1, 9, OWN_CIRCUIT)];

/// How many requests of a fleet return to an endpoint in each second, after each forwarder was rejected once at
/// the same moment. The endpoint is listed with 6 requests a second.
fn started_after_common_rejection(outcome: AttemptOutcome) -> Vec<usize> {
    let mut fleet = fleet(30, OWN);
    fleet.iter_mut().for_each(|member| member.submit("a", IDEMPOTENT, 9));
    // Within a time slot of each.
    let started: usize = (0..50)
        .flat_map(|_| fleet.iter_mut().map(|member| member.started_after(ms(80)).len()).collect::<Vec<_>>())
        .sum();
    assert_eq!(started, 30);
    fleet.iter_mut().for_each(|member| member.finish_attempt("a", 0, outcome));
    (0..15).map(|_| fleet.iter_mut().map(|member| member.started_after(ms(1000)).len()).sum()).collect()
}

#[test]
fn retries_of_a_fleet_after_a_common_rejection_or_retry_after_are_spread() {
    for outcome in [
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::Rejected { retry_after: Some(ms(1500)) },
    ] {
        let started = started_after_common_rejection(outcome);
        let most = started.windows(3).map(|span| span.iter().sum::<usize>()).max().unwrap();
        assert!(most <= 18 + 4, "within 3 s {most} requests came to an endpoint that takes 18: {started:?}");
        assert!(started.iter().sum::<usize>() >= 25, "most were retried while there was time: {started:?}");
    }
}

/// The pacing interval, in seconds, after a rejection of one of so many messages that came together.
fn pacing_interval_with_recent(messages: u64) -> f64 {
    let mut test = small_share_of(OWN);
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
fn forwarder_that_takes_over_the_traffic_of_others_has_their_share_of_an_endpoint() {
    let (usual, busy) = (pacing_interval_with_recent(1), pacing_interval_with_recent(12));
    assert!(usual >= 10.0 && busy < 2.0, "{usual} s and {busy} s between requests");
}

/// How many requests a fleet of 60 sends in each second to an endpoint that is listed with 6 a second, after
/// a message has come to all of them at once.
fn started_after_burst() -> Vec<usize> {
    let mut fleet = fleet(60, OWN);
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
fn burst_to_a_whole_fleet_meets_the_listed_rate() {
    let started = started_after_burst();
    // The time slots that are open, three in ten, are used at once; sixty would be ten seconds of the endpoint.
    let most = started[1..].iter().max().unwrap();
    assert!(started[0] <= 18 + 12 && *most <= 12, "an endpoint that takes 6 a second: {started:?}");
    assert_eq!(
        started[..10].iter().sum::<usize>(),
        60,
        "nor does one wait longer than a time slot: {started:?}"
    );
}

/// How many of so many messages, evenly spread over a minute, a fleet's member starts in that minute.
fn started_in_a_minute(messages: u64) -> usize {
    let mut test = small_share_of(OWN);
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
fn forwarder_with_several_times_the_mean_traffic_has_as_many_time_slots() {
    let (usual, busy) = (started_in_a_minute(3), started_in_a_minute(30));
    assert!((2..=4).contains(&usual) && busy >= 20, "{usual} of 3 and {busy} of 30 in a minute");
}

#[test]
fn fleet_delivers_also_where_the_listed_rate_is_nonsense() {
    for weight in [f64::MAX, 1e300, 1e-300, f64::MIN_POSITIVE, 0.0, -4.0, f64::NAN, f64::INFINITY] {
        let mut test = small_share_of(&[]);
        test.replace_endpoints(&[listed(1, 9, OWN_CIRCUIT).weight(Some(weight))]);
        test.submit("a", IDEMPOTENT, 9);
        let started = (0..199).find_map(|_| test.started_after(ms(100)).pop());
        assert_eq!(started.as_deref(), Some("a"), "listed with {weight}");
    }
}

#[test]
fn forwarder_sends_one_request_an_interval_after_a_rejection_also_while_one_is_in_flight() {
    let mut test = small_share_of(OWN);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, None);
    test.advance(ms(15_000));
    for name in ["b", "c"] {
        test.submit(name, IDEMPOTENT, 9);
    }
    let started: Vec<usize> = (0..190).map(|_| test.started_after(ms(100)).len()).collect();
    let first = started.iter().position(|count| *count > 0).unwrap();
    assert_eq!(started[first..(first + 100).min(190)].iter().sum::<usize>(), 1, "{started:?}");
}

#[test]
fn forwarder_does_not_wait_to_fill_batches_where_no_rate_applies() {
    let mut test = small_share_of(&[listed(1, 9, BATCH_OF_4)]);
    for n in 0..4 {
        let name = format!("e{n}");
        test.submit(&name, IDEMPOTENT, 9);
        assert_eq!(test.started_after(ms(500)), std::slice::from_ref(&name));
        test.complete_attempt(&name, 0);
    }
}

#[test]
fn pacing_interval_is_at_most_half_the_time_that_a_message_has() {
    let mut test = fleet_member(600, 0, OWN);
    test.submit("a", IDEMPOTENT, 9);
    test.run_after(ms(0));
    test.reject_attempt("a", 0, None);
    assert!(
        (0..150).any(|_| !test.started_after(ms(100)).is_empty()),
        "its fair share is a request in 100 s"
    );
}

#[test]
fn forwarder_fills_its_batches_where_a_rate_applies() {
    let mut test = small_share_of(&[listed(1, 9, OWN_CIRCUIT_BATCH_OF_10)]);
    test.submit("first", IDEMPOTENT, 9);
    assert_eq!(test.started_after(ms(0)), ["first"]);
    test.complete_attempt("first", 0);
    for n in 0..4 {
        test.submit(&format!("e{n}"), IDEMPOTENT, 9);
        assert!(test.started_after(ms(500)).is_empty(), "it has had its share of the requests");
    }
    assert_eq!(test.started_after(ms(13_100)).len(), 4);
}
