//! The decision module itself, hosted as the forwarder hosts it.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, DeliveryPolicy, EndpointId, EndpointUpdate, MessageId, NewMessage, PeerId,
    PolicyHost, PreviousAttempt, Settings,
};

use crate::policy::{ListLine, Policy, Submission, WorldView};

pub struct DeliveryPolicyAdapter(DeliveryPolicy);

impl DeliveryPolicyAdapter {
    pub fn open(now: Duration, terms: Settings, host: &mut dyn PolicyHost) -> DeliveryPolicyAdapter {
        DeliveryPolicyAdapter(DeliveryPolicy::new(now, terms, host))
    }
}

impl Policy for DeliveryPolicyAdapter {
    fn list(&mut self, _now: Duration, whole: bool, lines: &[ListLine], _host: &mut dyn PolicyHost) {
        self.0.begin_endpoint_list(whole);
        for line in lines {
            self.0.update_endpoint(EndpointUpdate {
                endpoint: line.target,
                destination: line.destination,
                state: line.standing,
                weight: line.weight,
                zone: &line.zone,
                kind: &line.kind,
            });
        }
        self.0.finish_endpoint_list();
    }

    fn submit(&mut self, now: Duration, e: &Submission, host: &mut dyn PolicyHost) {
        let message = NewMessage {
            id: e.id.clone(),
            class: &e.category,
            tenant: Some(e.program.as_str()),
            ordering_key: e.key,
            deadline: e.outer_limit,
            destination: e.destination,
        };
        self.0.submit(now, message, host);
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        past: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.0.restore(now, id, past, host);
    }

    fn attempt_finished(
        &mut self,
        now: Duration,
        id: &MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
        host: &mut dyn PolicyHost,
    ) {
        self.0.attempt_finished(now, id, no, outcome, over, host);
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.0.withdraw(id, host);
    }

    fn timer_fired(&mut self, now: Duration) {
        self.0.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, target: EndpointId, well: bool) {
        self.0.health_checked(now, target, well);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.0.gossip_received(now, from, note);
    }

    fn run_due_work(&mut self, now: Duration, _sight: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.0.run_due_work(now, host);
    }
}
