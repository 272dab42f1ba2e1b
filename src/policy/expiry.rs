//! Final answers without delivery, for messages that can no longer be completed.

use std::time::Duration;

use super::{seconds, DeliveryPolicy};
use crate::interface::{Idempotency, IdempotencyKeyScope, PolicyHost};
use crate::message_key::MessageKey;
use crate::state::EarliestTime;

/// The least time that an answer is expected to take.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(10);

impl DeliveryPolicy {
    /// Whether a message may not be sent again, whatever the state of its destination.
    pub(super) fn is_exhausted(&self, key: MessageKey, now: Duration) -> bool {
        let Some(message) = self.messages.get(key) else { return true };
        message.attempts() >= self.parameters.max_attempts
            || now >= message.deadline
            || (self.idempotency(message) == Idempotency::NonIdempotent
                && message.possible_execution().is_some())
    }

    /// Gives the final answer for a message that is not delivered: it is rejected where submitting it again is
    /// harmless, and failed otherwise.
    pub(super) fn finish_undelivered(&mut self, key: MessageKey, now: Duration, host: &mut dyn PolicyHost) {
        let Some(message) = self.messages.get(key) else { return };
        let not_executed = message.possible_execution().is_none() && message.in_flight().is_empty();
        let has_valid_key = message.possible_execution().is_some() && now < self.key_valid_until(message);
        let repeatable = match self.idempotency(message) {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => has_valid_key && scope == IdempotencyKeyScope::Region,
            Idempotency::NonIdempotent => false,
        };
        if (not_executed || repeatable) && now < message.deadline {
            host.reject_message(&message.id, self.retry_after_for_client(message.destination, now));
        } else {
            host.fail_message(&message.id);
        }
        self.remove_message(key, host);
    }

    /// Messages that can no longer be completed are answered at once: no time for an answer is left, the
    /// Retry-After of every endpoint ends too late, or an idempotency key has expired. Before the deadline they can
    /// still be rejected, which says that submitting again is harmless.
    pub(super) fn expire_messages(
        &mut self,
        now: Duration,
        host: &mut dyn PolicyHost,
        wake: &mut EarliestTime,
    ) {
        let mean_latency_seconds = self.response_times.mean_latency_seconds().unwrap_or_default();
        let answer_time = seconds(mean_latency_seconds).max(MIN_ANSWER_TIME);
        self.refresh_indices();
        let mut expired: Vec<_> = self.queue.expiring_messages(now, answer_time).into_iter().collect();
        expired.sort_by_key(|key| {
            let message = &self.messages[*key];
            (message.destination, message.queue_entry().map(|entry| entry.number))
        });
        for key in expired {
            self.finish_undelivered(key, now, host);
        }
        self.refresh_indices();
        wake.include(self.queue.next_expiry(answer_time));
    }
}
