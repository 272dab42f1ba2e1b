//! Records the results of attempts for the write-ahead log, and passes them to the policy.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{AttemptNumber, AttemptOutcome, EndpointId, FinishedAttempt, MessageId};
use reeddock_protocol::AttemptResult;
use reeddock_wal::Record;

use super::commands::AttemptKey;
use super::EventLoop;

impl EventLoop {
    /// Handles a `Retry-After` header from an endpoint that accepted messages.
    pub(super) fn pause_endpoint(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        pause: Duration,
        now: Duration,
    ) {
        self.postpone_requests(endpoint, now + pause);
        self.policy.retry_after_received(now, endpoint, pause);
        self.record_address_pause(endpoint, address, pause, now);
    }

    /// Records the `Retry-After` of a rejection for the address that sent it. Must be called before the attempt
    /// is finished.
    pub(super) fn record_rejection_pause(
        &mut self,
        message: &MessageId,
        number: AttemptNumber,
        address: SocketAddr,
        result: AttemptResult,
        now: Duration,
    ) {
        let AttemptResult::Rejected { retry_after: Some(pause) } = result else { return };
        if let Some(endpoint) = self.policy.attempt_endpoint(message, number) {
            self.record_address_pause(endpoint, address, pause, now);
        }
    }

    /// Records the result of an attempt, and passes its outcome to the policy.
    pub(super) fn finish_attempt(
        &mut self,
        id: MessageId,
        number: AttemptNumber,
        result: AttemptResult,
        now: Duration,
    ) {
        let key = AttemptKey { message: id, number };
        self.state.remove_in_flight(&key);
        tracing::debug!(message_id = &*key.message.0, attempt = number.0, %result, "attempt finished");
        self.log_malformed_request(&key.message, result);
        let message_finished = self.record_result(&key, result);
        let (id, outcome) = (&key.message, result.outcome());
        if let AttemptOutcome::Rejected { retry_after: Some(pause) } = outcome {
            if let Some(endpoint) = self.policy.attempt_endpoint(id, number) {
                self.postpone_requests(endpoint, now + pause);
            }
        }
        let ended = FinishedAttempt { message: id, number, outcome, message_finished };
        self.policy.attempt_finished(now, &ended, self.state.commands());
    }

    /// Records a result for the write-ahead log. Returns whether the message has its final answer, from this
    /// result or earlier.
    fn record_result(&mut self, attempt: &AttemptKey, result: AttemptResult) -> bool {
        let message = &attempt.message;
        if !self.state.pending().contains(message) {
            return true;
        }
        let id = message.0.to_string();
        if result.finishes_message() {
            self.state.finish_message(message);
            self.state.record(Record::Finished { id, notice: None });
            return true;
        }
        let proves_not_executed = result.outcome().proves_not_executed();
        self.state.record(Record::AttemptFinished { id, number: attempt.number.0, proves_not_executed });
        false
    }

    /// Logs a message whose request the endpoint rejected as malformed.
    fn log_malformed_request(&mut self, id: &MessageId, result: AttemptResult) {
        if !matches!(result, AttemptResult::Malformed | AttemptResult::BatchMalformed) {
            return;
        }
        if let Some(suppressed) = self.throttles.malformed_message.admit() {
            tracing::warn!(message_id = &*id.0, suppressed, "endpoint reports malformed request");
        }
    }
}
