//! Retry budget of each endpoint: completions earn retry tokens, and retries spend them.

use std::time::Duration;

use super::capacity_share::MIN_RATE;
use super::{duration_from_seconds, DeliveryPolicy};
use crate::state::{Endpoint, EndpointUsage, Message};

/// Retry tokens of an endpoint before its first completion, summed over all forwarders.
const INITIAL_RETRY_TOKENS: f64 = 6.0;
/// Maximum number of retry tokens of an endpoint at one forwarder.
const MAX_RETRY_TOKENS: f64 = 5.0;
/// Retry tokens that one completion earns.
const RETRY_TOKENS_PER_COMPLETION: f64 = 0.25;

/// Returns the initial retry tokens of an endpoint at one of `forwarders` forwarders.
pub(super) fn initial_retry_tokens(forwarders: f64) -> f64 {
    (INITIAL_RETRY_TOKENS / forwarders).min(MAX_RETRY_TOKENS)
}

impl EndpointUsage {
    /// Adds the retry tokens that one completion earns. An endpoint without recorded tokens begins with
    /// `initial_tokens`.
    pub(super) fn earn_retry_tokens(&mut self, initial_tokens: f64) {
        let tokens = self.retry_tokens().unwrap_or(initial_tokens);
        self.set_retry_tokens((tokens + RETRY_TOKENS_PER_COMPLETION).min(MAX_RETRY_TOKENS));
    }

    /// Removes the retry token that one retry spends. An endpoint without recorded tokens begins with
    /// `initial_tokens`.
    pub(super) fn spend_retry_token(&mut self, initial_tokens: f64) {
        let tokens = self.retry_tokens().unwrap_or(initial_tokens);
        self.set_retry_tokens((tokens - 1.0).max(0.0));
    }
}

impl DeliveryPolicy {
    /// Returns whether the retry budget of an endpoint allows an attempt. Only retries need a token.
    ///
    /// Without a token, a message that may have been executed is retried once the endpoint got no request for
    /// `recovery_delay`. Any other message is retried after the mean interval between messages; in a large
    /// fleet or with much traffic, only pacing delays it.
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
            || idle >= duration_from_seconds(1.0 / baseline)
    }
}
