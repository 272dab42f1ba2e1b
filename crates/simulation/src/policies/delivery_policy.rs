//! Adapter that runs the delivery policy as a [`Policy`] of the simulation.

use std::time::Duration;

use reeddock::{
    DeliveryPolicy, EndpointId, FinishedAttempt, MessageId, NewMessage, PeerId, PolicyHost, PreviousAttempt,
    Settings,
};

use crate::policy::{EndpointListUpdate, Policy, Submission, WorldView};

/// The delivery policy as a [`Policy`] of the simulation.
pub struct DeliveryPolicyAdapter(DeliveryPolicy);

impl DeliveryPolicyAdapter {
    /// Creates the delivery policy of a forwarder that starts at `now`.
    pub fn new(now: Duration, settings: Settings, host: &mut dyn PolicyHost) -> DeliveryPolicyAdapter {
        DeliveryPolicyAdapter(DeliveryPolicy::new(now, settings, host))
    }
}

impl Policy for DeliveryPolicyAdapter {
    fn update_endpoint_list(
        &mut self,
        _now: Duration,
        update: &EndpointListUpdate,
        _host: &mut dyn PolicyHost,
    ) {
        self.0.begin_endpoint_list(update.complete);
        for listed in &update.endpoints {
            self.0.update_endpoint(listed.as_update());
        }
        self.0.finish_endpoint_list();
    }

    fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost) {
        let message = NewMessage {
            id: submission.id.clone(),
            class: &submission.class,
            tenant: Some(submission.tenant.as_str()),
            ordering_key: submission.ordering_key,
            deadline: submission.deadline,
            destination: submission.destination,
        };
        self.0.submit(now, message, host);
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.0.restore(now, id, previous, host);
    }

    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost) {
        self.0.attempt_finished(now, ended, host);
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.0.withdraw(id, host);
    }

    fn timer_fired(&mut self, now: Duration) {
        self.0.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool) {
        self.0.health_checked(now, endpoint, healthy);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]) {
        self.0.gossip_received(now, from, gossip);
    }

    fn run_due_work(&mut self, now: Duration, _world: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.0.run_due_work(now, host);
    }
}
