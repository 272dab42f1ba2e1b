//! Endpoint lists that are received in pieces: long, incomplete and malformed ones.

use reeddock_forwarder::malformed_list::MAX_MEAN_BYTES_PER_SECOND;
use tokio::time::{sleep, timeout, Instant};

use crate::support::*;

/// How long a test waits for an effect of the endpoint list.
const LIST_WAIT_LIMIT: std::time::Duration = ms(10_000);
/// The body of a health check before any endpoint list is received.
const NO_LIST_YET: &str = "ok; no target list yet: discovery has told none\n";

/// Returns entries of endpoints that receive no messages.
fn other_entries(count: usize) -> String {
    let address = "127.0.0.1:9".parse().unwrap();
    let entry = |n: usize| list_entry(&format!("other-{n}"), address, 100 + n as u64, "Ready");
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

async fn health(forwarder: &RunningForwarder) -> (u16, String) {
    let response = forwarder.health().await;
    (response.status(), response.body)
}

async fn wait_for_health(forwarder: &RunningForwarder, expected: &str) {
    let start = Instant::now();
    while health(forwarder).await != (200, expected.into()) {
        assert!(
            start.elapsed() < LIST_WAIT_LIMIT,
            "health check is {:?}, expected {expected:?}",
            health(forwarder).await
        );
        sleep(ms(5)).await;
    }
}

/// Waits until the health check reports a malformed list, and returns its body.
async fn wait_for_malformed_list(forwarder: &RunningForwarder) -> String {
    let start = Instant::now();
    loop {
        let (status, body) = health(forwarder).await;
        assert_eq!(status, 200);
        if body.contains("can't be read") {
            return body;
        }
        assert!(start.elapsed() < LIST_WAIT_LIMIT, "malformed list was not reported in time");
        sleep(ms(5)).await;
    }
}

/// Submits a message for destination 3 and waits until this endpoint receives it.
async fn deliver(forwarder: &RunningForwarder, endpoint: &StubServer, id: &str) {
    assert_eq!(forwarder.submit(id, "note").await, 202);
    endpoint.wait_for_message(id).await;
}

/// Waits until messages for destination 3 reach this endpoint.
async fn wait_until_applied(forwarder: &RunningForwarder, endpoint: &StubServer) {
    let start = Instant::now();
    for n in 0.. {
        let id = format!("reaches-{n}-{}", endpoint.address.port());
        assert_eq!(forwarder.submit(&id, "note").await, 202);
        if timeout(ms(50), endpoint.wait_for_message(&id)).await.is_ok() {
            return;
        }
        assert!(start.elapsed() < LIST_WAIT_LIMIT, "list was not applied in time");
    }
}

#[test]
fn long_list_is_applied_in_pieces_while_messages_are_delivered() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let elsewhere = StubServer::start(|_| ScriptedResponse::ok()).await;
        let discovery = ManualDiscovery::start_for(&test_bed).await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        assert_eq!(health(&forwarder).await, (200, NO_LIST_YET.into()));
        let mut watch = discovery.next_watch().await;
        let entry = test_bed.endpoint_entry("Ready");
        let others = other_entries(5000);
        let (head, tail) = others.split_at(others.len() / 2);
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{entry},{head}")).await;
        // The received part of the list is applied, although the list is incomplete.
        for n in 0..3 {
            deliver(&forwarder, &test_bed.endpoint, &format!("meanwhile-{n}")).await;
        }
        assert!(health(&forwarder).await.1.starts_with("ok; no target list yet"));
        watch.write(tail).await;
        watch.write_line("]}").await;
        wait_for_health(&forwarder, "ok\n").await;
        // A change and a second whole list follow in the same watch.
        let change = endpoint_list(8, false, &[list_entry("t", elsewhere.address, 3, "Ready")]);
        watch.write_line(&change).await;
        wait_until_applied(&forwarder, &elsewhere).await;
        let second = endpoint_list(9, true, std::slice::from_ref(&entry));
        watch.write(&format!("{second}\n{}\n", endpoint_list(10, true, &[entry]))).await;
        wait_until_applied(&forwarder, &test_bed.endpoint).await;
        drop(watch);
        assert_eq!(discovery.next_watch().await.after, 10);
        forwarder.kill();
    });
}

