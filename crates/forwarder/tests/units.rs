//! The parts that do no I/O, each by itself.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock_forwarder::clock::Clock;
use reeddock_forwarder::endpoints::{Place, PlaceChange, TargetTable};
use reeddock_forwarder::http_progress::{RequestProgress, StatusLine};
use reeddock_forwarder::limits::{Limits, ResourceLimits, RESERVE};
use reeddock_forwarder::malformed_list::{MalformedList, BYTES_A_SECOND, LONGEST_REST};
use tokio::time::Instant;

#[test]
fn the_first_line_is_kept_whatever_follows_and_however_it_comes() {
    for (answer, ok) in [
        ("HTTP/1.1 200 OK\r\n\0\x01", true),
        ("HTTP/1.1 200\r\n", true),
        ("HTTP/1.1 100 Continue\r\na: b\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.0 200 OK\r\nx", true),
        ("HTTP/1.1 103 Early\r\nl: HTTP/1.1 200 OK\r\n", false),
        ("HTTP/1.1 200 OK", false),
        ("HTTP/1.1 2000 OK\r\n", false),
        ("HTTP/1.1 503 no\r\nHTTP/1.1 200 OK\r\n", false),
        ("noise\r\nHTTP/1.1 200 OK\r\n", false),
    ] {
        for split in 0..answer.len() {
            let mut arrival = StatusLine::default();
            arrival.come(&answer.as_bytes()[..split]);
            arrival.come(&answer.as_bytes()[split..]);
            assert_eq!(arrival.says_ok(), ok, "{answer:?} {split}");
        }
    }
}

#[test]
fn a_call_has_left_with_the_last_byte_of_its_body_and_not_before() {
    let request = b"POST / HTTP/1.1\r\na: \r\r\n\r\n12345\r\n\r\n";
    for split in 0..request.len() {
        let mut departure = RequestProgress::default();
        departure.begin(9);
        departure.gone(&request[..split]);
        assert!(!departure.complete(), "{split}");
        departure.gone(&request[split..]);
        assert!(departure.complete());
    }
    let mut empty = RequestProgress::default();
    empty.begin(0);
    empty.gone(b"POST / HTTP/1.1\r\n\r");
    assert!(!empty.complete());
    empty.gone(b"\n");
    assert!(empty.complete());
}

#[test]
fn what_is_kept_back_and_all_shares_fit_into_the_descriptors() {
    for descriptors in 64..=1024 {
        let limits =
            Limits::derive(ResourceLimits { memory_bytes: 32_000_000, descriptors, disk_bytes: 3_000_000 });
        let taken = RESERVE.total() + limits.accepted + limits.lingering + limits.requests;
        assert_eq!(taken, descriptors);
        assert!(limits.clients < limits.accepted, "some are told that there is no room");
    }
}

#[test]
fn what_was_stored_is_read_as_the_same_time_and_the_grid_is_kept() {
    let clock = Clock::start();
    let before = clock.now() - Duration::from_secs(60);
    let read = clock.read(clock.stored(before));
    assert!(before - read < Duration::from_micros(2), "{before:?} {read:?}");
    let width = Duration::from_millis(5);
    // Spans begin a whole number of widths before the start.
    let next = clock.at(clock.next(width));
    assert_eq!(next.as_nanos() % width.as_nanos(), 0);
    assert!(clock.next(Duration::ZERO) <= Instant::now());
}

#[test]
fn a_list_that_cannot_be_read_rests_by_its_bytes() {
    let table = [
        (0, 0),
        (1600, 97),
        (16 * 1024, 1000),
        (1024 * 1024, 64_000),
        (28 * 1024 * 1024, 1_792_000),
        (50_000_000, 1_800_000),
        (u64::MAX, 1_800_000),
    ];
    for (bytes, millis) in table {
        let list = MalformedList { fault: "x".into(), bytes };
        let mean = Duration::from_millis(millis);
        assert_eq!(list.rest(0.5), mean, "{bytes}");
        assert_eq!((list.rest(0.0), list.rest(1.0)), (mean / 2, mean + mean / 2), "{bytes}");
        assert_eq!(list.rest(f64::INFINITY), list.rest(1.0));
        // On average no more bytes a second than these, as far as a mended list may wait.
        let cost = bytes as f64 / list.rest(0.5).as_secs_f64();
        assert!(
            list.rest(0.5) >= LONGEST_REST || bytes < 2000 || cost <= BYTES_A_SECOND as f64 * 1.01,
            "{bytes}"
        );
    }
}

#[test]
fn targets_are_numbered_once_and_a_forgotten_one_gets_another_number() {
    let mut table = TargetTable::default();
    let place = |port| Place { address: SocketAddr::from(([10, 0, 0, 1], port)), batch: 4 };
    let long = "a name that does not fit into the row itself";
    let ids: Vec<_> = (0..1000).map(|n| table.number(&format!("{long}-{n}"))).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(table.number(&format!("{long}-{n}")), *id);
        assert_eq!((table.get(*id), table.name(*id)), (None, Some(format!("{long}-{n}").as_str())));
        assert_eq!(table.place(*id, place(n as u16)), PlaceChange::New);
    }
    assert_eq!(table.placed(), 1000);
    for id in ids.iter().step_by(2) {
        table.forget(*id);
        table.forget(*id);
        assert_eq!((table.get(*id), table.name(*id)), (None, None));
        assert_eq!(table.place(*id, place(1)), PlaceChange::Same, "nothing is known of it");
    }
    assert_eq!(table.placed(), 500);
    for (n, id) in ids.iter().enumerate() {
        let again = table.number(&format!("{long}-{n}"));
        assert_eq!(again == *id, n % 2 == 1, "{n}");
        assert!(again == *id || !ids.contains(&again));
    }
    let kept = ids[1];
    assert_eq!(table.get(kept), Some(place(1)));
    assert_eq!(table.place(kept, place(1)), PlaceChange::Same);
    let six = Place { address: "[::1]:9".parse().unwrap(), batch: 1 };
    assert_eq!((table.place(kept, six), table.get(kept)), (PlaceChange::Moved, Some(six)));
    table.forget(kept);
    assert_eq!(table.placed(), 499);
}
