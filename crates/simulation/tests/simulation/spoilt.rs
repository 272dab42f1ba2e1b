//! The delivery policy, spoilt on purpose: between it and its host stands somebody who lies to it or alters what it
//! asks for, as a defect in either would.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, EndpointState, MessageId, PeerId, PolicyHost,
    PreviousAttempt, Settings,
};
use reeddock_simulation::policies::DeliveryPolicyAdapter;
use reeddock_simulation::policy::{ListLine, Policy, Submission, WorldView};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// Told waits are not heard.
    DeafToWaits,
    /// What may have run counts as never run.
    SendsEffectfulAgain,
    AnswersTwice,
    /// Every fiftieth message is never looked at.
    ForgetsOne,
    /// Endpoints that leave count as active.
    SendsPastDrains,
    /// Knows nothing of cold destinations, and learns nothing from calls that fail.
    PushesReturning,
    /// Keys are not read.
    IgnoresOrder,
    /// No defect, but each call is given just so long.
    CutsShort(Duration),
}

pub struct Spoilt {
    module: DeliveryPolicyAdapter,
    defect: Defect,
    taken: u32,
}

impl Spoilt {
    pub fn open(
        defect: Defect,
        now: Duration,
        mut terms: Settings,
        host: &mut dyn PolicyHost,
    ) -> Box<dyn Policy> {
        if defect == Defect::PushesReturning {
            terms.slow_start_floor = Some(1.0);
            terms.overload_multiple = Some(1000.0);
            terms.slow_start_duration = Some(Duration::from_millis(1));
        }
        Box::new(Spoilt { module: DeliveryPolicyAdapter::open(now, terms, host), defect, taken: 0 })
    }
}

/// Sits on the host's side.
struct Tap<'h>(&'h mut dyn PolicyHost, Defect);

impl PolicyHost for Tap<'_> {
    fn start_attempt(&mut self, envelope: &MessageId, target: EndpointId, mut spans: AttemptTimeouts) {
        if let Defect::CutsShort(span) = self.1 {
            spans.response_within = span;
        }
        self.0.start_attempt(envelope, target, spans);
    }
    fn cancel(&mut self, envelope: &MessageId, dispatch: AttemptNumber) {
        self.0.cancel(envelope, dispatch);
    }
    fn reject(&mut self, envelope: &MessageId, come_back: Option<Duration>) {
        self.0.reject(envelope, come_back);
        if self.1 == Defect::AnswersTwice {
            self.0.fail(envelope);
        }
    }
    fn fail(&mut self, envelope: &MessageId) {
        self.0.fail(envelope);
        if self.1 == Defect::AnswersTwice {
            self.0.fail(envelope);
        }
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.set_timer(after);
    }
    fn start_health_check(&mut self, target: EndpointId) {
        self.0.start_health_check(target);
    }
    fn send_gossip(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.0.send_gossip(peer, note);
    }
    fn subscribe(&mut self, on: bool) {
        self.0.subscribe(on);
    }
    fn fetch_endpoint_list(&mut self) {
        self.0.fetch_endpoint_list();
    }
    fn log(&mut self, line: &str) {
        self.0.log(line);
    }
}

impl Policy for Spoilt {
    fn list(&mut self, now: Duration, whole: bool, lines: &[ListLine], host: &mut dyn PolicyHost) {
        let mut lines = lines.to_vec();
        if self.defect == Defect::SendsPastDrains {
            lines.iter_mut().for_each(|l| l.standing = EndpointState::Active);
        }
        self.module.list(now, whole, &lines, &mut Tap(host, self.defect));
    }

    fn submit(&mut self, now: Duration, envelope: &Submission, host: &mut dyn PolicyHost) {
        self.taken += 1;
        if self.defect == Defect::ForgetsOne && self.taken.is_multiple_of(50) {
            return;
        }
        let mut envelope = envelope.clone();
        envelope.key = envelope.key.filter(|_| self.defect != Defect::IgnoresOrder);
        self.module.submit(now, &envelope, &mut Tap(host, self.defect));
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        past: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.module.restore(now, id, past, &mut Tap(host, self.defect));
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
        let heard = match (self.defect, outcome) {
            (Defect::DeafToWaits, AttemptOutcome::Rejected { .. }) => {
                AttemptOutcome::Rejected { retry_after: None }
            }
            (
                Defect::SendsEffectfulAgain,
                AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Error,
            ) => AttemptOutcome::NoConnection,
            (
                Defect::PushesReturning,
                AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::NoConnection,
            ) => AttemptOutcome::Cancelled,
            _ => outcome,
        };
        self.module.attempt_finished(now, id, no, heard, over, &mut Tap(host, self.defect));
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.module.withdraw(id, &mut Tap(host, self.defect));
    }

    fn timer_fired(&mut self, now: Duration) {
        self.module.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, target: EndpointId, well: bool) {
        self.module.health_checked(now, target, well);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, note: &[u8]) {
        self.module.gossip_received(now, from, note);
    }

    fn run_due_work(&mut self, now: Duration, sight: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.module.run_due_work(now, sight, &mut Tap(host, self.defect));
    }
}
