//! Records what passes between the module and its host, in both directions.

use std::time::Duration;

use reeddock::{
    DestinationId, DispatchNo, EnvelopeId, Forwarder, Host, KeyId, LimitReport, Listing, Outcome, Past,
    PeerId, Spans, TargetId, Terms,
};

use crate::line::{Input, Request, Returned};
use crate::recording::Tape;

/// A host that records each request and hands it on.
pub struct Tee<'a> {
    pub tape: &'a Tape,
    pub host: &'a mut dyn Host,
}

impl Host for Tee<'_> {
    fn dispatch(&mut self, id: &EnvelopeId, target: TargetId, spans: Spans) {
        self.tape.note(Request::Dispatch { id, target, spans });
        self.host.dispatch(id, target, spans);
    }
    fn call_off(&mut self, id: &EnvelopeId, no: DispatchNo) {
        self.tape.note(Request::CallOff { id, no });
        self.host.call_off(id, no);
    }
    fn shed(&mut self, id: &EnvelopeId, come_back: Option<Duration>) {
        self.tape.note(Request::Shed { id, come_back });
        self.host.shed(id, come_back);
    }
    fn break_off(&mut self, id: &EnvelopeId) {
        self.tape.note(Request::BreakOff { id });
        self.host.break_off(id);
    }
    fn wake(&mut self, after: Duration) {
        self.tape.note(Request::Wake { after });
        self.host.wake(after);
    }
    fn probe(&mut self, target: TargetId) {
        self.tape.note(Request::Probe { target });
        self.host.probe(target);
    }
    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.tape.note(Request::Tell { peer, note });
        self.host.tell(peer, note);
    }
    fn subscribe(&mut self, on: bool) {
        self.tape.note(Request::Subscribe { on });
        self.host.subscribe(on);
    }
    fn fetch_list(&mut self) {
        self.tape.note(Request::FetchList);
        self.host.fetch_list();
    }
    fn log(&mut self, line: &str) {
        self.tape.note(Request::Log { line });
        self.host.log(line);
    }
}

/// An envelope as it is handed in.
#[derive(Clone, Debug)]
pub struct HandIn {
    pub id: EnvelopeId,
    pub category: String,
    pub tenant: Option<String>,
    pub key: Option<KeyId>,
    pub outer_limit: Duration,
    pub destination: DestinationId,
}

/// An instance of the module whose calls, requests and returned values are recorded.
pub struct RecordedForwarder {
    module: Forwarder,
    tape: Tape,
}

fn sorted(mut targets: Vec<TargetId>) -> Vec<TargetId> {
    targets.sort();
    targets
}

impl RecordedForwarder {
    pub fn open(now: Duration, terms: Terms, tape: Tape, host: &mut dyn Host) -> RecordedForwarder {
        tape.note(Input::Open { now, terms: &terms });
        let module = Forwarder::open(now, terms, &mut Tee { tape: &tape, host });
        RecordedForwarder { module, tape }
    }

    pub fn list_begins(&mut self, whole: bool) {
        self.tape.note(Input::ListBegins { whole });
        self.module.list_begins(whole);
    }

    pub fn listed(&mut self, listing: Listing) {
        self.tape.note(Input::Listed(&listing));
        self.module.listed(listing);
    }

    pub fn list_ends(&mut self) {
        self.tape.note(Input::ListEnds);
        let dropped = self.module.list_ends();
        self.tape.note(Returned::Dropped(sorted(dropped)));
    }

    pub fn list_broken(&mut self) {
        self.tape.note(Input::ListBroken);
        self.module.list_broken();
    }

    pub fn list_failed(&mut self, now: Duration) {
        self.tape.note(Input::ListFailed { now });
        self.module.list_failed(now);
    }

    pub fn hand_in(&mut self, now: Duration, e: &HandIn, host: &mut dyn Host) {
        let tenant = e.tenant.as_deref();
        self.tape.note(Input::HandIn {
            now,
            id: &e.id,
            category: &e.category,
            tenant,
            key: e.key,
            outer_limit: e.outer_limit,
            destination: e.destination,
        });
        let host = &mut Tee { tape: &self.tape, host };
        let (id, limit) = (e.id.clone(), e.outer_limit);
        self.module.hand_in(now, id, &e.category, tenant, e.key, limit, e.destination, host);
    }

    pub fn recall(&mut self, now: Duration, id: &EnvelopeId, past: &[Past], host: &mut dyn Host) {
        self.tape.note(Input::Recall { now, id, past });
        self.module.recall(now, id, past, &mut Tee { tape: &self.tape, host });
    }

    pub fn settled(
        &mut self,
        now: Duration,
        id: &EnvelopeId,
        no: DispatchNo,
        outcome: Outcome,
        over: bool,
        host: &mut dyn Host,
    ) {
        self.tape.note(Input::Settled { now, id, no, outcome, over });
        self.module.settled(now, id, no, outcome, over, &mut Tee { tape: &self.tape, host });
    }

    pub fn reported(&mut self, target: TargetId, report: LimitReport) {
        self.tape.note(Input::Reported { target, report });
        self.module.reported(target, report);
    }

    pub fn told_to_wait(&mut self, now: Duration, target: TargetId, wait: Duration) {
        self.tape.note(Input::ToldToWait { now, target, wait });
        self.module.told_to_wait(now, target, wait);
    }

    /// Withdraws an envelope.
    pub fn end(&mut self, id: &EnvelopeId, host: &mut dyn Host) {
        self.tape.note(Input::Withdrawn { id });
        self.module.end(id, &mut Tee { tape: &self.tape, host });
    }

    pub fn leaving(&mut self, by: Duration) {
        self.tape.note(Input::Leaving { by });
        self.module.leaving(by);
    }

    pub fn alarm(&mut self, now: Duration) {
        self.tape.note(Input::Alarm { now });
        self.module.alarm(now);
    }

    pub fn probed(&mut self, now: Duration, target: TargetId, well: bool) {
        self.tape.note(Input::Probed { now, target, well });
        self.module.probed(now, target, well);
    }

    pub fn told(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.tape.note(Input::Told { now, from, note });
        self.module.told(now, from, note);
    }

    /// Lets the module decide, and notes which targets it has forgotten since.
    pub fn turn(&mut self, now: Duration, host: &mut dyn Host) {
        self.tape.note(Input::Turn { now });
        self.module.turn(now, &mut Tee { tape: &self.tape, host });
        let forgotten = self.module.take_forgotten();
        if !forgotten.is_empty() {
            self.tape.note(Returned::Forgotten(sorted(forgotten)));
        }
    }

    /// Notes the targets that a wait told by this one holds for.
    pub fn note_waits_with(&self, target: TargetId) {
        self.tape.note(Returned::WaitsWith(target, sorted(self.module.waits_with(target))));
    }

    /// Notes where a dispatch that is out went.
    pub fn note_sent_to(&self, id: &EnvelopeId, no: DispatchNo) {
        self.tape.note(Returned::SentTo(id.clone(), no, self.module.sent_to(id, no)));
    }

    /// Notes whether the list has named a destination.
    pub fn note_knows(&self, destination: DestinationId) {
        self.tape.note(Returned::Knows(destination, self.module.knows(destination)));
    }
}
