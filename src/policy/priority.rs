//! Priority weights of messages, which decrease over time once a message is late.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::LateDecay;
use crate::state::{ClassParameters, Message};

/// Minimum time, in seconds, over which a weight decays; prevents a division by zero.
const MIN_DECAY_SPAN_SECONDS: f64 = 0.001;

impl DeliveryPolicy {
    /// Returns the current priority weight of a message: the weight of its class, reduced if the message is
    /// late or over its tenant's quota.
    pub(super) fn priority(&self, message: &Message, now: Duration) -> f64 {
        let class = &self.parameters.classes[message.class];
        let late_seconds = now.saturating_sub(message.objective_ends_at()).as_secs_f64();
        let remaining_weight_share = match self.parameters.late_decay {
            LateDecay::Exponential => exponential_decay(class, late_seconds),
            LateDecay::Linear => linear_decay(class, late_seconds),
        };
        let quota_share = if message.over_quota { self.parameters.over_quota_weight } else { 1.0 };
        class.priority_weight * remaining_weight_share * quota_share
    }
}

/// Returns the share of the weight that is left `late_seconds` after the objective. The share halves in
/// each further span as long as the latency objective, down to the class's late weight.
fn exponential_decay(class: &ClassParameters, late_seconds: f64) -> f64 {
    0.5_f64
        .powf(late_seconds / class.latency_objective.as_secs_f64().max(MIN_DECAY_SPAN_SECONDS))
        .max(class.late_weight)
}

/// Returns the share of the weight that is left `late_seconds` after the objective. The share falls evenly
/// until the deadline.
fn linear_decay(class: &ClassParameters, late_seconds: f64) -> f64 {
    let span_seconds =
        class.deadline.saturating_sub(class.latency_objective).as_secs_f64().max(MIN_DECAY_SPAN_SECONDS);
    1.0 - (1.0 - class.late_weight) * (late_seconds / span_seconds).min(1.0)
}
