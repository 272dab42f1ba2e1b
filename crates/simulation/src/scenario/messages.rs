//! Sections of the scenario file that describe message classes and the client programs that submit messages.

use std::time::Duration;

use reeddock::{Idempotency, IdempotencyKeyScope};
use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, Share, Span};

/// Minimum time from objective to deadline, which prevents a division by zero if the two are equal.
const MIN_LATE_PERIOD_S: f64 = 1e-9;

/// A message class: idempotency, latency objective, deadline, priority weight and work of its messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a message class")]
pub struct ClassSpec {
    /// Name of the class in settings, reports and faults.
    pub name: String,
    /// Weight of the class's traffic, relative to the other classes.
    #[serde(rename = "part", default = "defaults::factor_one")]
    pub traffic_weight: Amount,
    /// Effect of a repeated attempt.
    #[serde(rename = "effect")]
    pub idempotency: ClassIdempotency,
    /// Latency objective, counted from the first submission; over zero.
    #[serde(rename = "promised_s")]
    pub latency_objective: Span,
    /// Deadline, counted from the first submission; at least the latency objective.
    #[serde(rename = "outer_limit_s")]
    pub deadline: Span,
    /// Priority weight of a message that completes within its latency objective.
    #[serde(rename = "credit", default = "defaults::factor_one")]
    pub priority_weight: Amount,
    /// Share of the priority weight that remains at the deadline.
    #[serde(rename = "late_credit", default = "defaults::late_weight")]
    pub late_weight: Share,
    /// Decrease of the weight between objective and deadline.
    #[serde(rename = "decay", default)]
    pub late_decay: ClassDecay,
    /// Duration of the work at a destination with a work factor of 1, in milliseconds.
    pub work_ms: Distribution,
    /// Number of ordering keys in use; `None` if the messages have no order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered_keys: Option<u32>,
}

impl ClassSpec {
    /// Returns the share of the priority weight that a message with this latency earns.
    pub fn earned_part(&self, latency: Duration) -> f64 {
        let (objective, deadline) = (self.latency_objective.seconds(), self.deadline.seconds());
        let latency = latency.as_secs_f64();
        let late_weight = self.late_weight.get();
        if latency <= objective {
            return 1.0;
        }
        if latency > deadline {
            return 0.0;
        }
        match self.late_decay {
            ClassDecay::Linear => {
                let late_period = (deadline - objective).max(MIN_LATE_PERIOD_S);
                1.0 - (1.0 - late_weight) * (latency - objective) / late_period
            }
            ClassDecay::Exponential => late_weight.max(0.5_f64.powi((latency / objective).ceil() as i32 - 1)),
        }
    }
}

/// Effect of a repeated attempt for a message of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClassIdempotency {
    /// A repeated attempt has no further effect.
    #[serde(rename = "pure")]
    Idempotent,
    /// All endpoints of the destination recognize repeats by the idempotency key within this window.
    #[serde(rename = "receipted")]
    WithKey(Span),
    /// A repeated attempt takes effect again.
    #[serde(rename = "effectful")]
    NonIdempotent,
}

impl From<ClassIdempotency> for Idempotency {
    fn from(idempotency: ClassIdempotency) -> Idempotency {
        match idempotency {
            ClassIdempotency::Idempotent => Idempotency::Idempotent,
            ClassIdempotency::WithKey(window) => {
                Idempotency::WithKey { window: window.0, scope: IdempotencyKeyScope::Region }
            }
            ClassIdempotency::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

/// Decrease of a message's priority weight after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassDecay {
    /// Linear, down to the late weight at the deadline.
    #[default]
    #[serde(rename = "line")]
    Linear,
    /// Halved with each further period of the latency objective, down to the late weight.
    #[serde(rename = "halves")]
    Exponential,
}

/// A client program, which is one tenant of the forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a client program")]
pub struct Program {
    /// Name of the program, which is its tenant name.
    pub name: String,
    /// Weight of the program's traffic, relative to the other programs.
    #[serde(rename = "part", default = "defaults::factor_one")]
    pub traffic_weight: Amount,
    /// Quota in messages a second; `None` for no quota.
    #[serde(rename = "share_per_s", default, skip_serializing_if = "Option::is_none")]
    pub quota_per_s: Option<Amount>,
    /// Maximum number of times that a message is submitted again after a rejection.
    #[serde(rename = "returns", default)]
    pub max_resubmissions: u32,
    /// Delay from a rejection to the next submission, in seconds.
    #[serde(rename = "return_after_s", default = "defaults::resubmission_delay_s")]
    pub resubmission_delay_s: Distribution,
    /// Share of rejections whose Retry-After the clients honor.
    #[serde(rename = "heeds", default = "defaults::full_share")]
    pub retry_after_honored_share: Share,
    /// Time after which clients withdraw a message, in seconds; `None` if they never do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdraws_after_s: Option<Distribution>,
    /// Number of messages that are submitted together at each arrival.
    #[serde(rename = "bunch", default = "defaults::constant_one")]
    pub arrival_size: Distribution,
}
