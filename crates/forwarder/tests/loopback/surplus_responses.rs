//! Endpoints that send more than the responses to their requests, while a request follows on the connection.

use reeddock_forwarder::request_sender::{MessageResult, RequestSender};
use reeddock_protocol::AttemptResult;
use tower::Service;

use crate::support::*;

const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const REJECTED: AttemptResult = AttemptResult::Rejected { retry_after: None };
/// Networks of several delays, each with a copy that is still in transit when the next request is written.
const TIMINGS: [SurplusTiming; 4] = [
    SurplusTiming { round_trip: ms(120), copy_after: ms(15) },
    SurplusTiming { round_trip: ms(60), copy_after: ms(10) },
    SurplusTiming { round_trip: ms(20), copy_after: ms(8) },
    SurplusTiming { round_trip: ms(10), copy_after: ms(4) },
];

/// Sends one request with these messages and returns the result of each.
async fn send(
    request_sender: &mut RequestSender,
    endpoint: &SurplusEndpoint,
    ids: &[&str],
) -> Vec<AttemptResult> {
    let messages: Vec<_> = ids.iter().map(|id| (*id, LONG_TIMEOUT)).collect();
    let result = request_sender.call(request(endpoint.address, &messages)).await.unwrap();
    result.results.iter().map(|MessageResult { result, .. }| *result).collect()
}

/// Sends two requests in immediate succession for each timing, and checks that each gets its own response.
async fn check_each_request_gets_its_own_response(
    messages: [&[&str]; 2],
    responses: [&str; 2],
    expected: [AttemptResult; 2],
) {
    for timing in TIMINGS {
        let endpoint = SurplusEndpoint::start(timing, &responses).await;
        let mut request_sender = request_sender_with_long_connect_timeout();
        for (ids, expected) in messages.into_iter().zip(expected) {
            let results = send(&mut request_sender, &endpoint, ids).await;
            assert!(results.iter().all(|result| *result == expected), "{timing:?} {ids:?}: {results:?}");
        }
    }
}

/// Guards against a second execution: a second copy of a rejection seemed to prove that the next message was
/// not executed.
#[test]
fn second_copy_of_a_rejection_does_not_reject_the_next_message() {
    run_test(check_each_request_gets_its_own_response(
        [&["rejected"], &["executed"]],
        [UNAVAILABLE, OK_RESPONSE],
        [REJECTED, AttemptResult::Completed],
    ));
}

/// Guards against a lost message: a second copy of a completion completed the next message, which was
/// rejected.
#[test]
fn second_copy_of_a_completion_does_not_complete_the_next_message() {
    run_test(check_each_request_gets_its_own_response(
        [&["executed"], &["rejected"]],
        [OK_RESPONSE, UNAVAILABLE],
        [AttemptResult::Completed, REJECTED],
    ));
}

/// Guards against the same in batches.
#[test]
fn second_copy_of_a_rejection_does_not_reject_the_next_batch() {
    let accepted = "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\nc accepted\r\nd accepted\r\n";
    run_test(check_each_request_gets_its_own_response(
        [&["a", "b"], &["c", "d"]],
        [UNAVAILABLE, accepted],
        [REJECTED, AttemptResult::Completed],
    ));
}

/// Guards against a message that is failed without need: a second copy of a batch response names none of the
/// messages of the next batch.
#[test]
fn second_copy_of_a_batch_response_does_not_fail_the_next_batch() {
    let responses = ["a accepted\r\nb accepted\r\n", "c accepted\r\nd accepted\r\n"]
        .map(|body| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    run_test(async move {
        check_each_request_gets_its_own_response(
            [&["a", "b"], &["c", "d"]],
            [&responses[0], &responses[1]],
            [AttemptResult::Completed, AttemptResult::Completed],
        )
        .await
    });
}
