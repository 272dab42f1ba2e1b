//! Submission of new messages: class, latency objective and quota.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{NewMessage, PolicyHost};
use crate::state::{Message, MessageTimes};

/// Maximum burst of a tenant, in seconds of its quota.
const QUOTA_BURST_SECONDS: f64 = 2.0;

impl DeliveryPolicy {
    /// Accepts a submitted message, which gets exactly one final answer. A message of an unknown class fails
    /// at once.
    pub fn submit(&mut self, now: Duration, message: NewMessage, host: &mut dyn PolicyHost) {
        let NewMessage { id, class, tenant, ordering_key, deadline, destination } = message;
        let Some(class) = self.parameters.classes.iter().position(|known| known.name == class) else {
            host.fail_message(&id);
            return;
        };
        let ordering_key = ordering_key.filter(|_| self.parameters.classes[class].ordered);
        let times =
            MessageTimes { objective_ends_at: self.objective_ends_at(class, deadline, now), deadline };
        let tenant =
            tenant.and_then(|name| self.parameters.tenants.iter().position(|known| known.name == name));
        let over_quota = tenant.is_some_and(|tenant| self.spend_quota(tenant, now));
        self.accept(Message::new(id, class, ordering_key, destination, times, over_quota), now);
    }

    /// Returns the time until which a message has its full priority weight. The time is counted back from the
    /// deadline, so that a client's repeated submission does not extend it. A message with less time left
    /// than its latency objective keeps its full weight until its deadline.
    fn objective_ends_at(&self, class: usize, deadline: Duration, now: Duration) -> Duration {
        let class = &self.parameters.classes[class];
        let lifetime =
            if now + class.latency_objective < deadline { class.deadline } else { class.latency_objective };
        deadline.saturating_sub(lifetime.saturating_sub(class.latency_objective))
    }

    /// Counts a message against its tenant's quota, and returns whether the quota is exceeded. Each forwarder
    /// applies the whole quota, because the spread of the traffic over forwarders is not known: what exceeds the
    /// quota at one forwarder exceeds it everywhere.
    fn spend_quota(&mut self, tenant: usize, now: Duration) -> bool {
        let quota = self.parameters.tenants[tenant].messages_per_second;
        !self.tenant_token_buckets.try_take_token(tenant, quota, quota.max(1.0) * QUOTA_BURST_SECONDS, now)
    }
}
