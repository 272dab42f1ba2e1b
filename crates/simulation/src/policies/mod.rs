//! The delivery policy and the baselines that it is measured against.

mod baseline_host;
mod baseline_policies;
mod module;
pub mod sharing;

use std::time::Duration;

use reeddock::{PolicyHost, Settings};

use crate::policy::Policy;

pub use module::DeliveryPolicyAdapter;

/// The policies that a run may be asked for by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BuiltInPolicy {
    /// The decision module.
    DeliveryPolicy,
    /// Each message once, in the order of arrival.
    OneTry,
    /// Retries with doubling, jittered back-off.
    BackOff,
    /// Round robin with a breaker of three states for each endpoint, and retries.
    Breaker,
    /// Sees the true state of all destinations; a measure of what could be reached and no bound proved.
    UpperBound,
}

impl BuiltInPolicy {
    pub const ALL: [BuiltInPolicy; 5] = [
        BuiltInPolicy::DeliveryPolicy,
        BuiltInPolicy::OneTry,
        BuiltInPolicy::BackOff,
        BuiltInPolicy::Breaker,
        BuiltInPolicy::UpperBound,
    ];

    pub fn name(self) -> &'static str {
        match self {
            BuiltInPolicy::DeliveryPolicy => "module",
            BuiltInPolicy::OneTry => "one-try",
            BuiltInPolicy::BackOff => "back-off",
            BuiltInPolicy::Breaker => "breaker",
            BuiltInPolicy::UpperBound => "ceiling",
        }
    }

    pub fn named(name: &str) -> Option<BuiltInPolicy> {
        BuiltInPolicy::ALL.into_iter().find(|k| k.name() == name)
    }

    pub fn open(self, now: Duration, terms: Settings, host: &mut dyn PolicyHost) -> Box<dyn Policy> {
        match self {
            BuiltInPolicy::DeliveryPolicy => Box::new(DeliveryPolicyAdapter::open(now, terms, host)),
            BuiltInPolicy::OneTry => {
                Box::new(baseline_host::BaselineHost::open(terms, baseline_policies::OneTry))
            }
            BuiltInPolicy::BackOff => {
                Box::new(baseline_host::BaselineHost::open(terms, baseline_policies::BackOff))
            }
            BuiltInPolicy::Breaker => {
                Box::new(baseline_host::BaselineHost::open(terms, baseline_policies::Breaker::default()))
            }
            BuiltInPolicy::UpperBound => {
                Box::new(baseline_host::BaselineHost::open(terms, baseline_policies::UpperBound::default()))
            }
        }
    }
}
