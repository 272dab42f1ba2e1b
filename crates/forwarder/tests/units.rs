//! Unit tests of the parts of the forwarder that do no I/O.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::EndpointId;
use reeddock_forwarder::address_pauses::AddressPauses;
use reeddock_forwarder::clock::Clock;
use reeddock_forwarder::endpoints::{EndpointLocation, EndpointTable, LocationChange};
use reeddock_forwarder::http_progress::{RequestProgress, StatusLine};
use reeddock_forwarder::idle_permits::IdlePermits;
use reeddock_forwarder::limits::{Limits, ResourceLimits, DESCRIPTOR_RESERVE};
use reeddock_forwarder::malformed_list::{MalformedList, MAX_MEAN_BACKOFF, MAX_MEAN_BYTES_PER_SECOND};
use tokio::time::Instant;

#[test]
fn status_line_is_parsed_independently_of_later_bytes_and_read_boundaries() {
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
            assert_eq!(status_line.is_ok(), ok, "{response:?} received in two parts, split at byte {split}");
        }
    }
}

#[test]
fn request_is_complete_only_after_last_body_byte() {
    let request = b"POST / HTTP/1.1\r\na: \r\r\n\r\n12345\r\n\r\n";
    for split in 0..request.len() {
        let mut progress = RequestProgress::default();
        progress.begin(9);
        progress.record_sent(&request[..split]);
        assert!(!progress.is_complete(), "request is complete after {split} bytes");
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
fn descriptor_reserve_and_limits_sum_to_available_descriptors() {
    for descriptors in 64..=1024 {
        let limits =
            Limits::derive(ResourceLimits { memory_bytes: 32_000_000, descriptors, disk_bytes: 3_000_000 });
        let planned = DESCRIPTOR_RESERVE.total()
            + limits.accepted_clients
            + limits.lingering_clients
            + limits.endpoint_connections;
        assert_eq!(planned, descriptors);
        assert!(
            limits.served_clients < limits.accepted_clients,
            "expected to accept connections above the served limit, to answer them with 503"
        );
    }
}

/// Guards against limits that are each within the memory, and together beyond it.
#[test]
fn heads_bodies_and_messages_fit_into_three_quarters_of_any_memory() {
    for memory_mb in 32..=192 {
        for descriptors in 256..=1024 {
            let memory_bytes = memory_mb * 1_000_000;
            let resources = ResourceLimits { memory_bytes, descriptors, disk_bytes: 3_000_000 };
            let limits = Limits::derive(resources);
            let request_heads = limits.accepted_clients * limits.request_head_bytes;
            let response_heads = limits.endpoint_connections * limits.response_head_bytes;
            let planned =
                (request_heads + response_heads) as u64 + limits.request_body_bytes + limits.message_bytes;
            assert!(
                planned <= memory_bytes * 3 / 4,
                "{planned} bytes of {memory_mb} MB, {descriptors} descriptors"
            );
            assert!(limits.request_head_bytes >= 8192 && limits.response_head_bytes >= 8192);
        }
    }
}

#[test]
fn stored_time_converts_back_to_same_policy_time() {
    let clock = Clock::start();
    let before = clock.now() - Duration::from_secs(60);
    let read = clock.from_unix_micros(clock.to_unix_micros(before));
    assert!(before - read < Duration::from_micros(2), "time {before:?} was read as {read:?}");
}

#[test]
fn next_tick_is_multiple_of_interval() {
    let clock = Clock::start();
    let interval = Duration::from_millis(5);
    // The policy's time at the process start is a multiple of the interval.
    let next = clock.time_at(clock.next_tick(interval));
    assert_eq!(next.as_nanos() % interval.as_nanos(), 0);
    assert!(clock.next_tick(Duration::ZERO) <= Instant::now());
}

#[test]
fn backoff_after_malformed_list_grows_with_its_size() {
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
        assert_eq!(list.backoff(0.5), mean, "mean backoff after {bytes} bytes");
        assert_eq!(
            (list.backoff(0.0), list.backoff(1.0)),
            (mean / 2, mean + mean / 2),
            "minimum and maximum backoff after {bytes} bytes"
        );
        assert_eq!(list.backoff(f64::INFINITY), list.backoff(1.0));
        // The mean traffic stays below the limit, unless the backoff has its maximum.
        let bytes_per_second = bytes as f64 / list.backoff(0.5).as_secs_f64();
        assert!(
            list.backoff(0.5) >= MAX_MEAN_BACKOFF
                || bytes < 2000
                || bytes_per_second <= MAX_MEAN_BYTES_PER_SECOND as f64 * 1.01,
            "backoff after {bytes} bytes allows {bytes_per_second} bytes per second"
        );
    }
}

#[test]
fn endpoint_keeps_its_id_until_forgotten_and_then_gets_new_one() {
    let mut table = EndpointTable::default();
    let location = |port| EndpointLocation { address: SocketAddr::from(([10, 0, 0, 1], port)), max_batch: 4 };
    let long_name = "a name that does not fit into the row itself";
    let ids: Vec<_> = (0..1000).map(|n| table.id_for_name(&format!("{long_name}-{n}"))).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(table.id_for_name(&format!("{long_name}-{n}")), *id);
        assert_eq!((table.location(*id), table.name(*id)), (None, Some(format!("{long_name}-{n}").as_str())));
        assert_eq!(table.set_location(*id, location(n as u16)), LocationChange::New);
    }
    assert_eq!(table.located_count(), 1000);
    for id in ids.iter().step_by(2) {
        table.forget(*id);
        table.forget(*id);
        assert_eq!((table.location(*id), table.name(*id)), (None, None));
        assert_eq!(
            table.set_location(*id, location(1)),
            LocationChange::Same,
            "expected a forgotten endpoint to be unknown"
        );
    }
    assert_eq!(table.located_count(), 500);
    for (n, id) in ids.iter().enumerate() {
        let new_id = table.id_for_name(&format!("{long_name}-{n}"));
        assert_eq!(
            new_id == *id,
            n % 2 == 1,
            "expected endpoint {n} to keep its id exactly if it was not forgotten"
        );
        assert!(new_id == *id || !ids.contains(&new_id));
    }
    let kept = ids[1];
    assert_eq!(table.location(kept), Some(location(1)));
    assert_eq!(table.set_location(kept, location(1)), LocationChange::Same);
    let ipv6 = EndpointLocation { address: "[::1]:9".parse().unwrap(), max_batch: 1 };
    assert_eq!((table.set_location(kept, ipv6), table.location(kept)), (LocationChange::Moved, Some(ipv6)));
    table.forget(kept);
    assert_eq!(table.located_count(), 499);
}

