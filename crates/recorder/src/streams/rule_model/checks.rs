//! The rules for a new attempt.

use std::time::Duration;

use reeddock::{AttemptTimeouts, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, MessageId};

use super::records::PendingMessage;
use super::RuleModel;

/// One rule for an attempt: whether this attempt keeps it, and what is said if it does not.
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
    /// What is wrong with an attempt that the policy starts now.
    pub(super) fn rules_broken_by_attempt(
        &self,
        id: &MessageId,
        endpoint: EndpointId,
        timeouts: AttemptTimeouts,
    ) -> Vec<&'static str> {
        let Some(pending) = self.pending.get(id) else { return vec!["sent, and is not pending"] };
        let mut checks = self.checks_of_message(pending, endpoint, timeouts);
        checks.extend(self.checks_of_endpoint(pending, endpoint));
        checks.extend(self.checks_of_order(pending));
        checks.into_iter().filter(|check| !check.holds).map(|check| check.violation).collect()
    }

    /// Whether the message may be sent, and in time.
    fn checks_of_message(
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
        let is_repeatable =
            pending.idempotency != Idempotency::NonIdempotent || pending.possibly_executed.is_none();
        let is_key_valid = pending.key_valid_until().is_none_or(|until| now + start_within <= until);
        vec![
            RuleCheck::new(pending.is_queued(), "sent while in flight or finished"),
            RuleCheck::new(pending.attempts < self.rules.max_attempts, "more attempts than allowed"),
            // Past its deadline no time is left, and an attempt without time to start never leaves.
            RuleCheck::new(response_within <= until_deadline, "its timeout is past its deadline"),
            RuleCheck::new(start_within <= response_within.min(until_shutdown), "it may start too late"),
            RuleCheck::new(is_repeatable, "it may have its effect twice"),
            RuleCheck::new(is_key_valid, "its idempotency key expires before it starts"),
            RuleCheck::new(
                self.is_recognized(pending, endpoint),
                "another zone does not know its idempotency key",
            ),
        ]
    }

    /// Whether attempts may go to the endpoint.
    fn checks_of_endpoint(&self, pending: &PendingMessage, endpoint: EndpointId) -> [RuleCheck; 3] {
        let known = self.endpoints.get(&endpoint);
        let is_active = known.is_some_and(|known| known.state == EndpointState::Active);
        let is_of_destination = known.is_some_and(|known| known.destination == pending.destination);
        let honors_retry_after = known.is_none_or(|known| self.now >= known.retry_after);
        [
            RuleCheck::new(is_active, "the endpoint is not active"),
            RuleCheck::new(is_of_destination, "the endpoint is of another destination"),
            RuleCheck::new(honors_retry_after, "its Retry-After has not passed"),
        ]
    }

    /// Whether it is the turn of the message within its ordering key.
    fn checks_of_order(&self, pending: &PendingMessage) -> [RuleCheck; 2] {
        let is_before = |other: &PendingMessage| {
            pending.key.is_some() && other.key == pending.key && other.number < pending.number
        };
        let hold_off = pending.key.and_then(|key| self.hold_offs.get(&key));
        let is_free = hold_off.is_none_or(|held| self.now >= held.until || held.holder == pending.number);
        [
            RuleCheck::new(
                !self.pending.values().any(is_before),
                "an earlier message of its ordering key is not finished",
            ),
            RuleCheck::new(is_free, "its ordering key is held"),
        ]
    }

    /// Whether the endpoint would recognize a message that may have been executed elsewhere.
    fn is_recognized(&self, pending: &PendingMessage, endpoint: EndpointId) -> bool {
        let is_zonal =
            matches!(pending.idempotency, Idempotency::WithKey { scope: IdempotencyKeyScope::Zone, .. });
        let Some(executed) = pending.possibly_executed.filter(|_| is_zonal) else { return true };
        let zone = |id| self.endpoints.get(&id).map(|known| &known.zone);
        executed.endpoint == endpoint || zone(executed.endpoint) == zone(endpoint)
    }
}
