//! Stories of long backlogs, long lists and odd clocks: what the indices over held messages have to bear. In debug
//! builds the delivery policy compares each index with a full walk as it goes.

mod fake;

use fake::*;
use reeddock::*;

const ONE: &[(u32, u64, &str)] = &[(1, 9, "shared")];

/// Room for a thousand messages and more.
fn roomy(endpoints: &[(u32, u64, &str)]) -> Story {
    let mut story = Story::new(Settings { capacity: Some(100_000), ..settings() });
    story.list(true, endpoints, EndpointState::Active);
    story
}

/// Hands so many notes in for a destination.
fn hand_in_many(story: &mut Story, count: usize, destination: u64) {
    for n in 0..count {
        story.submit(&format!("e{n:04}"), "note", destination);
    }
}

fn ended(asked: &[Asked]) -> Vec<&str> {
    let name = |a| match a {
        &Asked::Shed(ref name, _) | &Asked::BrokenOff(ref name) => Some(name.as_str()),
        _ => None,
    };
    asked.iter().filter_map(name).collect()
}

/// Has a call to a destination answered, with a wait for those that follow.
fn wait(story: &mut Story, endpoint: u32, destination: u64, span: u64) {
    let name = format!("answered {endpoint}");
    story.submit(&name, "note", destination);
    assert_eq!(story.sent_after(ms(0)), [name.as_str()]);
    story.policy.retry_after_received(story.now, EndpointId(endpoint), ms(span));
    story.ends(&name, 0, AttemptOutcome::Completed);
}

#[test]
fn a_target_that_goes_with_a_thousand_held_leaves_each_its_one_answer() {
    let mut story = roomy(ONE);
    hand_in_many(&mut story, 1000, 9);
    let out = story.sent_after(ms(0));
    assert_eq!(out.len(), 8, "as many as there are slots");
    story.list(false, ONE, EndpointState::Removed);
    assert!(story.after(ms(10_000)).is_empty(), "held for a target that may come");
    for name in &out {
        story.ends(name, 0, AttemptOutcome::NoConnection);
    }
    let asked = story.after(ms(10_000));
    let mut names = ended(&asked);
    assert_eq!(names.len(), 1000);
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 1000, "one answer each");
    assert!((story.policy.state_size().messages == 0));
}

#[test]
fn a_target_that_comes_back_finds_what_was_held_for_it() {
    let mut story = Story::with(ONE);
    story.list(false, ONE, EndpointState::Removed);
    hand_in_many(&mut story, 40, 9);
    assert!(story.sent_after(ms(100)).is_empty());
    story.list(false, ONE, EndpointState::Active);
    assert_eq!(story.sent_after(ms(0)).len(), 8);
}

#[test]
fn a_clock_that_jumps_an_hour_ends_all_that_is_held_in_the_order_in_which_it_was_held() {
    let mut story = roomy(ONE);
    wait(&mut story, 1, 9, 5000);
    hand_in_many(&mut story, 300, 9);
    assert!(story.after(ms(10)).is_empty());
    let asked = story.after(ms(3_600_000));
    let sent = asked.iter().filter(|a| matches!(a, Asked::Sent(..))).count();
    let names = ended(&asked);
    assert_eq!(names.len() + sent, 300);
    assert!(names.is_sorted(), "equal limits end in the order of holding: {names:?}");
}

#[test]
fn what_cannot_outlast_a_told_wait_is_answered_when_the_wait_is_told() {
    let mut story = roomy(ONE);
    hand_in_many(&mut story, 20, 9);
    assert_eq!(story.sent_after(ms(0)).len(), 8);
    story.policy.retry_after_received(story.now, EndpointId(1), ms(30_000));
    let asked = story.after(ms(0));
    assert_eq!(ended(&asked).len(), 12, "their limit of 20 s is over before the wait is");
    // One that comes while the wait holds fares alike.
    story.submit("late", "note", 9);
    assert_eq!(ended(&story.after(ms(0))), ["late"]);
}

#[test]
fn a_whole_list_may_drop_ten_thousand_targets_at_once() {
    let endpoints: Vec<(u32, u64, &str)> = (0..10_000).map(|n| (n, u64::from(n), "shared")).collect();
    let mut story = roomy(&endpoints);
    wait(&mut story, 5000, 5000, 10_000);
    story.submit("a", "note", 5000);
    assert!(story.after(ms(0)).is_empty());
    story.policy.begin_endpoint_list(true);
    let dropped = story.policy.finish_endpoint_list();
    assert_eq!(dropped.len(), 10_000);
    let (mut forgotten, mut turns) = (0, 0);
    while forgotten < 10_000 {
        story.after(if turns == 0 { ms(0) } else { ms(30_000) });
        let in_this_turn = story.policy.take_removed_endpoints().len();
        assert!(in_this_turn <= 1_000, "{in_this_turn} in one turn");
        forgotten += in_this_turn;
        turns += 1;
        assert!(turns < 20, "{forgotten} forgotten");
    }
    assert!((story.policy.state_size().endpoints == 0) && (story.policy.state_size().messages == 0));
}

