//! Records what passes between the delivery policy and its host, in both directions.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DeliveryPolicy, DestinationId, EndpointId,
    EndpointUpdate, LoadReport, MessageId, NewMessage, OrderingKey, PeerId, PolicyHost, PreviousAttempt,
    Settings,
};

use crate::line::{Input, Request, Returned};
use crate::recording::Tape;

/// A host that records each request and hands it on.
pub struct Tee<'a> {
    pub tape: &'a Tape,
    pub host: &'a mut dyn PolicyHost,
}

impl PolicyHost for Tee<'_> {
    fn start_attempt(&mut self, id: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        self.tape.note(Request::Attempt { id, endpoint, spans });
        self.host.start_attempt(id, endpoint, spans);
    }
    fn cancel(&mut self, id: &MessageId, no: AttemptNumber) {
        self.tape.note(Request::CallOff { id, no });
        self.host.cancel(id, no);
    }
    fn reject(&mut self, id: &MessageId, retry_after: Option<Duration>) {
        self.tape.note(Request::Shed { id, retry_after });
        self.host.reject(id, retry_after);
    }
    fn fail(&mut self, id: &MessageId) {
        self.tape.note(Request::BreakOff { id });
        self.host.fail(id);
    }
    fn set_timer(&mut self, after: Duration) {
        self.tape.note(Request::Wake { after });
        self.host.set_timer(after);
    }
    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.tape.note(Request::Probe { endpoint });
        self.host.start_health_check(endpoint);
    }
    fn send_gossip(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.tape.note(Request::Tell { peer, note });
        self.host.send_gossip(peer, note);
    }
    fn subscribe(&mut self, on: bool) {
        self.tape.note(Request::Subscribe { on });
        self.host.subscribe(on);
    }
    fn fetch_endpoint_list(&mut self) {
        self.tape.note(Request::FetchList);
        self.host.fetch_endpoint_list();
    }
    fn log(&mut self, line: &str) {
        self.tape.note(Request::Log { line });
        self.host.log(line);
    }
}

/// A message as it is submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: MessageId,
    pub class: String,
    pub tenant: Option<String>,
    pub key: Option<OrderingKey>,
    pub deadline: Duration,
    pub destination: DestinationId,
}

/// An instance of the delivery policy whose calls, requests and returned values are recorded.
pub struct RecordedPolicy {
    module: DeliveryPolicy,
    tape: Tape,
}

fn sorted(mut endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
    endpoints.sort();
    endpoints
}

impl RecordedPolicy {
    pub fn new(now: Duration, terms: Settings, tape: Tape, host: &mut dyn PolicyHost) -> RecordedPolicy {
        tape.note(Input::Open { now, terms: &terms });
        let module = DeliveryPolicy::new(now, terms, &mut Tee { tape: &tape, host });
        RecordedPolicy { module, tape }
    }

    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.tape.note(Input::ListBegins { whole });
        self.module.begin_endpoint_list(whole);
    }

    pub fn update_endpoint(&mut self, listing: EndpointUpdate) {
        self.tape.note(Input::EndpointUpdated(&listing));
        self.module.update_endpoint(listing);
    }

    pub fn finish_endpoint_list(&mut self) {
        self.tape.note(Input::ListEnds);
        let dropped = self.module.finish_endpoint_list();
        self.tape.note(Returned::Dropped(sorted(dropped)));
    }

    pub fn abort_endpoint_list(&mut self) {
        self.tape.note(Input::ListBroken);
        self.module.abort_endpoint_list();
    }

    pub fn discovery_failed(&mut self, now: Duration) {
        self.tape.note(Input::ListFailed { now });
        self.module.discovery_failed(now);
    }

    pub fn submit(&mut self, now: Duration, e: &Submission, host: &mut dyn PolicyHost) {
        let tenant = e.tenant.as_deref();
        self.tape.note(Input::Submission {
            now,
            id: &e.id,
            class: &e.class,
            tenant,
            key: e.key,
            deadline: e.deadline,
            destination: e.destination,
        });
        let message = NewMessage {
            id: e.id.clone(),
            class: &e.class,
            tenant,
            ordering_key: e.key,
            deadline: e.deadline,
            destination: e.destination,
        };
        self.module.submit(now, message, &mut Tee { tape: &self.tape, host });
    }

    pub fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        past: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.tape.note(Input::Recall { now, id, past });
        self.module.restore(now, id, past, &mut Tee { tape: &self.tape, host });
    }

    pub fn attempt_finished(
        &mut self,
        now: Duration,
        id: &MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
        host: &mut dyn PolicyHost,
    ) {
        self.tape.note(Input::Settled { now, id, no, outcome, over });
        self.module.attempt_finished(now, id, no, outcome, over, &mut Tee { tape: &self.tape, host });
    }

    pub fn load_reported(&mut self, endpoint: EndpointId, report: LoadReport) {
        self.tape.note(Input::Reported { endpoint, report });
        self.module.load_reported(endpoint, report);
    }

    pub fn retry_after_received(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        self.tape.note(Input::ToldToWait { now, endpoint, wait });
        self.module.retry_after_received(now, endpoint, wait);
    }

    /// Withdraws a message.
    pub fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.tape.note(Input::Withdrawn { id });
        self.module.withdraw(id, &mut Tee { tape: &self.tape, host });
    }

    pub fn begin_shutdown(&mut self, by: Duration) {
        self.tape.note(Input::Leaving { by });
        self.module.begin_shutdown(by);
    }

    pub fn timer_fired(&mut self, now: Duration) {
        self.tape.note(Input::Alarm { now });
        self.module.timer_fired(now);
    }

    pub fn health_checked(&mut self, now: Duration, endpoint: EndpointId, well: bool) {
        self.tape.note(Input::Probed { now, endpoint, well });
        self.module.health_checked(now, endpoint, well);
    }

    pub fn gossip_received(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.tape.note(Input::Told { now, from, note });
        self.module.gossip_received(now, from, note);
    }

    /// Lets the delivery policy decide, and notes which endpoints it has forgotten since.
    pub fn run_due_work(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        self.tape.note(Input::Turn { now });
        self.module.run_due_work(now, &mut Tee { tape: &self.tape, host });
        let forgotten = self.module.take_removed_endpoints();
        if !forgotten.is_empty() {
            self.tape.note(Returned::Forgotten(sorted(forgotten)));
        }
    }

    /// Notes the endpoints that a wait told by this one holds for.
    pub fn note_waits_with(&self, endpoint: EndpointId) {
        self.tape
            .note(Returned::WaitsWith(endpoint, sorted(self.module.endpoints_sharing_circuit(endpoint))));
    }

    /// Notes where an attempt that is out went.
    pub fn note_sent_to(&self, id: &MessageId, no: AttemptNumber) {
        self.tape.note(Returned::SentTo(id.clone(), no, self.module.attempt_endpoint(id, no)));
    }

    /// Notes whether the list has named a destination.
    pub fn note_knows(&self, destination: DestinationId) {
        self.tape.note(Returned::Knows(destination, self.module.knows_destination(destination)));
    }
}
