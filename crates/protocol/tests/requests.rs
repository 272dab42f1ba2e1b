//! Requests to endpoints: the response timeout that they carry and the splitting of messages into batches.

use std::time::Duration;

use http_body::Body;
use reeddock::MessageId;
use reeddock_protocol::{
    batch_request, single_request, split_into_batches, OutgoingMessage, SubmissionError, MAX_BODY_BYTES,
};

fn message(body_bytes: usize) -> OutgoingMessage {
    OutgoingMessage { id: MessageId("a".into()), idempotency_key: None, body: vec![0; body_bytes].into() }
}

#[test]
fn response_timeout_is_rounded_up_to_a_millisecond() {
    let endpoint = "127.0.0.1:9".parse().unwrap();
    for (micros, expected) in [(11_443_100, "11.444"), (1, "0.001"), (2_000_000, "2.000"), (0, "0.000")] {
        let timeout = Duration::from_micros(micros);
        for request in [
            single_request(endpoint, &message(0), timeout),
            batch_request(endpoint, &[message(0), message(0)], timeout),
        ] {
            assert_eq!(request.unwrap().headers()["x-budget"], expected);
        }
    }
}

#[test]
fn batch_does_not_exceed_its_message_limit() {
    assert_eq!(split_into_batches(&[1, 1, 1, 1, 1].map(message), 2), [2, 2, 1]);
}

#[test]
fn batch_does_not_exceed_the_body_size_limit() {
    assert_eq!(split_into_batches(&[65_536, 10, 40_000, 30_000, 1].map(message), 10), [1, 2, 2]);
}

#[test]
fn messages_share_a_batch_exactly_if_their_request_is_within_the_body_size_limit() {
    assert_eq!(MAX_BODY_BYTES, 65_536);
    for sizes in [[32_000, 32_000], [33_000, 33_000]] {
        let messages = sizes.map(message);
        let request = batch_request("127.0.0.1:1".parse().unwrap(), &messages, Duration::ZERO).unwrap();
        let fits = request.body().size_hint().exact().unwrap() <= 65_536;
        assert_eq!(fits, split_into_batches(&messages, 10) == [2]);
    }
}

#[test]
fn error_of_a_malformed_header_names_the_expected_value() {
    for (header, expected) in [
        ("x-budget", "seconds, 0 or more"),
        ("x-route-hash", "a whole number, with or without NAME= before it"),
        ("x-call-id", "1 to 128 visible ASCII characters"),
        ("idempotency-key", "1 to 128 visible ASCII characters"),
    ] {
        let error = SubmissionError::MalformedHeader { header };
        assert_eq!(error.to_string(), format!("header {header} is malformed: expected {expected}"));
    }
}
