//! Final answers without delivery, for messages that can no longer be completed.

use std::time::Duration;

use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{Idempotency, IdempotencyKeyScope, PolicyHost};
use crate::message_key::MessageKey;
use crate::state::EarliestTime;

/// Minimum time that a response is expected to take.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(10);

impl DeliveryPolicy {
    /// Returns whether every further attempt is ruled out, whatever the state of the destination: the
    /// attempts or the time are used up, or a non-idempotent message may have been executed.
    pub(super) fn cannot_be_sent(&self, key: MessageKey, now: Duration) -> bool {
        let Some(message) = self.messages.get(key) else { return true };
        message.attempts() >= self.parameters.max_attempts
            || now >= message.deadline
            || (self.idempotency(message) == Idempotency::NonIdempotent
                && message.possible_execution().is_some())
    }

    /// Gives the final answer for an undelivered message: rejected if submitting it again is harmless, failed
    /// otherwise.
    pub(super) fn finish_undelivered(&mut self, key: MessageKey, now: Duration, host: &mut dyn PolicyHost) {
        let Some(message) = self.messages.get(key) else { return };
        let not_executed = message.possible_execution().is_none() && message.in_flight().is_empty();
        let has_valid_key = message.possible_execution().is_some() && now < self.key_valid_until(message);
        let is_repeatable = match self.idempotency(message) {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => has_valid_key && scope == IdempotencyKeyScope::Region,
            Idempotency::NonIdempotent => false,
        };
        if (not_executed || is_repeatable) && now < message.deadline {
            host.reject_message(&message.id, self.retry_after_for_client(message.destination, now));
        } else {
            host.fail_message(&message.id);
        }
        self.remove_message(key, host);
    }

    /// Gives a final answer to queued messages that can no longer be completed: too little time is left for a
    /// response, the Retry-After of every endpoint ends too late, or an idempotency key has expired. Before the
    /// deadline a message can still be rejected, which says that submitting it again is harmless.
    pub(super) fn expire_messages(
        &mut self,
        now: Duration,
        host: &mut dyn PolicyHost,
        wake: &mut EarliestTime,
    ) {
        let mean_latency_seconds = self.response_times.mean_latency_seconds().unwrap_or_default();
        let response_time = duration_from_seconds(mean_latency_seconds).max(MIN_RESPONSE_TIME);
        self.refresh_indices();
        let mut expired: Vec<_> = self.queue.expiring_messages(now, response_time).into_iter().collect();
        expired.sort_by_key(|key| {
            let message = &self.messages[*key];
            (message.destination, message.queue_entry().map(|entry| entry.number))
        });
        for key in expired {
            self.finish_undelivered(key, now, host);
        }
        self.refresh_indices();
        wake.include(self.queue.next_expiry(response_time));
    }
}
