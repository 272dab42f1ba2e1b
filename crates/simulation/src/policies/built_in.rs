//! Policies that can be selected by name.

use std::time::Duration;

use reeddock::{PolicyHost, Settings};

use super::baseline_host::BaselineHost;
use super::baselines::{ExponentialBackoff, OneAttempt, RoundRobinBreaker, UpperBound};
use super::delivery_policy::DeliveryPolicyAdapter;
use crate::policy::Policy;

/// A policy that can be selected by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BuiltInPolicy {
    /// The delivery policy of the forwarder.
    DeliveryPolicy,
    /// One attempt for each message, in the order of arrival; only attempts that were not sent are retried.
    OneAttempt,
    /// Retries with exponential, jittered backoff.
    ExponentialBackoff,
    /// Round robin with a circuit breaker for each endpoint, and retries with backoff.
    RoundRobinBreaker,
    /// Selects endpoints by their true state. Estimates the best possible result, without proof of a bound.
    UpperBound,
}

impl BuiltInPolicy {
    /// All policies, in the order in which tables of results list them.
    pub const ALL: [BuiltInPolicy; 5] = [
        BuiltInPolicy::DeliveryPolicy,
        BuiltInPolicy::OneAttempt,
        BuiltInPolicy::ExponentialBackoff,
        BuiltInPolicy::RoundRobinBreaker,
        BuiltInPolicy::UpperBound,
    ];

    /// Returns the name of the policy on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            BuiltInPolicy::DeliveryPolicy => "module",
            BuiltInPolicy::OneAttempt => "one-try",
            BuiltInPolicy::ExponentialBackoff => "back-off",
            BuiltInPolicy::RoundRobinBreaker => "breaker",
            BuiltInPolicy::UpperBound => "ceiling",
        }
    }

    /// Returns the policy with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<BuiltInPolicy> {
        BuiltInPolicy::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Creates the policy of a forwarder that starts at `now`.
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
