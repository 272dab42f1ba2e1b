//! Decoding of an endpoint's response into attempt results.

use std::time::Duration;

use http::Response;
use reeddock::{AttemptOutcome, LoadReport, MessageId};
use reeddock_protocol::{
    parse_attempt_result, parse_load_report, rejects_connection, AttemptResult, BatchResponseDecoder,
    BodyEnd, FinalAnswer, OutgoingMessage, ResponseHead,
};

type Header<'a> = Option<(&'a str, &'a str)>;

fn head(status: u16, header: Header) -> http::response::Parts {
    let mut response = Response::builder().status(status);
    if let Some((name, value)) = header {
        response = response.header(name, value);
    }
    response.body(()).unwrap().into_parts().0
}

fn outcome(status: u16, header: Header) -> AttemptOutcome {
    parse_attempt_result(&head(status, header)).outcome()
}

#[test]
fn status_200_completes_the_attempt() {
    assert_eq!(outcome(200, None), AttemptOutcome::Completed);
}

#[test]
fn status_500_is_an_error() {
    assert_eq!(outcome(500, None), AttemptOutcome::Error);
}

#[test]
fn retry_after_of_a_rejection_is_parsed_as_seconds_and_ignored_if_malformed() {
    assert_eq!(
        outcome(429, Some(("Retry-After", "0.25"))),
        AttemptOutcome::Rejected { retry_after: Some(Duration::from_millis(250)) }
    );
    assert_eq!(outcome(429, Some(("Retry-After", "soon"))), AttemptOutcome::Rejected { retry_after: None });
}

#[test]
fn status_503_is_a_rejection_unless_the_forwarder_had_no_free_request_slot() {
    assert_eq!(outcome(503, None), AttemptOutcome::Rejected { retry_after: None });
    assert_eq!(outcome(503, Some(("X-Egress-Full", "1"))), AttemptOutcome::NotSent);
}

#[test]
fn status_400_or_413_means_malformed_request() {
    assert_eq!(outcome(400, None), AttemptOutcome::Malformed);
    assert_eq!(outcome(413, None), AttemptOutcome::Malformed);
}

#[test]
fn status_504_or_410_means_that_the_message_was_not_sent() {
    for status in [504, 410] {
        assert_eq!(outcome(status, None), AttemptOutcome::NotSent);
    }
}

#[test]
fn only_status_410_finishes_the_message_without_delivery() {
    assert!(parse_attempt_result(&head(410, None)).finishes_message());
    assert!(!parse_attempt_result(&head(504, None)).finishes_message());
}

#[test]
fn unexpected_status_does_not_prove_that_the_message_was_not_executed() {
    assert!(!outcome(418, None).proves_not_executed());
}

fn load_report(line: &str) -> Option<LoadReport> {
    parse_load_report(&head(200, Some(("X-Load-Report", line))))
}

#[test]
fn load_report_is_parsed_whatever_the_order_of_its_fields_and_with_unknown_fields() {
    let expected = Some(LoadReport { remaining_limit_share: 0.4, limit_per_second: 25.0 });
    assert_eq!(load_report("x0=0.4,x1=25"), expected);
    assert_eq!(load_report("other=3, x1=25 ,x0=0.4"), expected);
}

#[test]
fn load_report_with_more_left_than_the_limit_is_reduced_to_the_limit() {
    assert_eq!(
        load_report("x0=1.5,x1=0"),
        Some(LoadReport { remaining_limit_share: 1.0, limit_per_second: 0.0 })
    );
}

#[test]
fn incomplete_or_malformed_load_report_is_ignored() {
    for line in ["", "x0=0.4", "x0=,x1=25", "x0=-1,x1=25", "x0=0.4,x1=inf", "x0=NaN,x1=25", "x0:0.4;x1:25"] {
        assert_eq!(load_report(line), None, "load report {line}");
    }
    assert_eq!(parse_load_report(&head(200, None)), None);
}

/// Body of a batch response to the messages `a`, `ab` and `c`.
const BATCH_BODY: &[u8] = b"a deferred\r\nab accepted\r\nc no_more\r\n";

/// Attempt results of the messages in [`BATCH_BODY`].
const BATCH_RESULTS: [AttemptResult; 3] = [
    AttemptResult::Rejected { retry_after: None },
    AttemptResult::Completed,
    AttemptResult::AttemptsExhausted,
];

/// Returns the results of the messages `a`, `ab` and `c`. They must not depend on the pieces of the body.
fn batch_results(status: u16, bytes: &[u8], end: BodyEnd) -> Vec<AttemptResult> {
    let whole = batch_results_in_pieces(status, bytes, end, bytes.len().max(1));
    for piece_length in 1..bytes.len() {
        let in_pieces = batch_results_in_pieces(status, bytes, end, piece_length);
        assert_eq!(in_pieces, whole, "pieces of {piece_length} bytes");
    }
    whole
}

