//! Attempts that end before their request is sent or at the time when its response arrives.

use std::collections::BTreeMap;

use reeddock_forwarder::events::Event;
use reeddock_forwarder::request_sender::{run_request, EndpointRequest, MessageResult, RequestResult};
use reeddock_protocol::AttemptResult;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::support::*;

/// Sends a message to an endpoint that accepts no connection, and returns the result of its attempt.
async fn result_without_connection(attempt_limit_ms: u64, cancelled: bool) -> AttemptResult {
    let endpoint = SaturatedEndpoint::new();
    let (sender, mut events) = mpsc::channel(4);
    let request = request(endpoint.address, &[("a", ms(attempt_limit_ms))]);
    let (attempts, mut cancels) = pending_attempts(&request, LONG_TIMEOUT);
    let sending =
        tokio::spawn(run_request(request_sender_with_long_connect_timeout(), request, attempts, sender));
    if cancelled {
        cancels.remove(0).send(()).unwrap();
    }
    let Some(Event::AttemptFinished { result, .. }) = events.recv().await else {
        panic!("expected the result of the attempt")
    };
    sending.await.unwrap();
    result
}

#[test]
fn attempt_that_times_out_before_connecting_is_proven_not_executed() {
    run_test(async {
        let result = result_without_connection(100, false).await;
        assert_eq!(result, AttemptResult::ConnectTimedOut);
        assert!(result.outcome().proves_not_executed());
    });
}

#[test]
fn attempt_cancelled_before_connecting_is_proven_not_executed() {
    run_test(async {
        let result = result_without_connection(20_000, true).await;
        assert_eq!(result, AttemptResult::NotSent);
        assert!(result.outcome().proves_not_executed());
    });
}

#[test]
fn attempt_that_ends_while_connecting_is_left_out_of_its_batch() {
    run_test(async {
        let endpoint = SaturatedEndpoint::new();
        let (sender, mut events) = mpsc::channel(4);
        let messages = [("stays", LONG_TIMEOUT), ("late", ms(100)), ("cancelled", LONG_TIMEOUT)];
        let request = request(endpoint.address, &messages);
        let (attempts, mut cancels) = pending_attempts(&request, LONG_TIMEOUT);
        tokio::spawn(run_request(request_sender_with_long_connect_timeout(), request, attempts, sender));
        cancels.remove(2).send(()).unwrap();
        assert_eq!(next_result(&mut events).await, ("cancelled".into(), AttemptResult::NotSent));
        assert_eq!(next_result(&mut events).await, ("late".into(), AttemptResult::ConnectTimedOut));
        let mut stream = endpoint.accept_next().await;
        let sent = read_message(&mut stream).await.unwrap();
        assert_eq!((sent.start_line.as_str(), sent.id()), ("POST /events HTTP/1.1", "stays"));
        stream.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
        assert_eq!(next_result(&mut events).await, ("stays".into(), AttemptResult::Completed));
    });
}

#[test]
fn attempt_past_its_start_deadline_when_connected_is_proven_not_executed() {
    run_test(async {
        let endpoint = SaturatedEndpoint::new();
        let (sender, mut events) = mpsc::channel(4);
        let request = request(endpoint.address, &[("a", LONG_TIMEOUT), ("b", LONG_TIMEOUT)]);
        let (mut attempts, _cancels) = pending_attempts(&request, LONG_TIMEOUT);
        // Message "a" must start within 100 ms, as if its idempotency key expired long before the response
        // deadline.
        attempts[0].start_deadline = Instant::now() + ms(100);
        tokio::spawn(run_request(request_sender_with_long_connect_timeout(), request, attempts, sender));
        let (id, result) = next_result(&mut events).await;
        assert_eq!(
            (id.as_str(), result, result.outcome().proves_not_executed()),
            ("a", AttemptResult::ConnectTimedOut, true)
        );
        let sent = read_message(&mut endpoint.accept_next().await).await.unwrap();
        assert_eq!(sent.id(), "b");
    });
}

#[test]
fn attempt_past_its_start_deadline_is_not_sent_on_an_idle_connection() {
    run_test(async {
        let endpoint = StubServer::start(|_| ScriptedResponse::ok()).await;
        let (sender, mut events) = mpsc::channel(4);
        let request_sender = request_sender_with_long_connect_timeout();
        let first = request_to(&endpoint, "first");
        let (attempts, _cancels) = pending_attempts(&first, LONG_TIMEOUT);
        run_request(request_sender.clone(), first, attempts, sender.clone()).await;
        assert_eq!(next_result(&mut events).await, ("first".into(), AttemptResult::Completed));
        wait_for_settled_connection(&request_sender, ENDPOINT).await;
        let both = request(endpoint.address, &[("late", LONG_TIMEOUT), ("in-time", LONG_TIMEOUT)]);
        let (mut attempts, _cancels) = pending_attempts(&both, LONG_TIMEOUT);
        // The start deadline of "late" has passed, as if its idempotency key expired while the write-ahead
        // log was written.
        attempts[0].start_deadline = Instant::now();
        run_request(request_sender, both, attempts, sender).await;
        let mut results = BTreeMap::from([next_result(&mut events).await, next_result(&mut events).await]);
        assert!(results.remove("late").unwrap().outcome().proves_not_executed());
        assert_eq!(results.remove("in-time"), Some(AttemptResult::Completed));
        let sent = endpoint.received().into_iter().map(|m| (m.id().to_owned(), m.connection));
        let sent: Vec<_> = sent.collect();
        assert_eq!(sent, [("first".to_owned(), 0), ("in-time".to_owned(), 0)]);
    });
}

#[test]
fn response_at_the_time_of_the_timeout_does_not_complete_its_attempt() {
    run_test(async {
        let nowhere = "127.0.0.1:9".parse().unwrap();
        for result in [AttemptResult::Completed, AttemptResult::Rejected { retry_after: None }] {
            let (sender, mut events) = mpsc::channel(4);
            let request = request(nowhere, &[("late", ms(20)), ("longer", LONG_TIMEOUT)]);
            let (attempts, _cancels) = pending_attempts(&request, LONG_TIMEOUT);
            // Blocks the thread until the first message has timed out, and returns the response at that time.
            let responds_late = tower::service_fn(move |request: EndpointRequest| async move {
                while Instant::now() < request.messages[0].response_deadline {
                    std::hint::spin_loop();
                }
                let results = [0, 1].map(|position| MessageResult { position, result });
                Ok(RequestResult::new(results.into()))
            });
            tokio::spawn(run_request(responds_late, request, attempts, sender));
            let late = if result == AttemptResult::Completed { AttemptResult::TimedOut } else { result };
            assert_eq!(next_result(&mut events).await, ("late".into(), late));
            assert_eq!(next_result(&mut events).await, ("longer".into(), result));
        }
    });
}