#[test]
fn incomplete_list_removes_no_endpoint_and_is_requested_again() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let elsewhere = StubServer::start(|_| ScriptedResponse::ok()).await;
        let discovery = ManualDiscovery::start_for(&test_bed).await;
        let forwarder = test_bed.start_forwarder().await;
        let mut watch = discovery.next_watch().await;
        assert_eq!(watch.after, 1);
        let others = other_entries(1000);
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{others}")).await;
        drop(watch);
        // The forwarder requests the list again as if nothing of it was received.
        let mut watch = discovery.next_watch().await;
        assert_eq!(watch.after, 1);
        deliver(&forwarder, &test_bed.endpoint, "after-the-cut").await;
        let whole = endpoint_list(8, true, &[list_entry("u", elsewhere.address, 3, "Ready")]);
        let (head, tail) = whole.split_at(whole.len() / 2);
        watch.write(head).await;
        // Discovery moves in the middle of the next list.
        let moved = ManualDiscovery::start_for(&test_bed).await;
        let mut watch = moved.next_watch().await;
        assert_eq!(watch.after, 1);
        deliver(&forwarder, &test_bed.endpoint, "after-the-move").await;
        watch.write(head).await;
        watch.write_line(tail).await;
        wait_until_applied(&forwarder, &elsewhere).await;
        forwarder.kill();
    });
}

#[test]
fn forwarder_stops_when_shut_down_in_the_middle_of_a_list() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let discovery = ManualDiscovery::start_for(&test_bed).await;
        let mut forwarder = test_bed.start_forwarder().await;
        let mut watch = discovery.next_watch().await;
        let others = other_entries(1000);
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{others}")).await;
        deliver(&forwarder, &test_bed.endpoint, "before").await;
        forwarder.request_shutdown();
        forwarder.wait_until_stopped().await;
    });
}

#[test]
fn malformed_list_is_reported_and_requested_again_after_a_delay_by_its_size() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let discovery = ManualDiscovery::start_for(&test_bed).await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        let mut watch = discovery.next_watch().await;
        let entries = other_entries(100);
        let bytes = entries.len() as u64;
        watch
            .write_line(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{entries},{{}}]}}"))
            .await;
        let start = Instant::now();
        let reported = wait_for_malformed_list(&forwarder).await;
        assert!(
            reported.starts_with("ok; no target list yet: it can't be read: byte "),
            "expected a fault before the first list with its byte, found {reported}"
        );
        assert!(
            reported.contains("instances[100]: missing field `instanceId`"),
            "expected the index and the missing key of the malformed entry, found {reported}"
        );
        // The delay is between half and one and a half times its mean.
        let mut watch = discovery.next_watch().await;
        let delay = start.elapsed();
        let mean = ms(bytes * 1000 / MAX_MEAN_BYTES_PER_SECOND);
        assert!(
            delay >= mean / 2 && delay <= mean * 3 / 2 + ms(5000),
            "expected a delay around the mean {mean:?}, found {delay:?}"
        );
        assert_eq!(watch.after, 1);
        watch.write_line(&endpoint_list(8, true, &[test_bed.endpoint_entry("Ready")])).await;
        wait_for_health(&forwarder, "ok\n").await;
        deliver(&forwarder, &test_bed.endpoint, "then").await;
        // The applied list stays in effect after a malformed one.
        watch.write_line("{\"generation\":9,\"instances\":7}").await;
        let reported = wait_for_malformed_list(&forwarder).await;
        assert!(
            reported.starts_with("ok; the newest target list can't be read: byte "),
            "expected a fault of the newest list with its byte, found {reported}"
        );
        deliver(&forwarder, &test_bed.endpoint, "under-it").await;
        forwarder.kill();
    });
}
