//! Wrappers of the delivery policy and of its host that record calls, returned values and commands.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptTimeouts, DeliveryPolicy, DestinationId, EndpointId, EndpointUpdate,
    FinishedAttempt, LoadReport, MessageId, NewMessage, OrderingKey, PeerId, PolicyEvent, PolicyHost,
    PreviousAttempt, Settings,
};

use crate::line::{PolicyCall, PolicyCommand, ReturnedValue};
use crate::recording::RecordingWriter;

/// A host that records each command and forwards it to another host.
pub struct RecordingHost<'a> {
    writer: &'a RecordingWriter,
    host: &'a mut dyn PolicyHost,
}

impl<'a> RecordingHost<'a> {
    /// Creates a host that records commands with `writer` before `host` executes them.
    pub fn new(writer: &'a RecordingWriter, host: &'a mut dyn PolicyHost) -> RecordingHost<'a> {
        RecordingHost { writer, host }
    }
}

impl PolicyHost for RecordingHost<'_> {
    fn start_attempt(&mut self, id: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        self.writer.record(PolicyCommand::StartAttempt { id, endpoint, timeouts });
        self.host.start_attempt(id, endpoint, timeouts);
    }
    fn cancel_attempt(&mut self, id: &MessageId, number: AttemptNumber) {
        self.writer.record(PolicyCommand::CancelAttempt { id, number });
        self.host.cancel_attempt(id, number);
    }
    fn reject_message(&mut self, id: &MessageId, retry_after: Option<Duration>) {
        self.writer.record(PolicyCommand::RejectMessage { id, retry_after });
        self.host.reject_message(id, retry_after);
    }
    fn fail_message(&mut self, id: &MessageId) {
        self.writer.record(PolicyCommand::FailMessage { id });
        self.host.fail_message(id);
    }
    fn set_timer(&mut self, after: Duration) {
        self.writer.record(PolicyCommand::SetTimer { after });
        self.host.set_timer(after);
    }
    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.writer.record(PolicyCommand::StartHealthCheck { endpoint });
        self.host.start_health_check(endpoint);
    }
    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]) {
        self.writer.record(PolicyCommand::SendGossip { peer, gossip });
        self.host.send_gossip(peer, gossip);
    }
    fn watch_endpoint_list(&mut self, on: bool) {
        self.writer.record(PolicyCommand::WatchEndpointList { on });
        self.host.watch_endpoint_list(on);
    }
    fn fetch_endpoint_list(&mut self) {
        self.writer.record(PolicyCommand::FetchEndpointList);
        self.host.fetch_endpoint_list();
    }
    fn report_event(&mut self, event: &PolicyEvent) {
        self.writer.record(PolicyCommand::ReportEvent { event });
        self.host.report_event(event);
    }
}

/// The arguments of [`DeliveryPolicy::submit`] for one message.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Unique id of the message.
    pub id: MessageId,
    /// Name of the message class; the settings may not contain it.
    pub class: String,
    /// Tenant whose quota the message counts against, if any.
    pub tenant: Option<String>,
    /// Key for ordered delivery; only classes that are ordered use it.
    pub ordering_key: Option<OrderingKey>,
    /// Time by which the final answer is due, on the same clock as `now` of the calls.
    pub deadline: Duration,
    /// Destination of the message; the endpoint list may not contain it.
    pub destination: DestinationId,
}

/// A delivery policy whose calls, commands and returned values are recorded.
pub struct RecordedPolicy {
    policy: DeliveryPolicy,
    writer: RecordingWriter,
}

/// Sorts endpoints by number, because the order in which the policy returns them is unspecified.
fn sorted(mut endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
    endpoints.sort();
    endpoints
}

impl RecordedPolicy {
    /// Creates a delivery policy, and records its creation with `writer`.
    pub fn new(
        now: Duration,
        settings: Settings,
        writer: RecordingWriter,
        host: &mut dyn PolicyHost,
    ) -> RecordedPolicy {
        writer.record(PolicyCall::New { now, settings: &settings });
        let policy = DeliveryPolicy::new(now, settings, &mut RecordingHost::new(&writer, host));
        RecordedPolicy { policy, writer }
    }

    /// Records and makes the call [`DeliveryPolicy::begin_endpoint_list`].
    pub fn begin_endpoint_list(&mut self, complete: bool) {
        self.writer.record(PolicyCall::BeginEndpointList { complete });
        self.policy.begin_endpoint_list(complete);
    }

    /// Records and makes the call [`DeliveryPolicy::update_endpoint`].
    pub fn update_endpoint(&mut self, update: EndpointUpdate) {
        self.writer.record(PolicyCall::UpdateEndpoint(&update));
        self.policy.update_endpoint(update);
    }

    /// Records and makes the call [`DeliveryPolicy::finish_endpoint_list`].
    pub fn finish_endpoint_list(&mut self) {
        self.writer.record(PolicyCall::FinishEndpointList);
        let unlisted = self.policy.finish_endpoint_list();
        self.writer.record(ReturnedValue::UnlistedEndpoints(sorted(unlisted)));
    }

    /// Records and makes the call [`DeliveryPolicy::abort_endpoint_list`].
    pub fn abort_endpoint_list(&mut self) {
        self.writer.record(PolicyCall::AbortEndpointList);
        self.policy.abort_endpoint_list();
    }