#[test]
fn idle_connections_are_allowed_again_after_rejection_expires_or_kind_is_removed() {
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
    assert_eq!(
        allows_idle(&permits, 0),
        [true, false, true, true],
        "expected the rejection to stay in effect while another endpoint of the kind is listed"
    );
    permits.forget(EndpointId(2));
    permits.endpoint_listed(EndpointId(2), "small");
    assert_eq!(
        allows_idle(&permits, 0),
        [true; 4],
        "expected a kind without listed endpoints to be forgotten"
    );
}

/// Guards against memory that grows with each address that has ever set a Retry-After.
#[test]
fn pauses_of_addresses_are_removed_after_their_end() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut pauses = AddressPauses::default();
    let second = Duration::from_secs(1);
    for n in 1..1000 {
        pauses.record(address(n), 2 * second, second * u32::from(n));
        assert!(pauses.count() <= 3, "expected at most three pauses that have not ended");
    }
}

#[test]
fn pause_of_an_address_binds_endpoints_that_started_before_it() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let second = Duration::from_secs(1);
    let mut pauses = AddressPauses::default();
    pauses.record(address, 4 * second, 10 * second);
    pauses.record(address, second, 11 * second);
    assert_eq!(pauses.remaining(address, 10 * second, 12 * second), Some(2 * second));
    assert_eq!(pauses.remaining(address, 11 * second, 12 * second), None);
    assert_eq!(pauses.remaining(address, Duration::ZERO, 14 * second), None);
}

/// Guards against a request within a Retry-After: the process that has taken over the address sets a shorter one
/// than its predecessor did.
#[test]
fn shorter_pause_binds_an_endpoint_that_started_after_a_longer_one() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let second = Duration::from_secs(1);
    let mut pauses = AddressPauses::default();
    pauses.record(address, 10 * second, 10 * second);
    pauses.record(address, 3 * second, 13 * second);
    assert_eq!(pauses.remaining(address, 12 * second, 14 * second), Some(2 * second));
    assert_eq!(pauses.remaining(address, 9 * second, 14 * second), Some(6 * second));
}

#[test]
fn endpoints_at_an_address_are_those_whose_last_address_it_is() {
    let mut endpoints = EndpointTable::default();
    let at = |port: u16| EndpointLocation { address: ([127, 0, 0, 1], port).into(), max_batch: 1 };
    let (moved, stayed) = (endpoints.id_for_name("moved"), endpoints.id_for_name("stayed"));
    endpoints.set_location(moved, at(1));
    endpoints.set_location(stayed, at(1));
    endpoints.set_location(moved, at(2));
    assert_eq!(endpoints.endpoints_at(at(1).address), [stayed]);
    assert_eq!(endpoints.endpoints_at(at(2).address), [moved]);
}
