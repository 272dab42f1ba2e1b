//! Sections of the scenario file on messages: their classes and the client programs that submit them.

use std::time::Duration;

use reeddock::{Idempotency, IdempotencyKeyScope};
use serde::{Deserialize, Serialize};

use super::defaults;
use crate::distribution::{Amount, Distribution, Share, Span};

/// Guards the division by the time between objective and deadline where the two are equal, in seconds.
const MIN_LATE_PERIOD: f64 = 1e-9;

/// A message class: the priority weight of its messages, how long they may take, and how much work they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a category")]
pub struct ClassSpec {
    /// Name in settings, reports and faults.
    pub name: String,
    /// Part of all messages, against the other classes' parts.
    #[serde(rename = "part", default = "defaults::one_amount")]
    pub traffic_weight: Amount,
    /// What a further attempt may do.
    #[serde(rename = "effect")]
    pub idempotency: ClassIdempotency,
    /// Latency objective, from the first submission.
    #[serde(rename = "promised_s")]
    pub latency_objective: Span,
    /// Deadline, from the first submission.
    #[serde(rename = "outer_limit_s")]
    pub deadline: Span,
    /// Priority weight that a message earns which completes within its latency objective.
    #[serde(rename = "credit", default = "defaults::one_amount")]
    pub priority_weight: Amount,
    /// Part of the priority weight that is left at the deadline.
    #[serde(rename = "late_credit", default = "defaults::late_weight")]
    pub late_weight: Share,
    /// How the weight falls between objective and deadline.
    #[serde(rename = "decay", default)]
    pub late_decay: ClassDecay,
    /// Work at a destination of usual speed, in milliseconds.
    pub work_ms: Distribution,
    /// Number of ordering keys in use; absent where messages have no order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered_keys: Option<u32>,
}

impl ClassSpec {
    /// Part of the priority weight that a message earns which completes with this latency after its first submission.
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
                let late_period = (deadline - objective).max(MIN_LATE_PERIOD);
                1.0 - (1.0 - late_weight) * (latency - objective) / late_period
            }
            ClassDecay::Exponential => late_weight.max(0.5_f64.powi((latency / objective).ceil() as i32 - 1)),
        }
    }
}

/// What a further attempt for a message of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClassIdempotency {
    /// A repeat does no harm.
    #[serde(rename = "pure")]
    Idempotent,
    /// Every endpoint of the destination recognizes a repeat by its idempotency key, within this window.
    #[serde(rename = "receipted")]
    WithKey(Span),
    /// A repeat has its effect a second time.
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

/// How the priority weight of a message falls after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassDecay {
    /// Evenly, down to the late weight at the deadline.
    #[default]
    #[serde(rename = "line")]
    Linear,
    /// By half with each further objective's time, to the late weight at least.
    #[serde(rename = "halves")]
    Exponential,
}

/// A client program, which is a tenant of the forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a table of a program")]
pub struct Program {
    /// Name of the tenant.
    pub name: String,
    /// Part of all messages, against the other programs' parts.
    #[serde(rename = "part", default = "defaults::one_amount")]
    pub traffic_weight: Amount,
    /// Messages a second inside its quota; absent where it has none.
    #[serde(rename = "share_per_s", default, skip_serializing_if = "Option::is_none")]
    pub quota_per_s: Option<Amount>,
    /// How often it submits a message again after a rejection.
    #[serde(rename = "returns", default)]
    pub max_resubmissions: u32,
    /// From a rejection to the next submission, in seconds.
    #[serde(rename = "return_after_s", default = "defaults::resubmission_delay")]
    pub resubmission_delay_s: Distribution,
    /// Share of its clients that honor Retry-After.
    #[serde(rename = "heeds", default = "defaults::all")]
    pub retry_after_honored_share: Share,
    /// Seconds after which its clients withdraw a message; absent where they never do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdraws_after_s: Option<Distribution>,
    /// Messages at once at each arrival.
    #[serde(rename = "bunch", default = "defaults::constant_one")]
    pub arrival_size: Distribution,
}
