//! Policies of the simulation: the delivery policy and the baselines that it is compared with.

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
