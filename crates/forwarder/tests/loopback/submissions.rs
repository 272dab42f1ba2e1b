//! Client submissions: which are accepted and delivered, and which are rejected without an effect.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::support::*;

#[test]
fn accepted_message_is_delivered_once_and_without_a_notice() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a1", "order").await, 202);
        let request = test_bed.endpoint.wait_for_request().await;
        assert_eq!((request.start_line.as_str(), request.id()), ("POST /events HTTP/1.1", "a1"));
        assert_eq!(request.body, "body of it");
        assert!(request.headers["x-budget"].parse::<f64>().unwrap() > 0.0);
        test_bed.wait_until_all_finished().await;
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a2", "order").await, 202);
        test_bed.endpoint.wait_for_request_count(2).await;
        assert_eq!(test_bed.notices(), "");
        forwarder.kill();
    });
}

/// The first connection is reused once it was silent for the settling time, so that messages in succession
/// use few connections.
#[test]
fn messages_in_succession_reuse_the_first_connection() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        let is_first = |message: &HttpMessage| message.connection == 0;
        let mut submitted = 0;
        while test_bed.endpoint.received().into_iter().filter(is_first).count() < 2 {
            submitted += 1;
            assert!(submitted < 1000, "expected the first connection to be reused");
            assert_eq!(forwarder.submit(&format!("a{submitted}"), "order").await, 202);
            test_bed.wait_until_all_finished().await;
        }
        assert_eq!(test_bed.endpoint.received().len(), submitted);
        assert_eq!(test_bed.notices(), "");
        forwarder.kill();
    });
}

#[test]
fn malformed_submissions_are_rejected_with_their_status_and_not_delivered() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        let valid = submission("x", "note", 5.0, "");
        for (request, expected) in [
            (valid.replace("X-Call-Id: x", "X-Other: x"), 400),
            (valid.replace("X-Call-Id: x", "X-Call-Id: two words"), 400),
            (valid.replace("X-Call-Id: x", "X-Call-Id: x\r\nIdempotency-Key: two words"), 400),
            (valid.replace("X-Budget: 5", "X-Budget: soon"), 400),
            (valid.replace("X-Budget: 5", "X-Budget: -5"), 400),
            (valid.replace("X-Budget: 5", "X-Budget: inf"), 400),
            (valid.replace("dest=3", "dest=three"), 400),
            (valid.replace("X-Route-To: dest=3\r\n", ""), 400),
            (valid.replace("Content-Length: 0", "Content-Length: 65537"), 413),
            (valid.replace("POST /api", "POST /apis"), 404),
            (valid.replace("X-Call-Class: note", "X-Call-Class: unheard"), 422),
            (valid.replace("X-Budget: 5", "X-Budget: 1e300"), 202),
            (HEALTH_CHECK.into(), 200),
        ] {
            assert_eq!(forwarder.request(&request).await.status(), expected, "status for {request}");
        }
        test_bed.endpoint.wait_for_request().await;
        assert_eq!(test_bed.endpoint.received().len(), 1, "expected only the accepted message");
        forwarder.kill();
    });
}

#[test]
fn message_is_dropped_if_its_client_disconnects_before_the_response() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_tick(ms(1500));
        let forwarder = test_bed.start_forwarder().await;
        // The first message is accepted on a tick, so that the next ones have to wait for another tick.
        assert_eq!(forwarder.submit("first", "order").await, 202);
        let stream = forwarder.connect_and_send(&submission("disconnects", "order", 9.0, "")).await;
        sleep(ms(50)).await;
        drop(stream);
        assert_eq!(forwarder.submit("stays", "order").await, 202);
        test_bed.endpoint.wait_for_message("stays").await;
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("after", "order").await, 202);
        test_bed.endpoint.wait_for_message("after").await;
        forwarder.kill();
        let dropped = |m: &HttpMessage| m.id() == "disconnects" || m.body.contains("disconnects");
        assert!(!test_bed.endpoint.received().iter().any(dropped));
    });
}

#[test]
fn duplicate_id_and_unknown_destination_are_rejected() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_until_all_finished().await;
        assert_eq!(forwarder.submit("a", "order").await, 409);
        let unknown = submission("b", "order", 9.0, "").replace("dest=3", "dest=4");
        assert_eq!(forwarder.request(&unknown).await.status(), 503);
        assert_eq!(forwarder.submit("last", "order").await, 202);
        test_bed.endpoint.wait_for_message("last").await;
        assert_eq!(test_bed.endpoint.received_ids(), ["a", "last"]);
        forwarder.kill();
    });
}

#[test]
fn body_of_ambiguous_length_is_rejected_and_data_after_it_is_not_a_request() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_until_all_finished().await;
        let longer = submission("d", "order", 9.0, "more than it says").replace("Length: 17", "Length: 4");
        assert_eq!(forwarder.request(&longer).await.status(), 400);
        // Request smuggling: a body with two framings, where data after the first end could be parsed as a
        // request.
        let inner = submission("hidden", "order", 9.0, "");
        let two_framings = submission("c", "order", 9.0, &format!("0\r\n\r\n{inner}"));
        let two_framings = two_framings.replace("X-Budget", "Transfer-Encoding: chunked\r\nX-Budget");
        let mut stream = forwarder.connect_and_send(&two_framings).await;
        assert_eq!(read_message(&mut stream).await.unwrap().status(), 411);
        assert!(read_message(&mut stream).await.is_none(), "expected the connection to be closed");
        assert_eq!(forwarder.submit("last", "order").await, 202);
        test_bed.endpoint.wait_for_message("last").await;
        assert_eq!(test_bed.endpoint.received_ids(), ["a", "last"]);
        forwarder.kill();
    });
}

#[test]
fn rejection_is_not_reset_while_its_client_still_sends() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        let mut stream = TcpStream::connect(forwarder.address).await.unwrap();
        // The submission is rejected because of the length in its head. The rest of its body exceeds the
        // buffers of the operating system.
        let request = submission("a", "note", 5.0, &"x".repeat(2_000_000));
        stream.write_all(request.as_bytes()).await.expect("expected the whole body to be read");
        let response = read_to_end(&mut stream).await.expect("connection was reset");
        assert!(response.starts_with("HTTP/1.1 413"), "expected status 413, found {response}");
        forwarder.kill();
    });
}
