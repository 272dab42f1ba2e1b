//! The delivery policy and the baselines that it is measured against.

mod baseline_host;
mod baseline_ordering;
mod baseline_policy;
mod baseline_sending;
mod baselines;
mod built_in;
mod delivery_policy;
pub mod sharing;

pub use built_in::BuiltInPolicy;
pub use delivery_policy::DeliveryPolicyAdapter;
