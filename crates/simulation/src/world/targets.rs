//! What happens to a call at its endpoint.

use std::time::Duration;

use reeddock::{AttemptOutcome, Idempotency};

use super::forwarders::Notice;
use super::{Event, World};
use crate::distribution::to_span;
use crate::fault::Fault;
use crate::layout::{one_way, DestinationIndex, EndpointIndex, ForwarderIndex};
use crate::observed::{Ramp, Return};
use crate::report::rounded;
use crate::simulated_endpoint::{falls_over, Fall, RequestId};

/// Work and push of one more message within a call, against the call itself.
const PER_EXTRA: f64 = 0.25;

impl World<'_> {
    /// Whether a fault of some kind stands at an endpoint.
    pub(super) fn stands(&self, target: EndpointIndex, kind: impl Fn(&Fault) -> bool) -> bool {
        let here = &self.partners[target.0].troubles;
        here.iter().any(|n| kind(&self.scenario.troubles[*n].what))
    }

    pub(super) fn refuses_connections(&self, target: EndpointIndex) -> bool {
        let simulated_endpoint = &self.partners[target.0];
        simulated_endpoint.gone
            || simulated_endpoint.fallen(self.now())
            || self.stands(target, |t| matches!(t, Fault::Refused { .. }))
    }

    /// Times as long as usual that work takes at an endpoint now.
    pub(super) fn slowness(&self, target: EndpointIndex) -> f64 {
        let simulated_endpoint = &self.partners[target.0];
        let slow = simulated_endpoint.troubles.iter().map(|n| match &self.scenario.troubles[*n].what {
            Fault::Slow { times, .. } => times.get(),
            _ => 1.0,
        });
        let pace = self.layout.destinations[simulated_endpoint.plan.destination.0].pace;
        pace * slow.product::<f64>() / simulated_endpoint.warmth(self.now(), &self.scenario.returning)
    }

    /// For the ceiling: whether a call sent now would be taken, with so many more before it.
    pub(super) fn would_take(
        &self,
        target: EndpointIndex,
        category: usize,
        by: ForwarderIndex,
        before: u32,
    ) -> bool {
        let now = self.now();
        let simulated_endpoint = &self.partners[target.0];
        let name = &self.scenario.categories[category].name;
        let troubled = self.stands(target, |t| match t {
            Fault::CategoryFails { category, .. } => category == name,
            t => t.is_outage(),
        });
        if troubled || self.refuses_connections(target) {
            return false;
        }
        let destination = simulated_endpoint.plan.destination;
        let most = self.kind_of(destination).connections;
        if most.is_some_and(|most| simulated_endpoint.connections >= most)
            && !simulated_endpoint.idle.contains_key(&by)
        {
            return false;
        }
        let returning = &self.scenario.returning;
        let call = 1.0 + PER_EXTRA * f64::from(self.kind_of(destination).batch - 1);
        let pushes = call * f64::from(simulated_endpoint.on_the_way + before + 1);
        if simulated_endpoint.push_room(now, returning) < pushes {
            return false;
        }
        let ahead = |t: &EndpointIndex| self.partners[t.0].on_the_way;
        let on_the_way: u32 = self.destinations[destination.0].targets.iter().map(ahead).sum();
        let shared = self.destinations[destination.0].gate.clone().room(now);
        let own = simulated_endpoint.gate.clone().room(now);
        let load = simulated_endpoint.busy
            + simulated_endpoint.queue.len()
            + (simulated_endpoint.on_the_way + before) as usize;
        let bears = simulated_endpoint.plan.workers as f64 * simulated_endpoint.warmth(now, returning);
        shared - f64::from(on_the_way + before) >= 1.0
            && own - f64::from(simulated_endpoint.on_the_way + before) >= 1.0
            && (load as f64) < bears.max(1.0) + 0.5 * simulated_endpoint.plan.queue as f64
    }

    fn way_back(&mut self, call: RequestId) -> Duration {
        let c = &self.calls[call.0];
        let across = self.stations[c.forwarder.0].zone != self.partners[c.target.0].plan.zone;
        one_way(self.scenario, across, &mut self.chances.network)
    }

    /// An answer leaves the endpoint now.
    fn reply(&mut self, call: RequestId, outcome: AttemptOutcome) {
        if self.stands(self.calls[call.0].target, |t| matches!(t, Fault::Silent { .. })) {
            return;
        }
        let at = self.now() + self.way_back(call);
        self.schedule.enter(at, Event::Answer(call, outcome));
    }

    /// Turned away, perhaps with the wait until there is room.
    fn refuse(&mut self, call: RequestId, wait: Duration) {
        let destination = self.partners[self.calls[call.0].target.0].plan.destination;
        let told = self.kind_of(destination).told_waits.strikes(&mut self.chances.service);
        if let Some(load) = self.account.load(destination, self.schedule.now()) {
            load.refused += 1;
        }
        // An honest wait, from when the forwarder hears of it.
        let wait = Some(wait).filter(|w| told && !w.is_zero());
        self.reply(call, AttemptOutcome::Rejected { retry_after: wait });
    }

    /// An endpoint has been sent this much; where it is cold that may tip it over.
    fn push(&mut self, target: EndpointIndex, work: f64, by: ForwarderIndex) {
        let now = self.now();
        let returning = &self.scenario.returning;
        let fall = self.partners[target.0].push(now, work, by, returning);
        self.observe_push(target, fall.as_ref());
        let Some(fall) = fall else { return };
        self.account.falls += 1;
        self.invariants.fell(now, target, &fall.pushed, fall.budget);
        let until = now + returning.stays_down.0;
        self.partners[target.0].fallen_until = Some(until);
        self.schedule.enter(until, Event::Risen(target));
        self.outage_begins(target);
        self.break_connections(target);
    }

    /// Keeps the worst window of an endpoint that warms up.
    fn observe_push(&mut self, target: EndpointIndex, fall: Option<&Fall>) {
        let now = self.now();
        let simulated_endpoint = &self.partners[target.0];
        let Some(last) = simulated_endpoint.returns.last() else { return };
        let knows = |by: &ForwarderIndex| self.invariants.knows_of_outage(*by, target);
        let known = |pushed: &mut dyn Iterator<Item = &(Duration, f64, ForwarderIndex)>| {
            pushed.filter(|p| knows(&p.2)).map(|p| p.1).sum::<f64>()
        };
        let Some(window) = simulated_endpoint.window(now, &self.scenario.returning) else { return };
        let (sum, known) = match fall {
            Some(fall) => (fall.pushed.iter().map(|p| p.1).sum(), known(&mut fall.pushed.iter())),
            None => (window.sum, known(&mut window.pushed.iter())),
        };
        let budget = falls_over(window.allowed);
        if !last.is_worse(sum, budget) {
            return;
        }
        let destination = simulated_endpoint.plan.destination;
        let nothing = last.ramp(target, destination, self.layout.destinations[destination.0].usual);
        let ramp = Ramp {
            after_s: rounded(now.saturating_sub(last.at).as_secs_f64()),
            sum: rounded(sum),
            allowed: rounded(window.allowed),
            budget: rounded(budget),
            known: rounded(known),
            fell: fall.is_some(),
            ..nothing
        };
        if let Some(last) = self.partners[target.0].returns.last_mut() {
            last.worst = Some(ramp);
        }
    }

    /// Whether nothing of a destination is up now.
    pub(super) fn is_down(&self, destination: DestinationIndex) -> bool {
        let targets = &self.destinations[destination.0].targets;
        targets.iter().all(|t| self.partners[t.0].outages > 0 || self.partners[t.0].gone)
    }

    pub(super) fn risen(&mut self, target: EndpointIndex) {
        self.partners[target.0].fallen_until = None;
        self.outage_ends(target, true);
    }

    pub(super) fn outage_begins(&mut self, target: EndpointIndex) {
        let now = self.now();
        let simulated_endpoint = &mut self.partners[target.0];
        simulated_endpoint.outages += 1;
        if simulated_endpoint.outages == 1 {
            simulated_endpoint.down_since = Some(now);
            self.invariants.outage_begins(target);
        }
    }

    pub(super) fn outage_ends(&mut self, target: EndpointIndex, was_a_fall: bool) {
        let now = self.now();
        let simulated_endpoint = &mut self.partners[target.0];
        simulated_endpoint.outages = simulated_endpoint.outages.saturating_sub(1);
        if simulated_endpoint.outages == 0 {
            simulated_endpoint.returned = Some(now);
            simulated_endpoint.returns.push(Return::new(now, was_a_fall));
            let since = simulated_endpoint.down_since.take().unwrap_or(now);
            self.down.target_seconds += now.saturating_sub(since).as_secs_f64();
        }
    }

    /// All that is at an endpoint or tied to it by a connection is lost.
    pub(super) fn break_connections(&mut self, target: EndpointIndex) {
        for call in self.partners[target.0].break_all() {
            let at = self.now() + self.way_back(call);
            self.schedule.enter(at, Event::Answer(call, AttemptOutcome::ConnectionReset));
        }
    }

    pub(super) fn probe_reaches(&mut self, forwarder: ForwarderIndex, start: u32, target: EndpointIndex) {
        self.push(target, 1.0, forwarder);
        let silent = self.stands(target, |t| matches!(t, Fault::Silent { .. } | Fault::Hang { .. }));
        let well = !silent && self.partners[target.0].outages == 0 && !self.refuses_connections(target);
        let limit = self.scenario.network.connect_within.0;
        let after =
            if silent { limit } else { self.scenario.network.one_way_ms.millis(&mut self.chances.network) };
        let at = self.now() + after;
        self.schedule.enter(at, Event::Notice(forwarder, start, Notice::Probed { target, well }));
    }

    pub(super) fn reach(&mut self, call: RequestId) {
        let now = self.now();
        let (target, forwarder) = (self.calls[call.0].target, self.calls[call.0].forwarder);
        let destination = self.partners[target.0].plan.destination;
        self.partners[target.0].on_the_way = self.partners[target.0].on_the_way.saturating_sub(1);
        if self.refuses_connections(target) || self.calls[call.0].life != self.partners[target.0].life {
            // The connection broke while it was on its way.
            let at = now + self.way_back(call);
            self.schedule.enter(at, Event::Answer(call, AttemptOutcome::ConnectionReset));
            return;
        }
        if self.stands(target, |t| matches!(t, Fault::Silent { .. })) {
            return;
        }
        let extra = PER_EXTRA * (self.calls[call.0].parts.len() - 1) as f64;
        if let Some(load) = self.account.load(destination, now) {
            load.calls += 1;
        }
        self.push(target, 1.0 + extra, forwarder);
        if self.refuses_connections(target) {
            // This call was the one too many, and its connection is gone with the others.
            let at = now + self.way_back(call);
            self.schedule.enter(at, Event::Answer(call, AttemptOutcome::ConnectionReset));
            return;
        }
        let opens = self.shut_until(target);
        if let Some(until) = opens {
            return self.refuse(call, until - now);
        }
        if self.fails_at_once(call, target) {
            return self.reply(call, AttemptOutcome::Error);
        }
        let use_up = self.kind_of(destination).refused_use_up;
        let passed = self.partners[target.0].gate.pass(now, use_up);
        let passed = passed.and_then(|()| self.destinations[destination.0].gate.pass(now, use_up));
        if let Err(wait) = passed {
            return self.refuse(call, wait);
        }
        if self.stands(target, |t| matches!(t, Fault::Hang { .. })) {
            let simulated_endpoint = &mut self.partners[target.0];
            if simulated_endpoint.stuck.len()
                < simulated_endpoint.plan.queue + simulated_endpoint.plan.workers
            {
                simulated_endpoint.stuck.push(call);
            }
            return;
        }
        self.enqueue(call, target);
    }

    /// Calls a second that a destination's endpoints can serve now.
    pub(super) fn capacity_now(&self, destination: DestinationIndex) -> f64 {
        let one = |t: &EndpointIndex| {
            let simulated_endpoint = &self.partners[t.0];
            let up = simulated_endpoint.outages == 0 && !simulated_endpoint.gone;
            let pace = self.layout.destinations[destination.0].pace;
            if up {
                simulated_endpoint.plan.capacity * pace / self.slowness(*t)
            } else {
                0.0
            }
        };
        crate::report::rounded(self.destinations[destination.0].targets.iter().map(one).sum())
    }

    fn shut_until(&self, target: EndpointIndex) -> Option<Duration> {
        let here = self.partners[target.0].troubles.iter().map(|n| &self.scenario.troubles[*n]);
        here.filter(|t| matches!(t.what, Fault::Shut { .. })).map(|t| t.ends()).max()
    }

    fn fails_at_once(&mut self, call: RequestId, target: EndpointIndex) -> bool {
        let categories: Vec<usize> = self.calls[call.0]
            .parts
            .iter()
            .map(|(e, _)| self.tries[self.envelopes[e.0].first_try.0].category)
            .collect();
        let mut fails = false;
        for n in self.partners[target.0].troubles.clone() {
            match &self.scenario.troubles[n].what {
                Fault::FastErrors { share, .. } => fails |= share.strikes(&mut self.chances.service),
                Fault::CategoryFails { category, .. } => {
                    fails |= categories.iter().any(|c| self.scenario.categories[*c].name == *category);
                }
                _ => {}
            }
        }
        fails
    }

    fn enqueue(&mut self, call: RequestId, target: EndpointIndex) {
        let simulated_endpoint = &mut self.partners[target.0];
        if simulated_endpoint.busy < simulated_endpoint.plan.workers {
            self.begin_work(call, target);
        } else if simulated_endpoint.queue.len() < simulated_endpoint.plan.queue {
            simulated_endpoint.queue.push_back(call);
        } else {
            let room_in = to_span(1.0 / simulated_endpoint.plan.capacity.max(1e-6));
            self.refuse(call, room_in);
        }
    }

    fn begin_work(&mut self, call: RequestId, target: EndpointIndex) {
        let now = self.now();
        let each =
            self.calls[call.0].parts.iter().map(|(e, _)| self.tries[self.envelopes[e.0].first_try.0].work);
        let works: Vec<f64> = each.collect();
        let longest = works.iter().copied().fold(0.0, f64::max);
        let mut work = longest + PER_EXTRA * (works.iter().sum::<f64>() - longest);
        work *= self.slowness(target);
        for n in self.partners[target.0].troubles.clone() {
            if let Fault::HeavyTail { share, times, .. } = &self.scenario.troubles[n].what {
                let long = share.strikes(&mut self.chances.service);
                let drawn = times.draw(&mut self.chances.service);
                if long {
                    work *= drawn.max(1.0);
                }
            }
        }
        let simulated_endpoint = &mut self.partners[target.0];
        simulated_endpoint.busy += 1;
        simulated_endpoint.serving.push(call);
        let life = simulated_endpoint.life;
        self.calls[call.0].work = work;
        self.calls[call.0].served_from = Some(now);
        let done = self.after_pauses(target, now, to_span(work));
        self.schedule.enter(done, Event::Done(target, life, call));
    }

    /// When work that is begun now is done, where an endpoint stands still now and then.
    fn after_pauses(&self, target: EndpointIndex, now: Duration, work: Duration) -> Duration {
        let mut done = now + work;
        for n in &self.partners[target.0].troubles {
            let scheduled = &self.scenario.troubles[*n];
            let Fault::Pauses { each_s, every_s, .. } = scheduled.what else { continue };
            let mut begins = scheduled.at.0;
            while begins < done && begins < scheduled.ends() {
                let ends = begins + each_s.0;
                if ends > now {
                    done += ends - begins.max(now);
                }
                begins += every_s.0.max(Duration::from_millis(1));
            }
        }
        done
    }

    pub(super) fn done(&mut self, target: EndpointIndex, life: u32, call: RequestId) {
        if self.partners[target.0].life != life {
            return;
        }
        let now = self.now();
        let destination = self.partners[target.0].plan.destination;
        let simulated_endpoint = &mut self.partners[target.0];
        simulated_endpoint.busy = simulated_endpoint.busy.saturating_sub(1);
        simulated_endpoint.serving.retain(|c| *c != call);
        self.apply(call);
        if let Some(load) = self.account.load(destination, now) {
            load.served += 1;
        }
        if self.stands(target, |t| matches!(t, Fault::Hang { .. })) {
            self.partners[target.0].stuck_answers.push(call);
        } else {
            self.send_result(call);
        }
        self.take_next(target);
    }

    /// Work ends with an answer, or with a connection that breaks before it.
    pub(super) fn send_result(&mut self, call: RequestId) {
        let target = self.calls[call.0].target;
        let mut lost = false;
        for n in self.partners[target.0].troubles.clone() {
            if let Fault::AnswersLost { share, .. } = &self.scenario.troubles[n].what {
                lost |= share.strikes(&mut self.chances.service);
            }
        }
        self.reply(call, if lost { AttemptOutcome::ConnectionReset } else { AttemptOutcome::Completed });
    }

    pub(super) fn take_next(&mut self, target: EndpointIndex) {
        while self.partners[target.0].busy < self.partners[target.0].plan.workers {
            let Some(next) = self.partners[target.0].queue.pop_front() else { return };
            if !self.calls[next.0].void {
                self.begin_work(next, target);
            }
        }
    }

    /// The effects of a call's messages.
    fn apply(&mut self, call: RequestId) {
        let now = self.now();
        let parts = self.calls[call.0].parts.clone();
        let work = self.calls[call.0].work;
        self.account.work_done += work;
        let wanted = parts.iter().enumerate().any(|(part, _)| self.calls[call.0].waiting[part]);
        if wanted {
            self.account.work_useful += work;
        }
        for (envelope, _) in parts {
            let first_try = self.envelopes[envelope.0].first_try;
            let t = &mut self.tries[first_try.0];
            t.applied += 1;
            if t.applied > 1 && self.scenario.categories[t.category].effect() != Idempotency::NonIdempotent {
                self.account.repeats_applied += 1;
            }
            self.invariants.applied(now, envelope);
        }
    }

    /// Nobody waits for a call any more. It may run on: what has begun does, what still queues by chance.
    pub(super) fn abandon(&mut self, call: RequestId) {
        let target = self.calls[call.0].target;
        let destination = self.partners[target.0].plan.destination;
        let runs_on = self.kind_of(destination).runs_on.strikes(&mut self.chances.service);
        let c = &mut self.calls[call.0];
        if c.served_from.is_none() && !runs_on {
            c.void = true;
        }
        if std::mem::take(&mut c.connected) && c.life == self.partners[target.0].life {
            let simulated_endpoint = &mut self.partners[target.0];
            simulated_endpoint.connections = simulated_endpoint.connections.saturating_sub(1);
        }
    }

    /// What a hang held back goes on: answers first, then the calls that it took.
    pub(super) fn unstick(&mut self, target: EndpointIndex) {
        if self.stands(target, |t| matches!(t, Fault::Hang { .. })) {
            return;
        }
        for call in std::mem::take(&mut self.partners[target.0].stuck_answers) {
            self.send_result(call);
        }
        for call in std::mem::take(&mut self.partners[target.0].stuck) {
            if !self.calls[call.0].void {
                self.enqueue(call, target);
            }
        }
    }
}
