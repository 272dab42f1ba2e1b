//! The parts that do no I/O, each by itself.

use std::time::Duration;

use reeddock_forwarder::clock::Clock;
use reeddock_forwarder::limits::{Allowance, Limits, RESERVE};
use reeddock_forwarder::passage::{Arrival, Departure};
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
            let mut arrival = Arrival::default();
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
        let mut departure = Departure::default();
        departure.begin(9);
        departure.gone(&request[..split]);
        assert!(!departure.complete(), "{split}");
        departure.gone(&request[split..]);
        assert!(departure.complete());
    }
    let mut empty = Departure::default();
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
            Limits::derive(Allowance { memory_bytes: 32_000_000, descriptors, disk_bytes: 3_000_000 });
        let taken = RESERVE.total() + limits.accepted + limits.lingering + limits.calls;
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
