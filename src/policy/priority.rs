//! The priority weight of a message at one moment.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::LateDecay;
use crate::state::{ClassParameters, Message};

/// The least span, in seconds, that lateness is compared with.
const MIN_SPAN: f64 = 0.001;

impl DeliveryPolicy {
    /// The priority weight of a message now: that of its class, reduced if it is late or over its tenant's quota.
    pub(super) fn priority(&self, message: &Message, now: Duration) -> f64 {
        let class = &self.parameters.classes[message.class];
        let late = now.saturating_sub(message.objective_at()).as_secs_f64();
        let left = match self.parameters.late_decay {
            LateDecay::Exponential => exponential_decay(class, late),
            LateDecay::Linear => linear_decay(class, late),
        };
        let quota = if message.over_quota { self.parameters.over_quota_weight } else { 1.0 };
        class.priority_weight * left * quota
    }
}

/// Share of the weight that is left so many seconds after the objective, which halves with each further objective.
fn exponential_decay(class: &ClassParameters, late: f64) -> f64 {
    0.5_f64.powf(late / class.latency_objective.as_secs_f64().max(MIN_SPAN)).max(class.late_weight)
}

/// Share of the weight that is left so many seconds after the objective, which falls evenly to the deadline.
fn linear_decay(class: &ClassParameters, late: f64) -> f64 {
    let span = class.deadline.saturating_sub(class.latency_objective).as_secs_f64().max(MIN_SPAN);
    1.0 - (1.0 - class.late_weight) * (late / span).min(1.0)
}
