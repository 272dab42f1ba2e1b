//! Checks at the start of an attempt, and the record of its end.

use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointState, Idempotency};

use super::checker::{InvariantChecker, RetryAfterId};
use super::history::{AttemptHistory, MessageHistory, ReportedOutcome};
use super::text::StateText;
use super::violation::RetryAfterScope;
use crate::ids::{EndpointIndex, ForwarderIndex, MessageIndex};
use crate::rule::Rule;

/// The end of an attempt as its forwarder learns of it.
pub(crate) struct EndedAttempt {
    pub(crate) message: MessageIndex,
    /// Number of the attempt within its message.
    pub(crate) number: usize,
    pub(crate) outcome: AttemptOutcome,
    /// Scope of a Retry-After in the outcome.
    pub(crate) scope: RetryAfterScope,
}

/// A rule that an attempt breaks, with a description.
struct BrokenRule {
    rule: Rule,
    description: String,
}

impl BrokenRule {
    fn new(rule: Rule, description: impl Into<String>) -> BrokenRule {
        BrokenRule { rule, description: description.into() }
    }
}

impl InvariantChecker {
    /// Records the start of an attempt, and checks the rules for attempts. `scopes` are the scopes in which a
    /// Retry-After forbids the attempt.
    pub(crate) fn record_attempt_start(
        &mut self,
        now: Duration,
        message: MessageIndex,
        endpoint: EndpointIndex,
        scopes: [RetryAfterScope; 2],
    ) {
        let history = &self.histories[message.0];
        let (forwarder, ordering_key) = (history.message.forwarder, history.message.ordering_key);
        let mut broken: Vec<BrokenRule> = Vec::new();
        broken.extend(check_not_answered(history, endpoint));
        broken.extend(self.check_repeated_effect(now, history));
        broken.extend(self.check_endpoint_list(now, forwarder, endpoint));
        broken.extend(scopes.iter().filter_map(|scope| self.check_retry_after(now, forwarder, *scope)));
        let blocker = ordering_key.and_then(|key| self.find_order_blocker(now, forwarder, key, message));
        broken.extend(blocker.map(|description| BrokenRule::new(Rule::Order, description)));
        for BrokenRule { rule, description } in broken {
            self.record_violation(rule, now, Some(message), description);
        }
        self.histories[message.0].attempts.push(AttemptHistory { started_at: now, endpoint, ended: None });
    }

    /// Checks that a new attempt cannot repeat an effect.
    fn check_repeated_effect(&self, now: Duration, history: &MessageHistory) -> Option<BrokenRule> {
        let first = history.first_possible_execution()?;
        match self.fleet.classes[history.message.class].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => {
                let description = "effectful, sent again though it may have run";
                Some(BrokenRule::new(Rule::NoDoubleEffect, description))
            }
            Idempotency::WithKey { window, .. } if now >= first + window => {
                let description = "receipted, sent again after its window";
                Some(BrokenRule::new(Rule::NoDoubleEffect, description))
            }
            Idempotency::WithKey { .. } => None,
        }
    }

    /// Checks that an endpoint is listed as active, or that its grace period has not ended.
    fn check_endpoint_list(
        &self,
        now: Duration,
        forwarder: ForwarderIndex,
        endpoint: EndpointIndex,
    ) -> Option<BrokenRule> {
        let Some(listed) = self.endpoint_lists[forwarder.0].get(&endpoint) else {
            let description = format!("target {} was in none of its lists", endpoint.0);
            return Some(BrokenRule::new(Rule::Drains, description));
        };
        if listed.state == EndpointState::Active || now <= listed.since + self.fleet.drain_grace {
            return None;
        }
        let since = listed.since.as_secs_f64();
        let description = format!("target {} is {}, told at {since:.6}", endpoint.0, StateText(listed.state));
        Some(BrokenRule::new(Rule::Drains, description))
    }

    /// Checks that no Retry-After applies to a scope.
    fn check_retry_after(
        &self,
        now: Duration,
        forwarder: ForwarderIndex,
        scope: RetryAfterScope,
    ) -> Option<BrokenRule> {
        let until = self.retry_after.get(&RetryAfterId { forwarder, scope }).filter(|until| now < **until)?;
        let description = format!("{scope} asked it to wait until {:.6}", until.as_secs_f64());
        Some(BrokenRule::new(Rule::RetryAfterHonored, description))
    }

    /// Records the end of an attempt, of which the forwarder learns at `now`.
    pub(crate) fn record_attempt_end(&mut self, now: Duration, ended: EndedAttempt) {
        let EndedAttempt { message, number, outcome, scope } = ended;
        let history = &mut self.histories[message.0];
        if let Some(attempt) = history.attempts.get_mut(number) {
            attempt.ended = Some(ReportedOutcome { outcome, at: now });
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            let received = RetryAfterId { forwarder: history.message.forwarder, scope };
            let until = self.retry_after.entry(received).or_default();
            *until = (*until).max(now + wait);
        }
    }
}

/// Checks that a message for which an attempt starts has no final answer.
fn check_not_answered(history: &MessageHistory, endpoint: EndpointIndex) -> Option<BrokenRule> {
    let given = history.answer?;
    let at = given.at.as_secs_f64();
    let description = format!("sent to target {} after {} at {at:.6}", endpoint.0, given.answer);
    Some(BrokenRule::new(Rule::OneAnswer, description))
}
