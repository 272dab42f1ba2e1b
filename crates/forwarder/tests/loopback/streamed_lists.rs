//! Endpoint lists that come piece by piece: long ones, ones that are cut short, and malformed ones.

use std::net::SocketAddr;

use reeddock_forwarder::malformed_list::MAX_MEAN_BYTES_PER_SECOND;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use crate::support::*;

/// How long an event that the endpoint list causes is waited for.
const LIST_WAIT_LIMIT: std::time::Duration = ms(10_000);
/// The body of a health check while no endpoint list was received yet.
const NO_LIST_YET: &str = "ok; no target list yet: discovery has told none\n";

/// A discovery service whose watches send what a test writes, byte by byte if need be.
struct ManualDiscovery {
    listener: TcpListener,
    address: SocketAddr,
}

/// One watch on it.
struct ManualWatch {
    stream: TcpStream,
    /// The generation from which on it was asked for.
    after: u64,
}

impl ManualDiscovery {
    async fn start() -> ManualDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        ManualDiscovery { listener, address }
    }

    /// In the place of the test bed's platform.
    async fn start_for(test_bed: &TestBed) -> ManualDiscovery {
        let discovery = ManualDiscovery::start().await;
        test_bed.move_platform(discovery.address);
        discovery
    }

    /// The next watch; notices that come before it are acknowledged.
    async fn next_watch(&self) -> ManualWatch {
        loop {
            let (mut stream, _) = self.listener.accept().await.unwrap();
            let Some(request) = read_message(&mut stream).await else { continue };
            let Some((_, after)) = request.start_line.split_once("stream=1&index=") else {
                stream.write_all(NO_CONTENT_RESPONSE.as_bytes()).await.unwrap();
                continue;
            };
            let after = after.split(' ').next().unwrap().parse().unwrap();
            stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).await.unwrap();
            return ManualWatch { stream, after };
        }
    }
}

impl ManualWatch {
    async fn write(&mut self, text: &str) {
        self.stream.write_all(chunk(text).as_bytes()).await.unwrap();
    }

    async fn write_line(&mut self, line: &str) {
        self.write(&format!("{line}\n")).await;
    }
}

/// Entries of endpoints to which nothing is sent.
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
        assert!(start.elapsed() < LIST_WAIT_LIMIT, "{:?}, and never {expected:?}", health(forwarder).await);
        sleep(ms(5)).await;
    }
}

/// What the health check says of a malformed list, once it does.
async fn wait_for_malformed_list(forwarder: &RunningForwarder) -> String {
    let start = Instant::now();
    loop {
        let (status, body) = health(forwarder).await;
        assert_eq!(status, 200);
        if body.contains("can't be read") {
            return body;
        }
        assert!(start.elapsed() < LIST_WAIT_LIMIT, "never reported");
        sleep(ms(5)).await;
    }
}

/// Submits a message for destination 3, which has to reach this endpoint.
async fn deliver(forwarder: &RunningForwarder, endpoint: &StubServer, id: &str) {
    assert_eq!(forwarder.submit(id, "note").await, 202);
    endpoint.wait_for_message(id).await;
}

/// Until messages for destination 3 reach this endpoint.
async fn wait_until_in_force(forwarder: &RunningForwarder, endpoint: &StubServer) {
    let start = Instant::now();
    for n in 0.. {
        let id = format!("reaches-{n}-{}", endpoint.address.port());
        assert_eq!(forwarder.submit(&id, "note").await, 202);
        if timeout(ms(50), endpoint.wait_for_message(&id)).await.is_ok() {
            return;
        }
        assert!(start.elapsed() < LIST_WAIT_LIMIT, "the list is never in force");
    }
}

#[test]
fn a_long_list_is_applied_in_pieces_while_messages_are_delivered() {
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
        // What was received of it is in force, though it has not come to its end.
        for n in 0..3 {
            deliver(&forwarder, &test_bed.endpoint, &format!("meanwhile-{n}")).await;
        }
        assert!(health(&forwarder).await.1.starts_with("ok; no target list yet"));
        watch.write(tail).await;
        watch.write_line("]}").await;
        wait_for_health(&forwarder, "ok\n").await;
        // A change comes after it in the same watch, and a second whole list.
        let change = endpoint_list(8, false, &[list_entry("t", elsewhere.address, 3, "Ready")]);
        watch.write_line(&change).await;
        wait_until_in_force(&forwarder, &elsewhere).await;
        let second = endpoint_list(9, true, std::slice::from_ref(&entry));
        watch.write(&format!("{second}\n{}\n", endpoint_list(10, true, &[entry]))).await;
        wait_until_in_force(&forwarder, &test_bed.endpoint).await;
        drop(watch);
        assert_eq!(discovery.next_watch().await.after, 10);
        forwarder.kill();
    });
}

#[test]
fn a_list_that_is_cut_short_removes_no_endpoint_and_is_asked_for_again() {
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
        // Asked for again, as if nothing of it had been received.
        let mut watch = discovery.next_watch().await;
        assert_eq!(watch.after, 1);
        deliver(&forwarder, &test_bed.endpoint, "after-the-cut").await;
        let whole = endpoint_list(8, true, &[list_entry("u", elsewhere.address, 3, "Ready")]);
        let (head, tail) = whole.split_at(whole.len() / 2);
        watch.write(head).await;
        // Discovery moves in the middle of the next.
        let moved = ManualDiscovery::start_for(&test_bed).await;
        let mut watch = moved.next_watch().await;
        assert_eq!(watch.after, 1);
        deliver(&forwarder, &test_bed.endpoint, "after-the-move").await;
        watch.write(head).await;
        watch.write_line(tail).await;
        wait_until_in_force(&forwarder, &elsewhere).await;
        forwarder.kill();
    });
}

#[test]
fn a_forwarder_that_is_shut_down_in_the_middle_of_a_list_stops() {
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
fn a_malformed_list_is_reported_and_not_asked_for_again_before_a_rest_by_its_size() {
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
        assert!(reported.starts_with("ok; no target list yet: it can't be read: byte "), "{reported}");
        assert!(reported.contains("instances[100]: missing field `instanceId`"), "{reported}");
        // Half of the mean rest at least, and one and a half of it at most.
        let mut watch = discovery.next_watch().await;
        let rest = start.elapsed();
        let mean = ms(bytes * 1000 / MAX_MEAN_BYTES_PER_SECOND);
        assert!(rest >= mean / 2 && rest <= mean * 3 / 2 + ms(5000), "{rest:?}, on average {mean:?}");
        assert_eq!(watch.after, 1);
        watch.write_line(&endpoint_list(8, true, &[test_bed.endpoint_entry("Ready")])).await;
        wait_for_health(&forwarder, "ok\n").await;
        deliver(&forwarder, &test_bed.endpoint, "then").await;
        // The list that is in force stays in force under a malformed one.
        watch.write_line("{\"generation\":9,\"instances\":7}").await;
        let reported = wait_for_malformed_list(&forwarder).await;
        assert!(reported.starts_with("ok; the newest target list can't be read: byte "), "{reported}");
        deliver(&forwarder, &test_bed.endpoint, "under-it").await;
        forwarder.kill();
    });
}
