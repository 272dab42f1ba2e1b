//! Requests that are not sent because of a `Retry-After`, because the endpoint starts draining, or because its
//! address passes to another endpoint.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reeddock::{EndpointState, MessageId};
use reeddock_forwarder::connections::ConnectionPool;
use reeddock_forwarder::request_sender::{run_request, MessageResult};
use reeddock_protocol::AttemptResult;
use reeddock_wal::inspect;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use tower::Service;

use crate::support::*;

#[test]
fn request_that_connects_during_a_retry_after_is_not_sent() {
    run_test(async {
        let endpoint = StubServer::start(|_| ScriptedResponse::ok()).await;
        let mut request_sender = request_sender(ms(1000));
        let connections = request_sender.connections().clone();
        // The `Retry-After` comes from the response to another request while this request waits for its
        // connection.
        connections.set_retry_after(ENDPOINT, Instant::now() + ms(300));
        let early = request_sender.call(request_to(&endpoint, "early")).await.unwrap();
        assert_eq!(
            (&early.results[..], endpoint.received().len()),
            (&[MessageResult { position: 0, result: AttemptResult::RetryAfterActive }][..], 0)
        );
        assert!(AttemptResult::RetryAfterActive.outcome().proves_not_executed());
        wait_for("the end of the Retry-After", || {
            connections.check_may_send(ENDPOINT, endpoint.address).ok()
        })
        .await;
        let after = request_sender.call(request_to(&endpoint, "after")).await.unwrap();
        assert_eq!(after.results, [MessageResult { position: 0, result: AttemptResult::Completed }]);
        assert_eq!(endpoint.received()[0].connection, 0, "expected the connection of the earlier request");
    });
}

#[test]
fn retry_after_in_an_incomplete_response_takes_effect() {
    run_test(async {
        let cut = "HTTP/1.1 429 x\r\nretry-after: 0.7\r\ncontent-length: 50\r\n\r\nhalf";
        let endpoint = StubServer::start(|_| ScriptedResponse::SendAndClose(cut.into())).await;
        let result = request_sender(ms(1000)).call(request_to(&endpoint, "cut")).await.unwrap();
        assert_eq!(
            (&result.results[..], result.retry_after),
            (&[MessageResult { position: 0, result: AttemptResult::MalformedResponse }][..], Some(ms(700)))
        );
    });
}

/// Sends two messages to an endpoint that becomes unavailable while the connection is opened. Checks that
/// both attempts end with `expected` and that nothing is sent.
async fn check_nothing_is_sent_after(
    become_unavailable: impl FnOnce(&ConnectionPool),
    expected: AttemptResult,
) {
    let endpoint = SaturatedEndpoint::new();
    let (sender, mut events) = mpsc::channel(4);
    let request = request(endpoint.address, &[("a", LONG_TIMEOUT), ("b", LONG_TIMEOUT)]);
    let (attempts, _cancels) = pending_attempts(&request, LONG_TIMEOUT);
    let request_sender = request_sender_with_long_connect_timeout();
    tokio::spawn(run_request(request_sender.clone(), request, attempts, sender));
    become_unavailable(request_sender.connections());
    let mut stream = endpoint.accept_next().await;
    for id in ["a", "b"] {
        assert_eq!(next_result(&mut events).await, (id.into(), expected));
    }
    assert!(expected.outcome().proves_not_executed());
    drop(request_sender);
    assert!(read_message(&mut stream).await.is_none(), "expected no data before the end of the connection");
}

#[test]
fn endpoint_that_starts_draining_while_connecting_receives_no_request() {
    run_test(check_nothing_is_sent_after(
        |connections| connections.endpoint_listed(ENDPOINT, "many", EndpointState::Draining),
        AttemptResult::EndpointDraining,
    ));
}

#[test]
fn endpoint_that_sets_retry_after_while_connecting_receives_no_request() {
    run_test(check_nothing_is_sent_after(
        |connections| connections.set_retry_after(ENDPOINT, Instant::now() + LONG_TIMEOUT),
        AttemptResult::RetryAfterActive,
    ));
}

#[test]
fn retry_after_counts_from_the_response_head_if_the_body_is_late() {
    run_test(async {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let test_bed = TestBed::with_working_endpoint().await;
        let entry = list_entry("late", endpoint.local_addr().unwrap(), 3, "Ready");
        let forwarder = test_bed.start_forwarder_with_list(endpoint_list(1, true, &[entry])).await;
        assert_eq!(forwarder.submit("first", "order").await, 202);
        let (mut first, _) = endpoint.accept().await.unwrap();
        read_message(&mut first).await.unwrap();
        let began = Instant::now();
        let head = "HTTP/1.1 429 x\r\nretry-after: 1.5\r\ncontent-length: 4\r\n\r\n";
        first.write_all(head.as_bytes()).await.unwrap();
        // Waits until requests scheduled before the `Retry-After` would have been sent.
        sleep_until(began + ms(100)).await;
        assert_eq!(forwarder.submit("second", "order").await, 202);
        let (mut second, _) = endpoint.accept().await.unwrap();
        let waited = began.elapsed();
        assert!(waited >= ms(1500), "sent after {waited:?}");
        drop(read_message(&mut second).await);
    });
}

