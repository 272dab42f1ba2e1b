//! A wrapper that records the delivery policy in the simulation.

use std::time::Duration;

use reeddock::{EndpointId, FinishedAttempt, MessageId, PeerId, PolicyHost, PreviousAttempt, Settings};
use reeddock_recorder::line::PolicyCall;
use reeddock_recorder::{RecordingHost, RecordingWriter};
use reeddock_simulation::policy::{EndpointListUpdate, Policy, Submission, WorldView};
use reeddock_simulation::BuiltInPolicy;

/// The delivery policy, recorded with one line for each call and for each command that the policy gives to
/// its host.
pub(crate) struct RecordedPolicy {
    policy: Box<dyn Policy>,
    writer: RecordingWriter,
}

impl RecordedPolicy {
    /// Creates the delivery policy and records its creation as the first call.
    pub(crate) fn open(
        now: Duration,
        settings: Settings,
        host: &mut dyn PolicyHost,
        writer: RecordingWriter,
    ) -> RecordedPolicy {
        writer.record(PolicyCall::New { now, settings: &settings });
        let mut recording_host = RecordingHost::new(&writer, host);
        let policy = BuiltInPolicy::DeliveryPolicy.create(now, settings, &mut recording_host);
        RecordedPolicy { policy, writer }
    }

    /// Records a call, then makes it with a host that records each command.
    fn call(
        &mut self,
        input: PolicyCall,
        host: &mut dyn PolicyHost,
        call: impl FnOnce(&mut dyn Policy, &mut dyn PolicyHost),
    ) {
        self.writer.record(input);
        call(self.policy.as_mut(), &mut RecordingHost::new(&self.writer, host));
    }
}

impl Policy for RecordedPolicy {
    fn update_endpoint_list(
        &mut self,
        now: Duration,
        update: &EndpointListUpdate,
        host: &mut dyn PolicyHost,
    ) {
        self.writer.record(PolicyCall::BeginEndpointList { complete: update.complete });
        for listed in &update.endpoints {
            self.writer.record(PolicyCall::UpdateEndpoint(&listed.as_update()));
        }
        self.call(PolicyCall::FinishEndpointList, host, |policy, host| {
            policy.update_endpoint_list(now, update, host)
        });
    }

    fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost) {
        let input = PolicyCall::Submit {
            now,
            id: &submission.id,
            class: &submission.class,
            tenant: Some(&submission.tenant),
            ordering_key: submission.ordering_key,
            deadline: submission.deadline,
            destination: submission.destination,
        };
        self.call(input, host, |policy, host| policy.submit(now, submission, host));
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let input = PolicyCall::Restore { now, id, previous };
        self.call(input, host, |policy, host| policy.restore(now, id, previous, host));
    }

    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost) {
        let FinishedAttempt { message: id, number, outcome, message_finished } = *ended;
        let input = PolicyCall::AttemptFinished { now, id, number, outcome, message_finished };
        self.call(input, host, |policy, host| policy.attempt_finished(now, ended, host));
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.call(PolicyCall::Withdraw { id }, host, |policy, host| policy.withdraw(id, host));
    }

    fn timer_fired(&mut self, now: Duration) {
        self.writer.record(PolicyCall::TimerFired { now });
        self.policy.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool) {
        self.writer.record(PolicyCall::HealthChecked { now, endpoint, healthy });
        self.policy.health_checked(now, endpoint, healthy);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]) {
        self.writer.record(PolicyCall::GossipReceived { now, from, gossip });
        self.policy.gossip_received(now, from, gossip);
    }

    fn run_due_work(&mut self, now: Duration, view: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.call(PolicyCall::RunDueWork { now }, host, |policy, host| policy.run_due_work(now, view, host));
    }
}
