//! Records the results of attempts for the write-ahead log, and passes them to the policy.

use std::time::Duration;

use reeddock::{FinishedAttempt, MessageId};
use reeddock_protocol::AttemptResult;
use reeddock_wal::Record;

use super::commands::AttemptKey;
use super::EventLoop;

impl EventLoop {
    /// Records the result of an attempt, and passes its outcome to the policy.
    pub(super) fn finish_attempt(&mut self, attempt: AttemptKey, result: AttemptResult, now: Duration) {
        self.state.remove_in_flight(&attempt);
        let AttemptKey { message, number } = &attempt;
        tracing::debug!(message_id = &*message.0, attempt = number.0, %result, "attempt finished");
        self.log_malformed_request(message, result);
        let message_finished = self.record_result(&attempt, result);
        let outcome = result.outcome();
        let ended = FinishedAttempt { message, number: *number, outcome, message_finished };
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
