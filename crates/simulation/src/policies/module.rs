//! The decision module itself, hosted as the forwarder hosts it.

use std::time::Duration;

use reeddock::{DispatchNo, EnvelopeId, Forwarder, Host, Listing, Outcome, Past, PeerId, TargetId, Terms};

use crate::policy::{HandIn, ListLine, Policy, Sight};

pub struct Module(Forwarder);

impl Module {
    pub fn open(now: Duration, terms: Terms, host: &mut dyn Host) -> Module {
        Module(Forwarder::open(now, terms, host))
    }
}

impl Policy for Module {
    fn list(&mut self, _now: Duration, whole: bool, lines: &[ListLine], _host: &mut dyn Host) {
        self.0.list_begins(whole);
        for line in lines {
            self.0.listed(Listing {
                target: line.target,
                destination: line.destination,
                standing: line.standing,
                weight: line.weight,
                zone: &line.zone,
                kind: &line.kind,
            });
        }
        self.0.list_ends();
    }

    fn hand_in(&mut self, now: Duration, e: &HandIn, host: &mut dyn Host) {
        let program = Some(e.program.as_str());
        self.0.hand_in(now, e.id.clone(), &e.category, program, e.key, e.outer_limit, e.destination, host);
    }

    fn recall(&mut self, now: Duration, id: &EnvelopeId, past: &[Past], host: &mut dyn Host) {
        self.0.recall(now, id, past, host);
    }

    fn settled(
        &mut self,
        now: Duration,
        id: &EnvelopeId,
        no: DispatchNo,
        outcome: Outcome,
        over: bool,
        host: &mut dyn Host,
    ) {
        self.0.settled(now, id, no, outcome, over, host);
    }

    fn withdrawn(&mut self, id: &EnvelopeId, host: &mut dyn Host) {
        self.0.end(id, host);
    }

    fn alarm(&mut self, now: Duration) {
        self.0.alarm(now);
    }

    fn probed(&mut self, now: Duration, target: TargetId, well: bool) {
        self.0.probed(now, target, well);
    }

    fn told(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.0.told(now, from, note);
    }

    fn turn(&mut self, now: Duration, _sight: &dyn Sight, host: &mut dyn Host) {
        self.0.turn(now, host);
    }
}
