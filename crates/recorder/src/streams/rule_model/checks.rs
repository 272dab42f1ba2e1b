//! Checks of the rules for starting an attempt.

use std::time::Duration;

use reeddock::{AttemptTimeouts, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, MessageId};

use super::records::PendingMessage;
use super::RuleModel;

/// Whether an attempt keeps one rule, and the text of the violation if not.
struct RuleCheck {
    holds: bool,
    violation: &'static str,
}

impl RuleCheck {
    fn new(holds: bool, violation: &'static str) -> RuleCheck {
        RuleCheck { holds, violation }
    }
}

impl RuleModel {
    /// Returns the texts of the rules that an attempt breaks if it starts now.
    pub(super) fn violations_by_attempt(
        &self,
        id: &MessageId,
        endpoint: EndpointId,
        timeouts: AttemptTimeouts,
    ) -> Vec<&'static str> {
        let Some(pending) = self.pending.get(id) else { return vec!["the message is not pending"] };
        let mut checks = self.check_message(pending, endpoint, timeouts);
        checks.extend(self.check_endpoint(pending, endpoint));
        checks.extend(self.check_order(pending));
        checks.into_iter().filter(|check| !check.holds).map(|check| check.violation).collect()
    }

    /// Checks that another attempt of the message is allowed, and that the attempt starts and ends in time.
    fn check_message(
        &self,
        pending: &PendingMessage,
        endpoint: EndpointId,
        timeouts: AttemptTimeouts,
    ) -> Vec<RuleCheck> {
        let now = self.now;
        let AttemptTimeouts { start_within, response_within, .. } = timeouts;
        let until_deadline = pending.deadline.saturating_sub(now);
        let until_shutdown =
            self.shutdown_deadline.map_or(Duration::MAX, |deadline| deadline.saturating_sub(now));
        let is_safe_to_repeat =
            pending.idempotency != Idempotency::NonIdempotent || pending.possibly_executed.is_none();
        let is_key_valid = pending.key_valid_until().is_none_or(|until| now + start_within <= until);
        vec![
            RuleCheck::new(pending.is_queued(), "the message is in flight or finished"),
            RuleCheck::new(
                pending.attempts < self.rules.max_attempts,
                "the message has more attempts than allowed",
            ),
            RuleCheck::new(response_within <= until_deadline, "the response timeout ends after the deadline"),
            RuleCheck::new(
                start_within <= response_within.min(until_shutdown),
                "the attempt can start after its response timeout or the shutdown",
            ),
            RuleCheck::new(is_safe_to_repeat, "a message that is not idempotent can be executed twice"),
            RuleCheck::new(is_key_valid, "the idempotency key can expire before the attempt starts"),
            RuleCheck::new(
                self.recognizes_key(pending, endpoint),
                "the endpoint is in a zone that doesn't recognize the idempotency key",
            ),
        ]
    }

    /// Checks that the endpoint accepts attempts for the message's destination.
    fn check_endpoint(&self, pending: &PendingMessage, endpoint: EndpointId) -> [RuleCheck; 3] {
        let known = self.endpoints.get(&endpoint);
        let is_active = known.is_some_and(|known| known.state == EndpointState::Active);
        let is_of_destination = known.is_some_and(|known| known.destination == pending.destination);
        let honors_retry_after = known.is_none_or(|known| self.now >= known.retry_after_until);
        [
            RuleCheck::new(is_active, "the endpoint is not active"),
            RuleCheck::new(is_of_destination, "the endpoint belongs to another destination"),
            RuleCheck::new(honors_retry_after, "the endpoint's Retry-After has not expired"),
        ]
    }

    /// Checks that no other message of the same ordering key has to be delivered first.
    fn check_order(&self, pending: &PendingMessage) -> [RuleCheck; 2] {
        let is_earlier = |other: &PendingMessage| {
            pending.ordering_key.is_some()
                && other.ordering_key == pending.ordering_key
                && other.submission_number < pending.submission_number
        };
        let hold_off = pending.ordering_key.and_then(|key| self.hold_offs.get(&key));
        let is_key_free = hold_off
            .is_none_or(|held| self.now >= held.until || held.message_number == pending.submission_number);
        [
            RuleCheck::new(
                !self.pending.values().any(is_earlier),
                "an earlier message with the same ordering key is not finished",
            ),
            RuleCheck::new(
                is_key_free,
                "the ordering key's hold-off after an attempt of another message has not expired",
            ),
        ]
    }

    /// Returns whether the endpoint recognizes the idempotency key of a message that another endpoint may
    /// have executed. Messages without a zonal idempotency key always pass.
    fn recognizes_key(&self, pending: &PendingMessage, endpoint: EndpointId) -> bool {
        let is_zonal =
            matches!(pending.idempotency, Idempotency::WithKey { scope: IdempotencyKeyScope::Zone, .. });
        let Some(executed) = pending.possibly_executed.filter(|_| is_zonal) else { return true };
        let zone = |id| self.endpoints.get(&id).map(|known| &known.zone);
        executed.endpoint == endpoint || zone(executed.endpoint) == zone(endpoint)
    }
}