#[test]
fn of_two_whole_lists_in_a_row_the_second_holds() {
    let mut story = roomy(&[(1, 9, "shared"), (2, 8, "shared")]);
    let tell = |story: &mut Story, endpoint: u32, destination: u64| {
        let (endpoint, destination) = (EndpointId(endpoint), DestinationId(destination));
        let state = EndpointState::Active;
        story.policy.update_endpoint(EndpointUpdate {
            endpoint,
            destination,
            state,
            weight: None,
            zone: "z",
            kind: "shared",
        });
    };
    // The first is begun and never ends.
    story.policy.begin_endpoint_list(true);
    tell(&mut story, 1, 9);
    story.policy.begin_endpoint_list(true);
    tell(&mut story, 2, 8);
    assert_eq!(story.policy.finish_endpoint_list(), [EndpointId(1)]);
    story.submit("nine", "note", 9);
    story.submit("eight", "note", 8);
    assert_eq!(story.sent_after(ms(0)), ["eight"]);
    // One that breaks off takes nothing along.
    story.policy.begin_endpoint_list(true);
    story.policy.abort_endpoint_list();
    assert!(story.policy.finish_endpoint_list().is_empty());
    story.submit("again", "note", 8);
    assert_eq!(story.sent_after(ms(0)), ["again"]);
}

#[test]
fn events_wake_a_destination_that_waits_and_time_alone_does_at_the_end_of_its_wait() {
    let mut story = roomy(ONE);
    wait(&mut story, 1, 9, 4000);
    hand_in_many(&mut story, 1, 9);
    assert!(story.sent_after(ms(0)).is_empty());
    assert_eq!(story.host.wakes.last(), Some(&ms(4000)), "asked for once, for the end of the wait");
    assert!(story.sent_after(ms(3900)).is_empty());
    // Another endpoint of the destination can be called now.
    story.list(false, &[(2, 9, "apart")], EndpointState::Active);
    assert_eq!(story.sent_after(ms(0)), ["e0000"]);
    story.ends("e0000", 0, AttemptOutcome::Rejected { retry_after: Some(ms(1000)) });
    assert!(story.sent_after(ms(50)).is_empty(), "both wait");
    assert_eq!(story.sent_after(ms(100)), ["e0000"], "the first wait is over");
}

#[test]
fn behind_the_first_of_a_key_a_thousand_wait_and_follow_in_order() {
    let mut story = roomy(ONE);
    for n in 0..1000 {
        story.hand_in_key(&format!("e{n:04}"), "line", 9, Some(OrderingKey(7)));
    }
    story.submit("free", "note", 9);
    let mut sent = story.sent_after(ms(0));
    sent.sort();
    assert_eq!(sent, ["e0000", "free"]);
    // The first one ends with an answer, the second is withdrawn while it is blocked, the third goes.
    story.policy.withdraw(&id("e0001"), &mut story.host);
    story.ends("e0000", 0, AttemptOutcome::Completed);
    assert_eq!(story.sent_after(ms(10)), ["e0002"]);
    // An unsure end rests the key; the same one may go again.
    story.ends("e0002", 0, AttemptOutcome::TimedOut);
    assert_eq!(story.policy.message_progress(&id("e0002")).unwrap().attempts, 1);
    let next = story.sent_after(ms(1500));
    assert!(next.iter().all(|name| name == "e0002"), "{next:?}");
}

#[test]
fn a_full_room_gives_up_the_last_promised_of_the_longest_line_and_of_late_ones_the_first() {
    let mut story = Story::new(Settings { capacity: Some(6), max_in_flight: Some(1), ..settings() });
    story.list(true, &[(1, 9, "shared"), (2, 8, "shared")], EndpointState::Active);
    wait(&mut story, 1, 9, 10_000);
    wait(&mut story, 2, 8, 10_000);
    for (name, destination) in [("a", 9), ("b", 9), ("c", 9), ("d", 8), ("e", 8)] {
        story.submit(name, "note", destination);
        story.now += ms(10);
    }
    assert!(story.after(ms(0)).is_empty(), "one place is left");
    story.submit("f", "note", 8);
    assert_eq!(ended(&story.after(ms(0))), ["f"], "of equal lines the one with the later promise");
    story.now += ms(2_500);
    story.submit("g", "note", 9);
    assert_eq!(ended(&story.after(ms(0))), ["a"], "late by most");
}

#[test]
fn circuits_that_were_not_used_for_ten_outer_limits_are_forgotten() {
    let endpoints: Vec<(u32, u64, &str)> = (0..500).map(|n| (n, u64::from(n), "shared")).collect();
    let mut story = roomy(&endpoints);
    for n in 0..500 {
        let name = format!("e{n:04}");
        story.submit(&name, "note", n);
        assert_eq!(story.sent_after(ms(100)), [name.as_str()]);
        story.ends(&name, 0, AttemptOutcome::Completed);
    }
    story.after(ms(0));
    assert_eq!(story.policy.state_size().circuits, 500);
    story.submit("kept", "note", 0);
    assert_eq!(story.sent_after(ms(100_000)), ["kept"]);
    story.ends("kept", 0, AttemptOutcome::Completed);
    story.after(ms(150_000));
    assert_eq!(story.policy.state_size().circuits, 1, "that which was used since");
    story.submit("again", "note", 3);
    assert_eq!(story.sent_after(ms(0)), ["again"]);
}
