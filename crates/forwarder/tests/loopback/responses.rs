//! How an endpoint's response is classified: completed, rejected, possibly executed or proven not executed.

use std::sync::atomic::{AtomicUsize, Ordering};

use reeddock::LoadReport;
use tower::Service;

use crate::support::*;

/// Returns a malformed response for a message id. The first four say 200 and complete their attempts.
fn malformed_response(id: &str, noise_sent_before: usize) -> String {
    match id {
        "bad-length" => "HTTP/1.1 200 OK\r\ncontent-length: -7\r\n\r\n".into(),
        "no-end" => format!("HTTP/1.1 200 OK\r\nx-pad: {}", "x".repeat(5000)),
        "huge" => {
            format!("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n{}", "x".repeat(500_000))
        }
        "behind-1xx" => {
            format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\na: b\r\n\r\n{OK_RESPONSE}")
        }
        "noise-once" if noise_sent_before > 0 => OK_RESPONSE.into(),
        "short" => "HTTP/1.1 429 No\r\ncontent-length: x\r\n\r\n".into(),
        _ => "\0\x01 noise\r\n\r\n".into(),
    }
}

async fn test_bed_with_malformed_responses() -> TestBed {
    let noise_sent = AtomicUsize::new(0);
    TestBed::new(move |m| {
        let before = if m.id() == "noise-once" { noise_sent.fetch_add(1, Ordering::Relaxed) } else { 0 };
        ScriptedResponse::Send(malformed_response(m.id(), before))
    })
    .await
}

#[test]
fn malformed_response_with_status_200_completes_its_attempt() {
    run_test(async {
        let test_bed = test_bed_with_malformed_responses().await;
        let forwarder = test_bed.start_forwarder().await;
        for (n, id) in ["bad-length", "no-end", "huge", "behind-1xx"].into_iter().enumerate() {
            assert_eq!(forwarder.submit(id, "order").await, 202);
            test_bed.wait_until_all_finished().await;
            assert_eq!(
                (test_bed.notices(), test_bed.endpoint.received().len()),
                (String::new(), n + 1),
                "expected one request and no notice for {id}"
            );
        }
        // Every connection is closed except the one whose response was valid.
        test_bed.endpoint.wait_for_closed_connections(3).await;
        forwarder.kill();
    });
}

#[test]
fn malformed_response_is_retried_only_for_idempotent_messages() {
    run_test(async {
        let test_bed = test_bed_with_malformed_responses().await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("noise-once", "note").await, 202);
        test_bed.wait_until_all_finished().await;
        for id in ["noise", "short"] {
            assert_eq!(forwarder.submit(id, "order").await, 202);
            test_bed.wait_for_notice(&format!(r#"{{"id":"{id}","status":"undeliverable"}}"#)).await;
        }
        assert_eq!(test_bed.endpoint.received_ids(), ["noise-once", "noise-once", "noise", "short"]);
        forwarder.kill();
    });
}

#[test]
fn message_rejected_as_malformed_fails_without_opening_the_circuit() {
    run_test(async {
        let test_bed = TestBed::new(|m| match m.id() {
            "odd" => ScriptedResponse::Send("HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n".into()),
            _ => ScriptedResponse::ok(),
        })
        .await;
        let forwarder = test_bed.start_forwarder().await;
        for id in ["odd", "even"] {
            assert_eq!(forwarder.submit(id, "note").await, 202);
            test_bed.wait_until_all_finished().await;
        }
        let notice = r#"{"id":"odd","status":"undeliverable"}"#;
        assert_eq!(test_bed.notices().trim(), notice);
        assert_eq!(test_bed.endpoint.received_ids(), ["odd", "even"]);
        forwarder.kill();
    });
}

#[test]
fn data_after_a_response_is_not_parsed_as_the_next_response() {
    run_test(async {
        let test_bed = TestBed::new(|m| match m.id() {
            "a" => ScriptedResponse::Send(OK_RESPONSE.repeat(2)),
            _ => ScriptedResponse::NeverRespond,
        })
        .await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_until_all_finished().await;
        assert_eq!(forwarder.submit("b", "order").await, 202);
        let second = wait_for("the next request", || test_bed.endpoint.received().get(1).cloned()).await;
        assert_eq!(second.connection, 1, "expected a new connection");
        test_bed.wait_for_notice(r#"{"id":"b","status":"undeliverable"}"#).await;
        forwarder.kill();
    });
}

#[test]
fn connection_reset_after_the_last_byte_is_retried_only_for_idempotent_messages() {
    run_test(async {
        let requests = AtomicUsize::new(0);
        let test_bed = TestBed::new(move |_| match requests.fetch_add(1, Ordering::Relaxed) < 2 {
            true => ScriptedResponse::CloseConnection,
            false => ScriptedResponse::ok(),
        })
        .await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("once", "order").await, 202);
        test_bed.wait_for_notice(r#"{"id":"once","status":"undeliverable"}"#).await;
        assert_eq!(forwarder.submit("often", "note").await, 202);
        let retried = || test_bed.endpoint.received().into_iter().filter(|m| m.id() == "often").nth(1);
        wait_for("the retry of the idempotent message", retried).await;
        assert_eq!(test_bed.endpoint.count_single_requests("once"), 1);
        forwarder.kill();
    });
}

#[test]
fn attempt_without_a_response_in_time_fails_and_its_connection_is_closed() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.endpoint.wait_for_request().await;
        test_bed.endpoint.wait_for_closed_connections(1).await;
        test_bed.wait_for_notice("undeliverable").await;
        forwarder.kill();
    });
}

#[test]
fn message_rejected_with_a_load_report_is_delivered_under_the_reported_limit() {
    run_test(async {
        let response = |status: &str, left: &str| {
            ScriptedResponse::Send(format!(
                "HTTP/1.1 {status}\r\nX-Load-Report: x0={left},x1=50\r\ncontent-length: 0\r\n\r\n"
            ))
        };
        let requests = AtomicUsize::new(0);
        let script = move |_: &HttpMessage| match requests.fetch_add(1, Ordering::Relaxed) {
            0 => response("503 x", "0.0"),
            _ => response("200 OK", "0.8"),
        };
        let test_bed = TestBed::new(script).await.with_load_reports();
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_until_all_finished().await;
        assert_eq!(
            (test_bed.endpoint.received().len(), test_bed.notices().as_str()),
            (2, ""),
            "expected a rejection and then a delivery"
        );
        let request = request_to(&test_bed.endpoint, "b");
        let result = request_sender(ms(1000)).call(request).await.unwrap();
        assert_eq!(
            result.load_report,
            Some(LoadReport { remaining_limit_share: 0.8, limit_per_second: 50.0 })
        );
        forwarder.kill();
    });
}