/// Returns the changes in which endpoint `u` of destination 4 takes over the address of the test bed's endpoint.
fn takeover(test_bed: &TestBed, started_at_unix_ms: u128) -> String {
    let started_at = format!(r#""startedAtMs":{started_at_unix_ms}"#);
    let successor = list_entry("u", test_bed.endpoint.address, 4, "Ready");
    let successor = successor.replace(r#""startedAtMs":0"#, &started_at);
    endpoint_list(2, false, &[test_bed.endpoint_entry("Gone"), successor])
}

/// Submits a message for destination 4 until it is accepted, and returns when its endpoint receives it.
async fn deliver_to_successor(test_bed: &TestBed, forwarder: &RunningForwarder) -> Instant {
    let submission = submission("successor", "note", 9.0, "").replace("dest=3", "dest=4");
    let start = Instant::now();
    // The destination is unknown until the list is applied.
    while forwarder.request(&submission).await.status() != 202 {
        assert!(start.elapsed() < LONG_TIMEOUT, "expected the list to be applied");
    }
    test_bed.endpoint.wait_for_message("successor").await;
    Instant::now()
}

const RETRY_AFTER: Duration = ms(1500);
const REJECTED_WITH_RETRY_AFTER: &str = "HTTP/1.1 429 x\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n";

/// Returns a test bed whose endpoint rejects the message `rejected` with a Retry-After of 1.5 s.
async fn test_bed_with_retry_after() -> TestBed {
    TestBed::new(|m| match m.id() {
        "rejected" => ScriptedResponse::Send(REJECTED_WITH_RETRY_AFTER.into()),
        _ => ScriptedResponse::ok(),
    })
    .await
}

/// Waits until the forwarder has recorded the rejection of the message `rejected`.
async fn wait_until_rejected(test_bed: &TestBed) {
    let attempt_finished = || {
        let index = inspect(test_bed.state_folder()).unwrap().index;
        let rejected = index.get(&MessageId("rejected".into())).cloned();
        rejected.is_none_or(|pending| pending.attempts[0].state.proves_not_executed()).then_some(())
    };
    wait_for("the result of the rejected attempt", attempt_finished).await;
}

/// Returns the time from a rejection with a Retry-After to the first request to the endpoint that takes over the
/// address of the endpoint of the rejected message.
async fn time_from_rejection_to_successor(started_at_unix_ms: u128) -> Duration {
    let test_bed = test_bed_with_retry_after().await;
    let forwarder = test_bed.start_forwarder().await;
    assert_eq!(forwarder.submit("rejected", "note").await, 202);
    test_bed.endpoint.wait_for_message("rejected").await;
    let rejected_at = Instant::now();
    // A response after the change would apply to the successor, whenever it started.
    wait_until_rejected(&test_bed).await;
    test_bed.publish_list_update(takeover(&test_bed, started_at_unix_ms));
    let delivered_at = deliver_to_successor(&test_bed, &forwarder).await;
    forwarder.kill();
    delivered_at - rejected_at
}

/// Guards against a request within a Retry-After: the process at an address sets it for a request that was sent
/// under the name of its predecessor, because the list was late.
#[test]
fn retry_after_of_an_address_applies_to_the_endpoint_that_is_listed_there_later() {
    run_test(async {
        let elapsed = time_from_rejection_to_successor(0).await;
        assert!(elapsed >= RETRY_AFTER - ms(20), "{elapsed:?}");
    });
}

/// Guards against a wait without need: the successor started after the Retry-After, which is not its own.
#[test]
fn retry_after_does_not_apply_to_an_endpoint_that_started_after_it() {
    run_test(async {
        let in_a_minute = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + ms(60_000);
        let elapsed = time_from_rejection_to_successor(in_a_minute.as_millis()).await;
        assert!(elapsed < RETRY_AFTER, "{elapsed:?}");
    });
}

/// Guards against the same break where the response to the request under the former name comes after the list.
#[test]
fn retry_after_for_a_former_endpoint_applies_to_the_endpoint_that_has_its_address() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let test_bed = TestBed::with_working_endpoint().await;
        let former = list_entry("t", address, 3, "Ready");
        let forwarder = test_bed.start_forwarder_with_list(endpoint_list(1, true, &[former])).await;
        assert_eq!(forwarder.submit("rejected", "note").await, 202);
        let (mut under_former_name, _) = listener.accept().await.unwrap();
        assert_eq!(read_message(&mut under_former_name).await.unwrap().id(), "rejected");
        let gone = list_entry("t", address, 3, "Gone");
        let successor = list_entry("u", address, 4, "Ready");
        test_bed.publish_list_update(endpoint_list(2, false, &[gone, successor]));
        // The list is applied once a message for its destination is accepted.
        let to_successor = |id: &str| submission(id, "order", 9.0, "").replace("dest=3", "dest=4");
        while forwarder.request(&to_successor("before")).await.status() != 202 {}
        let (mut under_new_name, _) = listener.accept().await.unwrap();
        assert_eq!(read_message(&mut under_new_name).await.unwrap().id(), "before");
        under_new_name.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
        under_former_name.write_all(REJECTED_WITH_RETRY_AFTER.as_bytes()).await.unwrap();
        let rejected_at = Instant::now();
        wait_until_rejected(&test_bed).await;
        assert_eq!(forwarder.request(&to_successor("after")).await.status(), 202);
        let next_request = async {
            tokio::select! {
                message = read_message(&mut under_new_name) => message,
                accepted = listener.accept() => read_message(&mut accepted.unwrap().0).await,
            }
        };
        assert_eq!(next_request.await.unwrap().id(), "after");
        assert!(rejected_at.elapsed() >= RETRY_AFTER - ms(20), "{:?}", rejected_at.elapsed());
        forwarder.kill();
    });
}

/// Guards against a request to a former address: an endpoint moves while a connection to it is opened.
#[test]
fn endpoint_that_moves_while_connecting_receives_no_request_at_its_former_address() {
    run_test(check_nothing_is_sent_after(
        |connections| connections.endpoint_moved(ENDPOINT, "127.0.0.1:1".parse().unwrap()),
        AttemptResult::NotSent,
    ));
}