    /// Records and makes the call [`DeliveryPolicy::discovery_failed`].
    pub fn discovery_failed(&mut self, now: Duration) {
        self.writer.record(PolicyCall::DiscoveryFailed { now });
        self.policy.discovery_failed(now);
    }

    /// Records and makes the call [`DeliveryPolicy::submit`].
    pub fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost) {
        let Submission { id, class, ordering_key, deadline, destination, .. } = submission;
        let tenant = submission.tenant.as_deref();
        self.writer.record(PolicyCall::Submit {
            now,
            id,
            class,
            tenant,
            ordering_key: *ordering_key,
            deadline: *deadline,
            destination: *destination,
        });
        let message = NewMessage {
            id: id.clone(),
            class,
            tenant,
            ordering_key: *ordering_key,
            deadline: *deadline,
            destination: *destination,
        };
        self.policy.submit(now, message, &mut RecordingHost::new(&self.writer, host));
    }

    /// Records and makes the call [`DeliveryPolicy::restore`].
    pub fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.writer.record(PolicyCall::Restore { now, id, previous });
        self.policy.restore(now, id, previous, &mut RecordingHost::new(&self.writer, host));
    }

    /// Records and makes the call [`DeliveryPolicy::attempt_finished`].
    pub fn attempt_finished(&mut self, now: Duration, finished: &FinishedAttempt, host: &mut dyn PolicyHost) {
        let FinishedAttempt { message: id, number, outcome, message_finished } = *finished;
        self.writer.record(PolicyCall::AttemptFinished { now, id, number, outcome, message_finished });
        self.policy.attempt_finished(now, finished, &mut RecordingHost::new(&self.writer, host));
    }

    /// Records and makes the call [`DeliveryPolicy::load_reported`].
    pub fn load_reported(&mut self, endpoint: EndpointId, report: LoadReport) {
        self.writer.record(PolicyCall::LoadReported { endpoint, report });
        self.policy.load_reported(endpoint, report);
    }

    /// Records and makes the call [`DeliveryPolicy::retry_after_received`].
    pub fn retry_after_received(&mut self, now: Duration, endpoint: EndpointId, retry_after: Duration) {
        self.writer.record(PolicyCall::RetryAfterReceived { now, endpoint, retry_after });
        self.policy.retry_after_received(now, endpoint, retry_after);
    }

    /// Records and makes the call [`DeliveryPolicy::withdraw`].
    pub fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.writer.record(PolicyCall::Withdraw { id });
        self.policy.withdraw(id, &mut RecordingHost::new(&self.writer, host));
    }

    /// Records and makes the call [`DeliveryPolicy::begin_shutdown`].
    pub fn begin_shutdown(&mut self, deadline: Duration) {
        self.writer.record(PolicyCall::BeginShutdown { deadline });
        self.policy.begin_shutdown(deadline);
    }

    /// Records and makes the call [`DeliveryPolicy::timer_fired`].
    pub fn timer_fired(&mut self, now: Duration) {
        self.writer.record(PolicyCall::TimerFired { now });
        self.policy.timer_fired(now);
    }

    /// Records and makes the call [`DeliveryPolicy::health_checked`].
    pub fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool) {
        self.writer.record(PolicyCall::HealthChecked { now, endpoint, healthy });
        self.policy.health_checked(now, endpoint, healthy);
    }

    /// Records and makes the call [`DeliveryPolicy::gossip_received`].
    pub fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]) {
        self.writer.record(PolicyCall::GossipReceived { now, from, gossip });
        self.policy.gossip_received(now, from, gossip);
    }

    /// Records and makes the call [`DeliveryPolicy::run_due_work`], and then records the endpoints that
    /// [`DeliveryPolicy::take_removed_endpoints`] returns, if any.
    pub fn run_due_work(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        self.writer.record(PolicyCall::RunDueWork { now });
        self.policy.run_due_work(now, &mut RecordingHost::new(&self.writer, host));
        let removed = self.policy.take_removed_endpoints();
        if !removed.is_empty() {
            self.writer.record(ReturnedValue::RemovedEndpoints(sorted(removed)));
        }
    }

    /// Records the endpoints that share a circuit, and therefore a Retry-After, with `endpoint`.
    pub fn record_endpoints_sharing_circuit(&self, endpoint: EndpointId) {
        let shared_by = sorted(self.policy.endpoints_sharing_circuit(endpoint));
        self.writer.record(ReturnedValue::EndpointsSharingCircuit { endpoint, shared_by });
    }

    /// Records the endpoint of an attempt in flight, if the policy knows the attempt.
    pub fn record_attempt_endpoint(&self, id: &MessageId, number: AttemptNumber) {
        let endpoint = self.policy.attempt_endpoint(id, number);
        self.writer.record(ReturnedValue::AttemptEndpoint { id: id.clone(), number, endpoint });
    }

    /// Records whether the policy knows a destination from the endpoint list.
    pub fn record_knows_destination(&self, destination: DestinationId) {
        let known = self.policy.knows_destination(destination);
        self.writer.record(ReturnedValue::KnowsDestination { destination, known });
    }
}
