//! The policies that a run may be asked for by name.

use std::time::Duration;

use reeddock::{PolicyHost, Settings};

use super::baseline_host::BaselineHost;
use super::baselines::{ExponentialBackoff, OneAttempt, RoundRobinBreaker, UpperBound};
use super::delivery_policy::DeliveryPolicyAdapter;
use crate::policy::Policy;

/// The policies that a run may be asked for by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BuiltInPolicy {
    /// The delivery policy.
    DeliveryPolicy,
    /// One attempt for each message, in the order of arrival.
    OneAttempt,
    /// Retries with exponential, jittered backoff.
    ExponentialBackoff,
    /// Round robin with a circuit breaker of three states for each endpoint, and retries.
    RoundRobinBreaker,
    /// Sees the true state of all destinations; a measure of what could be reached and no bound proved.
    UpperBound,
}

impl BuiltInPolicy {
    /// All of them, in the order in which tables show them.
    pub const ALL: [BuiltInPolicy; 5] = [
        BuiltInPolicy::DeliveryPolicy,
        BuiltInPolicy::OneAttempt,
        BuiltInPolicy::ExponentialBackoff,
        BuiltInPolicy::RoundRobinBreaker,
        BuiltInPolicy::UpperBound,
    ];

    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            BuiltInPolicy::DeliveryPolicy => "module",
            BuiltInPolicy::OneAttempt => "one-try",
            BuiltInPolicy::ExponentialBackoff => "back-off",
            BuiltInPolicy::RoundRobinBreaker => "breaker",
            BuiltInPolicy::UpperBound => "ceiling",
        }
    }

    /// The policy of a name.
    pub fn from_name(name: &str) -> Option<BuiltInPolicy> {
        BuiltInPolicy::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Makes the instance of a forwarder that starts now.
    pub fn create(self, now: Duration, settings: Settings, host: &mut dyn PolicyHost) -> Box<dyn Policy> {
        match self {
            BuiltInPolicy::DeliveryPolicy => Box::new(DeliveryPolicyAdapter::new(now, settings, host)),
            BuiltInPolicy::OneAttempt => Box::new(BaselineHost::new(settings, OneAttempt)),
            BuiltInPolicy::ExponentialBackoff => Box::new(BaselineHost::new(settings, ExponentialBackoff)),
            BuiltInPolicy::RoundRobinBreaker => {
                Box::new(BaselineHost::new(settings, RoundRobinBreaker::default()))
            }
            BuiltInPolicy::UpperBound => Box::new(BaselineHost::new(settings, UpperBound::default())),
        }
    }
}
