//! The retry budget of each endpoint: completions earn retries, retries spend them.

use std::time::Duration;

use super::capacity_share::MIN_RATE;
use super::{seconds, DeliveryPolicy};
use crate::state::{Endpoint, EndpointUsage, Message};

/// Retry tokens that an endpoint has with all forwarders together before its first completion.
const RETRY_BUDGET_INITIAL: f64 = 6.0;
/// Most retry tokens that an endpoint has with one forwarder.
const RETRY_BUDGET_MAX: f64 = 5.0;
/// Retry tokens that one completion earns.
const RETRY_BUDGET_PER_ANSWER: f64 = 0.25;

/// The initial tokens of an endpoint with one of so many forwarders.
pub(super) fn initial_retry_tokens(forwarders: f64) -> f64 {
    (RETRY_BUDGET_INITIAL / forwarders).min(RETRY_BUDGET_MAX)
}

impl EndpointUsage {
    /// A completion earns a fraction of a retry.
    pub(super) fn earn_retry_tokens(&mut self, initial: f64) {
        let tokens = self.retry_tokens().unwrap_or(initial);
        self.set_retry_tokens((tokens + RETRY_BUDGET_PER_ANSWER).min(RETRY_BUDGET_MAX));
    }

    /// A retry has been sent.
    pub(super) fn spend_retry_token(&mut self, initial: f64) {
        let tokens = self.retry_tokens().unwrap_or(initial);
        self.set_retry_tokens((tokens - 1.0).max(0.0));
    }
}

impl DeliveryPolicy {
    /// Whether a message may go to an endpoint by its retry budget: a retry needs a token, or that nothing was sent
    /// there for a while. A message that was not executed may also go by the pacing alone in a large fleet or with
    /// much traffic, and otherwise after the mean interval between messages.
    pub(super) fn may_retry(&self, message: &Message, endpoint: &Endpoint, now: Duration) -> bool {
        let usage = endpoint.usage();
        if message.attempts() == 0
            || usage.retry_tokens().unwrap_or(self.parameters.initial_retry_tokens) >= 1.0
        {
            return true;
        }
        let baseline = self.baseline_rate(endpoint, now).max(MIN_RATE);
        let latency_objective = self.parameters.classes[message.class].latency_objective;
        let idle = now.saturating_sub(usage.last_sent());
        if message.possible_execution().is_some() {
            return idle >= self.parameters.recovery_delay;
        }
        baseline * latency_objective.as_secs_f64() >= 1.0
            || self.parameters.has_sparse_traffic
            || idle >= seconds(1.0 / baseline)
    }
}
