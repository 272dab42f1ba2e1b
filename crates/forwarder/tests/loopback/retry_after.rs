//! Requests that are not sent because the endpoint sets a `Retry-After` or starts draining.

use reeddock::EndpointState;
use reeddock_forwarder::connections::ConnectionPool;
use reeddock_forwarder::request_sender::{run_request, MessageResult};
use reeddock_protocol::AttemptResult;
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

/// Guards against a request to a former address: an endpoint moves while a connection to it is opened.
#[test]
fn endpoint_that_moves_while_connecting_receives_no_request_at_its_former_address() {
    run_test(check_nothing_is_sent_after(
        |connections| connections.endpoint_moved(ENDPOINT, "127.0.0.1:1".parse().unwrap()),
        AttemptResult::NotSent,
    ));
}
