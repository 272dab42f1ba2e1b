//! Graceful shutdown: which requests are accepted and answered, and which messages are finished.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::*;

#[test]
fn shutdown_fails_health_checks_and_still_accepts_and_delivers_messages() {
    run_test(async {
        let test_bed =
            TestBed::new(|_| ScriptedResponse::ok_with_body("queued accepted\r\nlate accepted\r\n")).await;
        let mut forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        assert_eq!(forwarder.submit("queued", "note").await, 202);
        forwarder.request_shutdown();
        while forwarder.health().await.status() == 200 {}
        let response = forwarder.request(&submission("late", "note", 9.0, "")).await;
        assert_eq!(response.status(), 202);
        assert_eq!(response.headers["connection"], "close");
        test_bed.publish_endpoint(2);
        forwarder.wait_until_stopped().await;
        // Both messages are sent in one request.
        let batch = |m: &HttpMessage| m.body.contains("queued") && m.body.contains("late");
        assert!(test_bed.endpoint.received().iter().any(batch));
        assert_eq!(test_bed.notices(), "");
    });
}

/// Waits until responses ask clients to close their connections. Returns the connection of the first one.
async fn first_closing_connection(forwarder: &RunningForwarder) -> TcpStream {
    loop {
        // A response has `Connection: close` only after the forwarder has processed the shutdown request.
        let mut stream = forwarder.connect_and_send(HEALTH_CHECK).await;
        let response = read_message(&mut stream).await.unwrap();
        if response.headers.get("connection").is_some_and(|value| value.starts_with("close")) {
            return stream;
        }
    }
}

#[test]
fn data_after_the_last_response_is_discarded_without_a_reset() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_accept_grace(ms(10_000));
        let mut forwarder = test_bed.start_forwarder().await;
        forwarder.request_shutdown();
        let mut stream = first_closing_connection(&forwarder).await;
        // The forwarder has shut down its writing side, and the connection is not closed yet.
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0);
        let late = submission("late", "note", 5.0, "x");
        // If the first half caused a reset, writing the second half would fail.
        for half in [&late[..20], &late[20..]] {
            stream.write_all(half.as_bytes()).await.expect("expected late data to be discarded");
        }
        assert_eq!(read_to_end(&mut stream).await.expect("connection was reset"), "");
        assert_eq!(forwarder.submit("good", "note").await, 202);
        test_bed.endpoint.wait_for_request().await;
        test_bed.wait_until_all_finished().await;
        assert!(test_bed.endpoint.received().iter().all(|m| m.id() == "good"));
        forwarder.kill();
    });
}

#[test]
fn connection_waiting_to_be_accepted_when_the_listener_closes_is_answered() {
    run_test(async {
        let test_bed =
            TestBed::with_working_endpoint().await.with_descriptor_limit(40).with_accept_grace(ms(0));
        let mut forwarder = test_bed.start_forwarder().await;
        // Requests with incomplete bodies take every connection.
        let mut occupants = Vec::new();
        for _ in 0..4 {
            occupants.push(forwarder.connect_and_send(&submission_without_last_byte()).await);
        }
        let mut waiting = forwarder.connect_and_send(&submission("a", "note", 5.0, "x")).await;
        forwarder.request_shutdown();
        let response = read_message(&mut waiting).await.expect("expected a complete response");
        assert_eq!(response.status(), 202);
        // The message is delivered before the forwarder stops.
        test_bed.endpoint.wait_for_request().await;
        forwarder.wait_until_stopped().await;
        test_bed.wait_until_all_finished().await;
    });
}

#[test]
fn request_begun_on_an_idle_connection_when_the_listener_closes_is_answered() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_accept_grace(ms(0));
        let mut forwarder = test_bed.start_forwarder().await;
        let mut kept = forwarder.connect_and_send(&submission("a", "note", 15.0, "x")).await;
        assert_eq!(read_message(&mut kept).await.unwrap().status(), 202);
        let last = submission("last", "note", 15.0, "x");
        kept.write_all(&last.as_bytes()[..40]).await.unwrap();
        // The response proves that the partial request was received. The end of this idle connection shows
        // that the listener is closed.
        let mut idle = forwarder.connect_and_send(HEALTH_CHECK).await;
        assert_eq!(read_message(&mut idle).await.unwrap().status(), 200);
        forwarder.request_shutdown();
        assert_eq!(read_to_end(&mut idle).await.unwrap(), "");
        kept.write_all(&last.as_bytes()[40..]).await.unwrap();
        assert_eq!(read_message(&mut kept).await.expect("expected a complete response").status(), 202);
        test_bed.endpoint.wait_for_request_count(2).await;
        forwarder.wait_until_stopped().await;
        test_bed.wait_until_all_finished().await;
    });
}
