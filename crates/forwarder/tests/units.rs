//! The parts of the forwarder that do no I/O, each by itself.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::EndpointId;
use reeddock_forwarder::clock::Clock;
use reeddock_forwarder::endpoints::{EndpointLocation, EndpointTable, LocationChange};
use reeddock_forwarder::http_progress::{RequestProgress, StatusLine};
use reeddock_forwarder::idle_permits::IdlePermits;
use reeddock_forwarder::limits::{Limits, ResourceLimits, DESCRIPTOR_RESERVE};
use reeddock_forwarder::malformed_list::{MalformedList, MAX_MEAN_BACKOFF, MAX_MEAN_BYTES_PER_SECOND};
use tokio::time::Instant;

#[test]
fn a_status_line_is_read_whatever_follows_it_and_however_it_is_split() {
    for (response, ok) in [
        ("HTTP/1.1 200 OK\r\n\0\x01", true),
        ("HTTP/1.1 200\r\n", true),
        ("HTTP/1.1 100 Continue\r\na: b\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.0 200 OK\r\nx", true),
        ("HTTP/1.1 103 Early\r\nl: HTTP/1.1 200 OK\r\n", false),
        ("HTTP/1.1 200 OK", false),
        ("HTTP/1.1 2000 OK\r\n", false),
        ("HTTP/1.1 503 no\r\nHTTP/1.1 200 OK\r\n", false),
        ("noise\r\nHTTP/1.1 200 OK\r\n", false),
    ] {
        for split in 0..response.len() {
            let mut status_line = StatusLine::default();
            status_line.record_received(&response.as_bytes()[..split]);
            status_line.record_received(&response.as_bytes()[split..]);
            assert_eq!(status_line.is_ok(), ok, "{response:?} {split}");
        }
    }
}

#[test]
fn a_request_is_complete_with_the_last_byte_of_its_body_and_not_before() {
    let request = b"POST / HTTP/1.1\r\na: \r\r\n\r\n12345\r\n\r\n";
    for split in 0..request.len() {
        let mut progress = RequestProgress::default();
        progress.begin(9);
        progress.record_sent(&request[..split]);
        assert!(!progress.is_complete(), "{split}");
        progress.record_sent(&request[split..]);
        assert!(progress.is_complete());
    }
    let mut empty = RequestProgress::default();
    empty.begin(0);
    empty.record_sent(b"POST / HTTP/1.1\r\n\r");
    assert!(!empty.is_complete());
    empty.record_sent(b"\n");
    assert!(empty.is_complete());
}

#[test]
fn the_descriptor_reserve_and_all_limits_add_up_to_the_descriptors() {
    for descriptors in 64..=1024 {
        let limits =
            Limits::derive(ResourceLimits { memory_bytes: 32_000_000, descriptors, disk_bytes: 3_000_000 });
        let planned = DESCRIPTOR_RESERVE.total()
            + limits.accepted_clients
            + limits.lingering_clients
            + limits.endpoint_connections;
        assert_eq!(planned, descriptors);
        assert!(limits.served_clients < limits.accepted_clients, "some are accepted only to be refused");
    }
}

#[test]
fn a_stored_time_is_read_back_as_the_same_time() {
    let clock = Clock::start();
    let before = clock.now() - Duration::from_secs(60);
    let read = clock.from_unix_micros(clock.to_unix_micros(before));
    assert!(before - read < Duration::from_micros(2), "{before:?} {read:?}");
}

#[test]
fn the_next_tick_is_on_the_grid() {
    let clock = Clock::start();
    let width = Duration::from_millis(5);
    // Ticks are counted from a moment that lies a whole number of widths before the start.
    let next = clock.at(clock.next_tick(width));
    assert_eq!(next.as_nanos() % width.as_nanos(), 0);
    assert!(clock.next_tick(Duration::ZERO) <= Instant::now());
}

#[test]
fn a_malformed_list_rests_by_its_size() {
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
        assert_eq!(list.backoff(0.5), mean, "{bytes}");
        assert_eq!((list.backoff(0.0), list.backoff(1.0)), (mean / 2, mean + mean / 2), "{bytes}");
        assert_eq!(list.backoff(f64::INFINITY), list.backoff(1.0));
        // On average no more bytes a second than this, unless a corrected list would have to wait too long for it.
        let cost = bytes as f64 / list.backoff(0.5).as_secs_f64();
        assert!(
            list.backoff(0.5) >= MAX_MEAN_BACKOFF
                || bytes < 2000
                || cost <= MAX_MEAN_BYTES_PER_SECOND as f64 * 1.01,
            "{bytes}"
        );
    }
}

#[test]
fn endpoints_are_numbered_once_and_a_forgotten_one_gets_another_number() {
    let mut table = EndpointTable::default();
    let location = |port| EndpointLocation { address: SocketAddr::from(([10, 0, 0, 1], port)), max_batch: 4 };
    let long = "a name that does not fit into the row itself";
    let ids: Vec<_> = (0..1000).map(|n| table.id_for_name(&format!("{long}-{n}"))).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(table.id_for_name(&format!("{long}-{n}")), *id);
        assert_eq!((table.location(*id), table.name(*id)), (None, Some(format!("{long}-{n}").as_str())));
        assert_eq!(table.set_location(*id, location(n as u16)), LocationChange::New);
    }
    assert_eq!(table.located(), 1000);
    for id in ids.iter().step_by(2) {
        table.forget(*id);
        table.forget(*id);
        assert_eq!((table.location(*id), table.name(*id)), (None, None));
        assert_eq!(table.set_location(*id, location(1)), LocationChange::Same, "it is unknown now");
    }
    assert_eq!(table.located(), 500);
    for (n, id) in ids.iter().enumerate() {
        let again = table.id_for_name(&format!("{long}-{n}"));
        assert_eq!(again == *id, n % 2 == 1, "{n}");
        assert!(again == *id || !ids.contains(&again));
    }
    let kept = ids[1];
    assert_eq!(table.location(kept), Some(location(1)));
    assert_eq!(table.set_location(kept, location(1)), LocationChange::Same);
    let ipv6 = EndpointLocation { address: "[::1]:9".parse().unwrap(), max_batch: 1 };
    assert_eq!((table.set_location(kept, ipv6), table.location(kept)), (LocationChange::Moved, Some(ipv6)));
    table.forget(kept);
    assert_eq!(table.located(), 499);
}

#[test]
fn an_endpoint_kind_is_kept_idle_again_after_a_rest_and_forgotten_with_its_endpoints() {
    let now = Instant::now();
    let mut permits = IdlePermits::default();
    for (endpoint, kind) in [(1, "small"), (2, "small"), (3, "large")] {
        permits.endpoint_listed(EndpointId(endpoint), kind);
    }
    permits.connection_rejected(EndpointId(9), now);
    permits.connection_rejected(EndpointId(1), now);
    let allows_idle = |permits: &IdlePermits, after| {
        let then = now + Duration::from_millis(after);
        [1, 2, 3, 9].map(|endpoint| permits.allows_idle(EndpointId(endpoint), then))
    };
    assert_eq!(allows_idle(&permits, 29_000), [false, false, true, true]);
    assert_eq!(allows_idle(&permits, 30_000), [true; 4]);
    permits.forget(EndpointId(1));
    assert_eq!(allows_idle(&permits, 0), [true, false, true, true], "another of the kind is still listed");
    permits.forget(EndpointId(2));
    permits.endpoint_listed(EndpointId(2), "small");
    assert_eq!(allows_idle(&permits, 0), [true; 4], "nothing is kept of a kind that nothing is listed for");
}
