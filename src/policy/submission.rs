//! Submissions: the class, the latency objective and the quota of a new message.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{NewMessage, PolicyHost};
use crate::state::{Message, MessageTimes};

/// A tenant may submit so many seconds of its quota at once.
const QUOTA_BURST_SECONDS: f64 = 2.0;

impl DeliveryPolicy {
    /// A message has been submitted; it gets one final answer from here on. One of an unknown class is failed.
    pub fn submit(&mut self, now: Duration, message: NewMessage, host: &mut dyn PolicyHost) {
        let NewMessage { id, class, tenant, ordering_key, deadline, destination } = message;
        let Some(class) = self.parameters.classes.iter().position(|known| known.name == class) else {
            host.fail_message(&id);
            return;
        };
        let ordering_key = ordering_key.filter(|_| self.parameters.classes[class].ordered);
        let times = MessageTimes { objective_at: self.objective_at(class, deadline, now), deadline };
        let tenant =
            tenant.and_then(|name| self.parameters.tenants.iter().position(|known| known.name == name));
        let over_quota = tenant.is_some_and(|tenant| self.spend_quota(tenant, now));
        self.accept(Message::new(id, class, ordering_key, destination, times, over_quota), now);
    }

    /// Until when a message has its full weight. It is counted back from the deadline, and so from the first
    /// submission where a client submits again. A message that has no more time left than its class's latency
    /// objective has its full weight until its deadline.
    fn objective_at(&self, class: usize, deadline: Duration, now: Duration) -> Duration {
        let class = &self.parameters.classes[class];
        let lifetime =
            if now + class.latency_objective < deadline { class.deadline } else { class.latency_objective };
        deadline.saturating_sub(lifetime.saturating_sub(class.latency_objective))
    }

    /// Counts a message against its tenant's quota; returns whether it is over the quota. A forwarder sees only its
    /// own part of the traffic and does not know how that is spread, so it compares with the whole quota: what is
    /// over that here is over it everywhere.
    fn spend_quota(&mut self, tenant: usize, now: Duration) -> bool {
        let quota = self.parameters.tenants[tenant].messages_per_second;
        !self.tenants.try_take_token(tenant, quota, quota.max(1.0) * QUOTA_BURST_SECONDS, now)
    }
}