fn batch_results_in_pieces(
    status: u16,
    bytes: &[u8],
    end: BodyEnd,
    piece_length: usize,
) -> Vec<AttemptResult> {
    let messages = ["a", "ab", "c"].map(|id| OutgoingMessage {
        id: MessageId(id.into()),
        idempotency_key: None,
        body: Default::default(),
    });
    let mut decoder = BatchResponseDecoder::new(&messages);
    bytes.chunks(piece_length).for_each(|piece| decoder.decode(piece));
    decoder.finish(&ResponseHead::decode(&head(status, None)), end)
}

#[test]
fn batch_response_has_a_result_for_each_message() {
    assert_eq!(batch_results(200, BATCH_BODY, BodyEnd::Unconfirmed), BATCH_RESULTS);
}

#[test]
fn last_line_of_a_batch_response_needs_no_line_feed_if_its_end_is_confirmed() {
    let without_line_feed = &BATCH_BODY[..BATCH_BODY.len() - 2];
    assert_eq!(batch_results(200, without_line_feed, BodyEnd::Confirmed), BATCH_RESULTS);
    assert_eq!(
        batch_results(200, without_line_feed, BodyEnd::Unconfirmed),
        [AttemptResult::MalformedResponse; 3]
    );
}

#[test]
fn batch_response_without_a_line_for_each_message_is_malformed() {
    assert_eq!(
        batch_results(200, &BATCH_BODY[12..], BodyEnd::Confirmed),
        [AttemptResult::MalformedResponse; 3]
    );
}

#[test]
fn first_line_with_a_result_counts_and_the_rest_of_a_line_is_ignored() {
    let body = b"a\r\n\r\n  a\tdeferred and more\r\nab accepted\nab fault\nd fault\n\xff accepted\nc no_more";
    assert_eq!(batch_results(200, body, BodyEnd::Confirmed), BATCH_RESULTS);
}

#[test]
fn unknown_result_in_a_batch_response_is_malformed() {
    let body = b"a deferred\r\nab accepted!\r\nab accepted\r\nc no_more\r\n";
    assert_eq!(batch_results(200, body, BodyEnd::Confirmed), [AttemptResult::MalformedResponse; 3]);
}

/// Guards against an id or a result that is recognised by the part of a long word that is kept.
#[test]
fn word_of_any_length_in_a_batch_response_is_compared_as_a_whole() {
    let body = |long: &str| format!("a{long} fault\r\na deferred\r\nab accepted\r\nc no_more\r\n");
    for length in [1, 127, 128, 129, 1000] {
        let long = "x".repeat(length);
        assert_eq!(batch_results(200, body(&long).as_bytes(), BodyEnd::Confirmed), BATCH_RESULTS);
        let long_result = body("").replace("a fault\r\na deferred", &format!("a deferred{long}"));
        assert_eq!(
            batch_results(200, long_result.as_bytes(), BodyEnd::Confirmed),
            [AttemptResult::MalformedResponse; 3]
        );
    }
}

#[test]
fn batch_response_status_other_than_200_applies_to_each_message() {
    assert_eq!(batch_results(500, b"ab accepted\r\n", BodyEnd::Confirmed), [AttemptResult::Failed; 3]);
}

#[test]
fn malformed_batch_request_counts_as_not_sent_for_each_message() {
    assert_eq!(batch_results(400, b"", BodyEnd::Confirmed)[0].outcome(), AttemptOutcome::NotSent);
}

#[test]
fn malformed_response_does_not_prove_that_the_message_was_not_executed() {
    assert!(!AttemptResult::MalformedResponse.outcome().proves_not_executed());
}

#[test]
fn only_status_503_that_closes_the_connection_rejects_it() {
    for (status, header, expected) in [
        (503, Some(("Connection", "close")), true),
        (503, Some(("Connection", "x, Close")), true),
        (503, Some(("Connection", "keep-alive")), false),
        (503, None, false),
        (429, Some(("Connection", "close")), false),
        (200, Some(("Connection", "close")), false),
    ] {
        assert_eq!(
            rejects_connection(&head(status, header)),
            expected,
            "response with status {status} and header {header:?}"
        );
    }
}

#[test]
fn results_and_final_answers_have_log_texts() {
    let retry_after = Some(Duration::from_millis(1500));
    for (result, expected) in [
        (AttemptResult::Completed, "completed"),
        (AttemptResult::Rejected { retry_after: None }, "rejected"),
        (AttemptResult::Rejected { retry_after }, "rejected, retry after 1.5s"),
        (AttemptResult::ConnectionReset, "connection reset after sending"),
        (AttemptResult::RetryAfterActive, "not sent, Retry-After active"),
    ] {
        assert_eq!(result.to_string(), expected);
    }
    assert_eq!(FinalAnswer::Failed.to_string(), "failed");
    assert_eq!(FinalAnswer::Rejected { retry_after: None }.to_string(), "rejected");
    assert_eq!(FinalAnswer::Rejected { retry_after }.to_string(), "rejected, retry after 1.5s");
}
