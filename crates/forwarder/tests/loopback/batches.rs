//! Batch requests: which messages they carry, in which order, and the result of each message.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::support::*;

#[test]
fn batch_carries_messages_for_one_endpoint_with_a_result_for_each() {
    run_test(async {
        let test_bed = TestBed::new(|m| match m.start_line.contains("/events/bundle") {
            true => ScriptedResponse::ok_with_body("o1 accepted\r\no2 fault\r\no3 deferred\r\n"),
            false => ScriptedResponse::ok(),
        })
        .await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        for id in ["o1", "o2", "o3"] {
            assert_eq!(forwarder.submit(id, "order").await, 202);
        }
        test_bed.publish_endpoint(2);
        let batch = wait_for("a batch", || test_bed.endpoint.received().first().cloned()).await;
        assert_eq!(batch.start_line, "POST /events/bundle HTTP/1.1");
        let frames = ["o1", "o2", "o3"].map(|id| format!("{id} - 10\r\nbody of it\r\n"));
        assert_eq!(batch.body, frames.concat());
        test_bed.wait_for_notice(r#"{"id":"o2","status":"undeliverable"}"#).await;
        let retry =
            wait_for("the retry of the deferred message", || test_bed.endpoint.received().get(1).cloned())
                .await;
        assert_eq!(retry.id(), "o3");
        assert!(!test_bed.notices().contains("o1") && !test_bed.notices().contains("o3"));
        forwarder.kill();
    });
}

#[test]
fn largest_bodies_are_sent_in_separate_requests() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        let body = "x".repeat(64 * 1024);
        for id in ["a", "b"] {
            assert_eq!(forwarder.request(&submission(id, "note", 9.0, &body)).await.status(), 202);
        }
        test_bed.publish_endpoint(2);
        test_bed.endpoint.wait_for_request_count(2).await;
        let alone = |m: &HttpMessage| m.start_line.starts_with("POST /events ") && m.body == body;
        assert!(test_bed.endpoint.received().iter().all(alone));
        forwarder.kill();
    });
}

#[test]
fn message_with_longest_attempt_timeout_is_first_in_its_batch() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        // Attempts of non-idempotent messages have twice the timeout. In order of age this message would be
        // last.
        for (id, class) in [("first", "note"), ("second", "note"), ("third", "order")] {
            assert_eq!(forwarder.submit(id, class).await, 202);
        }
        test_bed.publish_endpoint(2);
        let request = test_bed.endpoint.wait_for_request().await;
        let frames = request.body.lines().filter_map(|line| line.split_once(" - "));
        let ids: Vec<_> = frames.map(|(id, _)| id).collect();
        assert_eq!(ids, ["third", "first", "second"]);
        // The request has the time limit of its first message, the rest of 1 s, and not the 500 ms of the
        // others.
        let budget: f64 = request.headers["x-budget"].parse().unwrap();
        assert!(
            budget > 0.5 && budget <= 1.0,
            "expected a time limit above 0.5 s and up to 1 s, found {budget} s"
        );
        forwarder.kill();
    });
}

#[test]
fn idempotency_key_is_sent_in_batches_in_single_requests_and_after_a_restart() {
    run_test(async {
        let test_bed = TestBed::new(|m| match m.start_line.contains("/events/bundle") {
            true => ScriptedResponse::CloseConnection,
            false => ScriptedResponse::ok(),
        })
        .await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        let with_key = |id: &str| {
            let key = format!("X-Call-Id: {id}\r\nIdempotency-Key: key-of-{id}");
            submission(id, "mark", 15.0, "body of it").replace(&format!("X-Call-Id: {id}"), &key)
        };
        for request in [with_key("m1"), with_key("m2"), submission("n1", "note", 15.0, "body of it")] {
            assert_eq!(forwarder.request(&request).await.status(), 202);
        }
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        // Messages of a batch that was reset are retried, finally in single requests.
        test_bed.wait_until_all_finished().await;
        let (batches, singles): (Vec<_>, Vec<_>) =
            test_bed.endpoint.received().into_iter().partition(|m| m.start_line.contains("/events/bundle"));
        let lines = batches.iter().flat_map(|m| m.body.lines()).filter(|line| line.ends_with(" 10"));
        let lines: BTreeSet<&str> = lines.collect();
        assert!(
            lines.iter().all(|l| ["m1 key-of-m1 10", "m2 key-of-m2 10", "n1 - 10"].contains(l)),
            "expected only the lines of m1, m2 and n1 with their keys, found {lines:?}"
        );
        assert!(lines.len() + singles.len() >= 3, "expected three messages, found {lines:?} and {singles:?}");
        for request in singles {
            let key = request.headers.get("idempotency-key").map(String::as_str);
            let expected = [("m1", Some("key-of-m1")), ("m2", Some("key-of-m2")), ("n1", None)];
            assert!(
                expected.contains(&(request.id(), key)),
                "unexpected message or idempotency key in {request:?}"
            );
        }
        forwarder.kill();
    });
}

/// Returns the ids of all messages in a request.
fn ids_in(request: &HttpMessage) -> BTreeSet<String> {
    let single = request.headers.get("x-call-id").cloned();
    let frames = request.body.lines().filter(|line| line.ends_with(" - 10"));
    single.into_iter().chain(frames.map(|line| line[..2].into())).collect()
}

/// Returns whether the other side keeps this connection open.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock)
}

/// Guards against merging two requests that are scheduled together. The messages of one could then be retried
/// while the merged request is still in flight for the messages of the other.
#[test]
fn message_is_not_retried_while_its_request_is_in_flight() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::CloseConnection).await.without_hedging();
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = endpoint.local_addr().unwrap();
        let draining = list_entry("t", address, 3, "Terminating");
        let forwarder = test_bed.start_forwarder_with_list(endpoint_list(1, true, &[draining])).await;
        // The messages are queued until the endpoint is active. Four notes fill one request, and orders have
        // a longer attempt timeout.
        for id in ["n1", "n2", "n3", "n4"] {
            assert_eq!(forwarder.submit(id, "note").await, 202);
        }
        for id in ["o1", "o2"] {
            assert_eq!(forwarder.submit(id, "order").await, 202);
        }
        test_bed.publish_list_update(endpoint_list(2, false, &[list_entry("t", address, 3, "Ready")]));
        let mut requests: Vec<(BTreeSet<String>, TcpStream)> = Vec::new();
        let mut retried = BTreeSet::new();
        while retried.len() < 4 {
            let (mut stream, _) = endpoint.accept().await.unwrap();
            let Some(request) = read_message(&mut stream).await else { continue };
            let ids = ids_in(&request);
            for (earlier_ids, earlier) in &requests {
                if ids.intersection(earlier_ids).next().is_some() {
                    assert!(
                        !is_open(earlier),
                        "messages {ids:?} were sent while the request with {earlier_ids:?} was in flight"
                    );
                    retried.extend(ids.intersection(earlier_ids).cloned());
                }
            }
            requests.push((ids, stream));
        }
        forwarder.kill();
    });
}
