//! The module, spoilt on purpose: between it and its host stands somebody who lies to it or alters what it
//! asks for, as a defect in either would.

use std::time::Duration;

use reeddock::{DispatchNo, EnvelopeId, Host, Outcome, Past, PeerId, Spans, Standing, TargetId, Terms};
use reeddock_simulation::policies::Module;
use reeddock_simulation::policy::{HandIn, ListLine, Policy, Sight};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// Told waits are not heard.
    DeafToWaits,
    /// What may have run counts as never run.
    SendsEffectfulAgain,
    AnswersTwice,
    /// Every fiftieth envelope is never looked at.
    ForgetsOne,
    /// Targets that leave count as active.
    SendsPastDrains,
    /// Knows nothing of cold destinations, and learns nothing from calls that fail.
    PushesReturning,
    /// Keys are not read.
    IgnoresOrder,
    /// No defect, but each call is given just so long.
    CutsShort(Duration),
}

pub struct Spoilt {
    module: Module,
    defect: Defect,
    taken: u32,
}

impl Spoilt {
    pub fn open(defect: Defect, now: Duration, mut terms: Terms, host: &mut dyn Host) -> Box<dyn Policy> {
        if defect == Defect::PushesReturning {
            terms.cold_from = Some(1.0);
            terms.fall_multiple = Some(1000.0);
            terms.warm_within = Some(Duration::from_millis(1));
        }
        Box::new(Spoilt { module: Module::open(now, terms, host), defect, taken: 0 })
    }
}

/// Sits on the host's side.
struct Tap<'h>(&'h mut dyn Host, Defect);

impl Host for Tap<'_> {
    fn dispatch(&mut self, envelope: &EnvelopeId, target: TargetId, mut spans: Spans) {
        if let Defect::CutsShort(span) = self.1 {
            spans.time_out = span;
        }
        self.0.dispatch(envelope, target, spans);
    }
    fn call_off(&mut self, envelope: &EnvelopeId, dispatch: DispatchNo) {
        self.0.call_off(envelope, dispatch);
    }
    fn shed(&mut self, envelope: &EnvelopeId, come_back: Option<Duration>) {
        self.0.shed(envelope, come_back);
        if self.1 == Defect::AnswersTwice {
            self.0.break_off(envelope);
        }
    }
    fn break_off(&mut self, envelope: &EnvelopeId) {
        self.0.break_off(envelope);
        if self.1 == Defect::AnswersTwice {
            self.0.break_off(envelope);
        }
    }
    fn wake(&mut self, after: Duration) {
        self.0.wake(after);
    }
    fn probe(&mut self, target: TargetId) {
        self.0.probe(target);
    }
    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.0.tell(peer, note);
    }
    fn subscribe(&mut self, on: bool) {
        self.0.subscribe(on);
    }
    fn fetch_list(&mut self) {
        self.0.fetch_list();
    }
    fn log(&mut self, line: &str) {
        self.0.log(line);
    }
}

impl Policy for Spoilt {
    fn list(&mut self, now: Duration, whole: bool, lines: &[ListLine], host: &mut dyn Host) {
        let mut lines = lines.to_vec();
        if self.defect == Defect::SendsPastDrains {
            lines.iter_mut().for_each(|l| l.standing = Standing::Active);
        }
        self.module.list(now, whole, &lines, &mut Tap(host, self.defect));
    }

    fn hand_in(&mut self, now: Duration, envelope: &HandIn, host: &mut dyn Host) {
        self.taken += 1;
        if self.defect == Defect::ForgetsOne && self.taken.is_multiple_of(50) {
            return;
        }
        let mut envelope = envelope.clone();
        envelope.key = envelope.key.filter(|_| self.defect != Defect::IgnoresOrder);
        self.module.hand_in(now, &envelope, &mut Tap(host, self.defect));
    }

    fn recall(&mut self, now: Duration, id: &EnvelopeId, past: &[Past], host: &mut dyn Host) {
        self.module.recall(now, id, past, &mut Tap(host, self.defect));
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
        let heard = match (self.defect, outcome) {
            (Defect::DeafToWaits, Outcome::Full(_)) => Outcome::Full(None),
            (Defect::SendsEffectfulAgain, Outcome::TimedOut | Outcome::Broken | Outcome::Error) => {
                Outcome::NoConnection
            }
            (Defect::PushesReturning, Outcome::TimedOut | Outcome::Broken | Outcome::NoConnection) => {
                Outcome::CalledOff
            }
            _ => outcome,
        };
        self.module.settled(now, id, no, heard, over, &mut Tap(host, self.defect));
    }

    fn withdrawn(&mut self, id: &EnvelopeId, host: &mut dyn Host) {
        self.module.withdrawn(id, &mut Tap(host, self.defect));
    }

    fn alarm(&mut self, now: Duration) {
        self.module.alarm(now);
    }

    fn probed(&mut self, now: Duration, target: TargetId, well: bool) {
        self.module.probed(now, target, well);
    }

    fn told(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.module.told(now, from, note);
    }

    fn turn(&mut self, now: Duration, sight: &dyn Sight, host: &mut dyn Host) {
        self.module.turn(now, sight, &mut Tap(host, self.defect));
    }
}
