//! An endpoint that asks to wait, or starts to drain, holds back the requests that are still on their way to it.

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
fn a_request_whose_connection_comes_up_within_a_retry_after_is_not_sent() {
    run_test(async {
        let endpoint = StubServer::start(|_| ScriptedResponse::ok()).await;
        let mut request_sender = request_sender(ms(1000));
        let connections = request_sender.connections().clone();
        // From the response to another request, while this one is on its way to a connection.
        connections.set_retry_after(ENDPOINT, Instant::now() + ms(300));
        let early = request_sender.call(request_to(&endpoint, "early")).await.unwrap();
        assert_eq!(
            (&early.results[..], endpoint.received().len()),
            (&[MessageResult { position: 0, result: AttemptResult::RetryAfterActive }][..], 0)
        );
        assert!(AttemptResult::RetryAfterActive.outcome().proves_not_executed());
        wait_for("the end of the wait", || connections.check_may_send(ENDPOINT).ok()).await;
        let after = request_sender.call(request_to(&endpoint, "after")).await.unwrap();
        assert_eq!(after.results, [MessageResult { position: 0, result: AttemptResult::Completed }]);
        assert_eq!(endpoint.received()[0].connection, 0, "on the connection that came up for the other");
    });
}

#[test]
fn a_retry_after_in_a_response_that_is_cut_short_counts() {
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

/// Sends two messages to an endpoint that becomes unavailable while their connection comes up: both end like this, and
/// nothing is sent on the connection.
async fn nothing_is_sent_after(become_unavailable: impl FnOnce(&ConnectionPool), expected: AttemptResult) {
    let endpoint = SaturatedEndpoint::new();
    let (sender, mut events) = mpsc::channel(4);
    let request = request(endpoint.address, &[("a", NEVER_REACHED), ("b", NEVER_REACHED)]);
    let (attempts, _cancels) = pending_attempts(&request, NEVER_REACHED);
    let request_sender = patient_request_sender();
    tokio::spawn(run_request(request_sender.clone(), request, attempts, sender));
    become_unavailable(request_sender.connections());
    let mut stream = endpoint.accept_next().await;
    for id in ["a", "b"] {
        assert_eq!(next_result(&mut events).await, (id.into(), expected));
    }
    assert!(expected.outcome().proves_not_executed());
    drop(request_sender);
    assert!(read_message(&mut stream).await.is_none(), "nothing but its end");
}

#[test]
fn an_endpoint_that_starts_to_drain_while_a_connection_comes_up_gets_nothing_on_it() {
    run_test(nothing_is_sent_after(
        |connections| connections.endpoint_listed(ENDPOINT, "many", EndpointState::Draining),
        AttemptResult::EndpointDraining,
    ));
}

#[test]
fn an_endpoint_that_asks_to_wait_while_a_connection_comes_up_gets_nothing_on_it() {
    run_test(nothing_is_sent_after(
        |connections| connections.set_retry_after(ENDPOINT, Instant::now() + NEVER_REACHED),
        AttemptResult::RetryAfterActive,
    ));
}

#[test]
fn a_retry_after_counts_from_the_head_of_a_response_whose_body_is_late() {
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
        // The grace in which requests are on their way when a wait begins.
        sleep_until(began + ms(100)).await;
        assert_eq!(forwarder.submit("second", "order").await, 202);
        let (mut second, _) = endpoint.accept().await.unwrap();
        let waited = began.elapsed();
        assert!(waited >= ms(1500), "sent after {waited:?}");
        drop(read_message(&mut second).await);
    });
}
