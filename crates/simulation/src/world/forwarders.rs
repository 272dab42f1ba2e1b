//! Forwarders as hosts: what they are told each tick, what their policy asks for, and the calls they have out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState, MessageId,
    OrderingKey, PeerId, PolicyHost, PreviousAttempt,
};

use super::{Event, World};
use crate::layout::{one_way, DestinationNo, ForwarderNo, TargetNo};
use crate::oracles::{proves_unrun, Answer, EnvelopeNo, Place, Rule, TryNo};
use crate::partner::RequestId;
use crate::policy::{ListLine, Policy, Sight, Submission};
use crate::scenario::zone_name;
use crate::trouble::Trouble;

/// What a forwarder is told at its next turn.
pub(crate) enum Notice {
    List { whole: bool, changes: Vec<(TargetNo, EndpointState)> },
    Submission(EnvelopeNo),
    Recall(EnvelopeNo),
    Ended { envelope: EnvelopeNo, no: usize, outcome: AttemptOutcome, over: bool, place: Place },
    Withdrawn(EnvelopeNo),
    Alarm,
    Note { from: ForwarderNo, text: Vec<u8> },
    Probed { target: TargetNo, well: bool },
}

/// One hand-in to one forwarder, in the world's own book.
pub(crate) struct Envelope {
    pub id: MessageId,
    pub first_try: TryNo,
    pub forwarder: ForwarderNo,
    pub start: u32,
    pub outer_limit: Duration,
    pub over: bool,
    pub dispatches: Vec<Sent>,
}

pub(crate) struct Sent {
    pub target: TargetNo,
    pub at: Duration,
    /// The call it went with, and its place in it; none where it never left.
    pub call: Option<(RequestId, usize)>,
    pub outcome: Option<AttemptOutcome>,
    /// The forwarder has heard the outcome, and its ledger with it.
    pub told: bool,
}

/// One call, with all that travels in it.
pub(crate) struct Call {
    pub forwarder: ForwarderNo,
    pub start: u32,
    pub target: TargetNo,
    pub life: u32,
    pub parts: Vec<(EnvelopeNo, usize)>,
    /// Parts whose outcome the forwarder does not have yet.
    pub waiting: Vec<bool>,
    pub begun: Duration,
    /// Nobody waits for it, and the target found out before it began.
    pub void: bool,
    /// Its connection counts at the target.
    pub connected: bool,
    /// Seconds of work that it came to.
    pub work: f64,
    /// When its work was begun, once it was.
    pub served_from: Option<Duration>,
}

/// One forwarder, whichever start of it.
pub(crate) struct Station {
    pub zone: u32,
    pub start: u32,
    policy: Option<Box<dyn Policy>>,
    inbox: VecDeque<Notice>,
    turn_at: Option<Duration>,
    pub calls_out: usize,
    /// Envelopes taken on and not over.
    pub open: usize,
    /// Not over, by id, in the order of hand-in; what a ledger would hold.
    owed: BTreeMap<usize, EnvelopeNo>,
    list_due: Duration,
}

impl Station {
    pub fn new(zone: u32) -> Station {
        Station {
            zone,
            start: 0,
            policy: None,
            inbox: VecDeque::new(),
            turn_at: None,
            calls_out: 0,
            open: 0,
            owed: BTreeMap::new(),
            list_due: Duration::ZERO,
        }
    }

    pub fn runs(&self) -> bool {
        self.policy.is_some()
    }
}

/// What a policy asks for, in the order in which it does.
enum Asked {
    Dispatch(MessageId, EndpointId, Duration),
    CallOff(MessageId, AttemptNumber),
    Shed(MessageId, Option<Duration>),
    BreakOff(MessageId),
    Wake(Duration),
    Probe(EndpointId),
    Tell(Option<PeerId>, Vec<u8>),
    Fetch,
}

#[derive(Default)]
struct Wishes(Vec<Asked>);

impl PolicyHost for Wishes {
    fn start_attempt(&mut self, envelope: &MessageId, target: EndpointId, spans: AttemptTimeouts) {
        self.0.push(Asked::Dispatch(envelope.clone(), target, spans.response_within));
    }
    fn cancel(&mut self, envelope: &MessageId, dispatch: AttemptNumber) {
        self.0.push(Asked::CallOff(envelope.clone(), dispatch));
    }
    fn reject(&mut self, envelope: &MessageId, come_back: Option<Duration>) {
        self.0.push(Asked::Shed(envelope.clone(), come_back));
    }
    fn fail(&mut self, envelope: &MessageId) {
        self.0.push(Asked::BreakOff(envelope.clone()));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(Asked::Wake(after));
    }
    fn start_health_check(&mut self, target: EndpointId) {
        self.0.push(Asked::Probe(target));
    }
    fn send_gossip(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.0.push(Asked::Tell(peer, note.to_vec()));
    }
    fn subscribe(&mut self, _on: bool) {}
    fn fetch_endpoint_list(&mut self) {
        self.0.push(Asked::Fetch);
    }
    fn log(&mut self, _line: &str) {}
}

/// Targets and destinations have numbers of their own outside; 0 is left free, as hosts may.
pub(crate) fn target_id(target: TargetNo) -> EndpointId {
    EndpointId(target.0 as u32 + 1)
}

fn target_no(id: EndpointId) -> Option<TargetNo> {
    id.0.checked_sub(1).map(|n| TargetNo(n as usize))
}

pub(crate) fn destination_id(destination: DestinationNo) -> DestinationId {
    DestinationId(destination.0 as u64 + 1)
}

fn envelope_id(envelope: EnvelopeNo) -> MessageId {
    MessageId(Arc::from(format!("e{:08}", envelope.0)))
}

fn envelope_no(id: &MessageId) -> Option<EnvelopeNo> {
    id.0.strip_prefix('e').and_then(|n| n.parse().ok()).map(EnvelopeNo)
}

/// The true state, for the ceiling.
struct Eye<'w, 'a>(&'w World<'a>, ForwarderNo);

impl Sight for Eye<'_, '_> {
    fn would_take(&self, target: EndpointId, category: usize, before: u32) -> bool {
        target_no(target).is_some_and(|t| self.0.would_take(t, category, self.1, before))
    }
    fn burden(&self, target: EndpointId) -> f64 {
        let Some(partner) = target_no(target).and_then(|t| self.0.partners.get(t.0)) else { return f64::MAX };
        let load = partner.busy + partner.queue.len() + partner.on_the_way as usize;
        load as f64 / partner.plan.workers as f64
    }
    fn slowness(&self, target: EndpointId) -> f64 {
        target_no(target).map_or(f64::MAX, |t| self.0.slowness(t))
    }
}

impl World<'_> {
    // # Starts and ends.

    pub(super) fn start(&mut self, forwarder: ForwarderNo) {
        let now = self.now();
        let station = &mut self.stations[forwarder.0];
        station.start += 1;
        station.calls_out = 0;
        station.turn_at = None;
        let seed = self.chances.starts.random::<u64>() >> 1;
        let terms = self.scenario.terms(seed, station.zone);
        let mut wishes = Wishes::default();
        let policy = (self.maker)(now, terms, &mut wishes);
        let station = &mut self.stations[forwarder.0];
        station.policy = Some(policy);
        let start = station.start;
        let owed: Vec<EnvelopeNo> = station.owed.values().copied().collect();
        self.carry_out(forwarder, wishes);
        let whole = self.listed.iter().enumerate().filter(|(_, s)| **s != EndpointState::Removed);
        let changes = whole.map(|(n, s)| (TargetNo(n), *s)).collect();
        self.tell(forwarder, start, Notice::List { whole: true, changes });
        for envelope in owed {
            self.envelopes[envelope.0].start = start;
            self.oracles.recalled(now, envelope);
            self.due(envelope);
            self.tell(forwarder, start, Notice::Recall(envelope));
        }
    }

    pub(super) fn kill(&mut self, forwarder: ForwarderNo) {
        let ledger = self.scenario.fleet.ledger;
        let station = &mut self.stations[forwarder.0];
        if station.policy.take().is_none() {
            return;
        }
        station.start += 1;
        station.inbox.clear();
        station.turn_at = None;
        let owed: Vec<EnvelopeNo> = station.owed.values().copied().collect();
        if !ledger {
            station.owed.clear();
            station.open = 0;
        }
        self.oracles.killed(forwarder, ledger);
        let mine = |c: &Call| c.forwarder == forwarder && c.waiting.contains(&true);
        let calls: Vec<usize> = (0..self.calls.len()).filter(|n| mine(&self.calls[*n])).collect();
        for call in calls {
            self.calls[call].waiting.fill(false);
            self.abandon(RequestId(call));
        }
        self.stations[forwarder.0].calls_out = 0;
        for partner in &mut self.partners {
            if let Some(idle) = partner.idle.remove(&forwarder) {
                partner.connections = partner.connections.saturating_sub(idle.len() as u32);
            }
        }
        if ledger {
            return;
        }
        for envelope in owed {
            let e = &mut self.envelopes[envelope.0];
            e.over = true;
            let unsure = e.dispatches.iter().any(|s| !s.told || s.outcome.is_none_or(|o| !proves_unrun(o)));
            let first_try = e.first_try;
            let effect = self.scenario.categories[self.tries[first_try.0].category].effect();
            if unsure && effect != reeddock::Idempotency::Idempotent {
                self.account.ends.lost += 1;
                self.try_over(first_try);
            } else {
                self.orphaned(first_try);
            }
        }
    }

    // # What a forwarder hears.

    /// Puts a notice into the inbox of a forwarder's start, and has it take a turn at the next tick.
    pub(super) fn tell(&mut self, forwarder: ForwarderNo, start: u32, notice: Notice) {
        let now = self.now();
        let tick = self.scenario.fleet.tick.0;
        let station = &mut self.stations[forwarder.0];
        if station.start != start || station.policy.is_none() {
            return;
        }
        station.inbox.push_back(notice);
        if station.turn_at.is_none() {
            let ticks = now.as_nanos().div_ceil(tick.as_nanos().max(1));
            let at = if tick.is_zero() { now } else { tick * u32::try_from(ticks).unwrap_or(u32::MAX) };
            station.turn_at = Some(at);
            self.agenda.enter(at, Event::Turn(forwarder, start));
        }
    }

    pub(super) fn list_due(&mut self, forwarder: ForwarderNo, changes: Vec<(TargetNo, EndpointState)>) {
        let frozen = |n: &usize| matches!(self.scenario.troubles[*n].what, Trouble::ListFrozen {});
        if self.met.keys().any(frozen) {
            self.frozen.push((forwarder, changes));
            return;
        }
        let start = self.stations[forwarder.0].start;
        self.tell(forwarder, start, Notice::List { whole: false, changes });
    }

    /// The list has changed; each forwarder hears of it after a delay of its own, in order.
    pub(super) fn list_changed(&mut self, changes: &[(TargetNo, EndpointState)]) {
        for (target, standing) in changes {
            if self.listed.len() <= target.0 {
                self.listed.resize(target.0 + 1, EndpointState::Removed);
            }
            self.listed[target.0] = *standing;
        }
        for n in 0..self.stations.len() {
            let delay = self.scenario.list.delay_s.span(&mut self.chances.list);
            let due = (self.now() + delay).max(self.stations[n].list_due);
            self.stations[n].list_due = due;
            self.agenda.enter(due, Event::ListDue(ForwarderNo(n), changes.to_vec()));
        }
    }

    pub(super) fn take(&mut self, first_try: TryNo, forwarder: ForwarderNo) {
        let now = self.now();
        let envelope = EnvelopeNo(self.envelopes.len());
        let t = &self.tries[first_try.0];
        let outer_limit = t.first + self.scenario.categories[t.category].outer_limit.0;
        let start = self.stations[forwarder.0].start;
        self.oracles.taken(now, envelope, first_try, forwarder, t.category, t.key, outer_limit);
        let program = &self.scenario.programs[t.program];
        if let Some(after) = program.withdraws_after_s {
            let at = now + after.span(&mut self.chances.clients);
            self.agenda.enter(at, Event::Withdraw(envelope));
        }
        if self.is_down(self.tries[first_try.0].destination) {
            self.down.handed_in += 1;
            self.account.meets_down(first_try.0);
        }
        self.envelopes.push(Envelope {
            id: envelope_id(envelope),
            first_try,
            forwarder,
            start,
            outer_limit,
            over: false,
            dispatches: Vec::new(),
        });
        let station = &mut self.stations[forwarder.0];
        station.open += 1;
        station.owed.insert(envelope.0, envelope);
        self.due(envelope);
        self.tell(forwarder, start, Notice::Submission(envelope));
    }

    /// Looks whether an envelope has its answer once the time for that is past.
    fn due(&mut self, envelope: EnvelopeNo) {
        let slack = self.scenario.fleet.answer_slack.0 + 2 * self.scenario.fleet.tick.0;
        let at = self.envelopes[envelope.0].outer_limit.max(self.now()) + slack;
        self.agenda.enter(at, Event::Overdue(envelope));
    }

    /// An envelope needs nothing more of its forwarder.
    fn close(&mut self, envelope: EnvelopeNo) {
        let e = &mut self.envelopes[envelope.0];
        if std::mem::replace(&mut e.over, true) {
            return;
        }
        let station = &mut self.stations[e.forwarder.0];
        station.open = station.open.saturating_sub(1);
        station.owed.remove(&envelope.0);
    }

    /// Withdrawn by its client, or given up on by it without an answer.
    pub(super) fn gone(&mut self, envelope: EnvelopeNo) {
        self.close(envelope);
        let e = &self.envelopes[envelope.0];
        let (forwarder, start, first_try) = (e.forwarder, e.start, e.first_try);
        self.tell(forwarder, start, Notice::Withdrawn(envelope));
        self.try_over(first_try);
    }

    // # Turns.

    pub(super) fn turn(&mut self, forwarder: ForwarderNo, start: u32) {
        let now = self.now();
        let station = &mut self.stations[forwarder.0];
        if station.start != start {
            return;
        }
        station.turn_at = None;
        let Some(mut policy) = station.policy.take() else { return };
        let inbox = std::mem::take(&mut station.inbox);
        self.turns += 1;
        let mut wishes = Wishes::default();
        for notice in inbox {
            self.hear(forwarder, notice, policy.as_mut(), &mut wishes);
        }
        policy.run_due_work(now, &Eye(self, forwarder), &mut wishes);
        self.stations[forwarder.0].policy = Some(policy);
        self.carry_out(forwarder, wishes);
    }

    fn hear(&mut self, forwarder: ForwarderNo, notice: Notice, policy: &mut dyn Policy, host: &mut Wishes) {
        let now = self.now();
        match notice {
            Notice::List { whole, changes } => {
                if whole {
                    // What a whole list does not name is gone.
                    let named: Vec<TargetNo> = changes.iter().map(|c| c.0).collect();
                    for n in (0..self.listed.len()).map(TargetNo).filter(|n| !named.contains(n)) {
                        self.oracles.listed(now, forwarder, n, EndpointState::Removed);
                    }
                }
                let mut lines = Vec::new();
                for (target, standing) in changes {
                    self.oracles.listed(now, forwarder, target, standing);
                    lines.push(self.list_line(target, standing));
                }
                policy.list(now, whole, &lines, host);
            }
            Notice::Submission(envelope) => policy.submit(now, &self.hand_in_of(envelope), host),
            Notice::Recall(envelope) => {
                policy.submit(now, &self.hand_in_of(envelope), host);
                let e = &self.envelopes[envelope.0];
                let past = |s: &Sent| PreviousAttempt {
                    endpoint: target_id(s.target),
                    started_at: s.at,
                    proves_not_executed: s.told && s.outcome.is_some_and(proves_unrun),
                };
                let past: Vec<PreviousAttempt> = e.dispatches.iter().map(past).collect();
                policy.restore(now, &e.id, &past, host);
            }
            Notice::Ended { envelope, no, outcome, over, place } => {
                let target = self.envelopes[envelope.0].dispatches.get(no).map(|s| s.target);
                self.oracles.told_end(now, envelope, no, outcome, place);
                if let Some(sent) = self.envelopes[envelope.0].dispatches.get_mut(no) {
                    sent.told = true;
                }
                if let Some(target) = target {
                    let failed = !matches!(
                        outcome,
                        AttemptOutcome::Completed
                            | AttemptOutcome::Cancelled
                            | AttemptOutcome::NotSent
                            | AttemptOutcome::Malformed
                    );
                    if failed && self.partners[target.0].outages > 0 {
                        self.oracles.saw_trouble(forwarder, target);
                    }
                }
                let id = self.envelopes[envelope.0].id.clone();
                policy.attempt_finished(now, &id, AttemptNumber(no as u32), outcome, over, host);
            }
            Notice::Withdrawn(envelope) => policy.withdraw(&self.envelopes[envelope.0].id, host),
            Notice::Alarm => policy.timer_fired(now),
            Notice::Note { from, text } => policy.gossip_received(now, PeerId(from.0 as u32), &text),
            Notice::Probed { target, well } => {
                if !well && self.partners[target.0].outages > 0 {
                    self.oracles.saw_trouble(forwarder, target);
                }
                policy.health_checked(now, target_id(target), well);
            }
        }
    }

    fn list_line(&self, target: TargetNo, standing: EndpointState) -> ListLine {
        let plan = &self.partners[target.0].plan;
        let rates = self.scenario.list.weights == crate::scenario::Weights::Rates;
        ListLine {
            target: target_id(target),
            destination: destination_id(plan.destination),
            standing,
            weight: plan.listed_weight.filter(|_| rates),
            zone: zone_name(plan.zone),
            kind: self.kind_of(plan.destination).name.clone(),
        }
    }

    fn hand_in_of(&self, envelope: EnvelopeNo) -> Submission {
        let e = &self.envelopes[envelope.0];
        let t = &self.tries[e.first_try.0];
        Submission {
            id: e.id.clone(),
            category: self.scenario.categories[t.category].name.clone(),
            program: self.scenario.programs[t.program].name.clone(),
            key: t.key.map(OrderingKey),
            outer_limit: e.outer_limit,
            destination: destination_id(t.destination),
        }
    }

    // # What a policy asks for.

    fn carry_out(&mut self, forwarder: ForwarderNo, wishes: Wishes) {
        let mut forming: BTreeMap<TargetNo, RequestId> = BTreeMap::new();
        let mut launched: Vec<RequestId> = Vec::new();
        let start = self.stations[forwarder.0].start;
        for asked in wishes.0 {
            match asked {
                Asked::Dispatch(id, target, time_out) => {
                    let formed = self.dispatch(forwarder, &id, target, time_out, &mut forming);
                    launched.extend(formed.filter(|call| !launched.contains(call)));
                }
                Asked::CallOff(id, no) => {
                    let Some(envelope) = self.known(forwarder, &id) else { continue };
                    let sent = self.envelopes[envelope.0].dispatches.get(no.0 as usize);
                    match sent.map(|s| s.call) {
                        None => {
                            let what = format!("called off dispatch {} that was never made", no.0);
                            self.oracles.fault(Rule::Interface, self.now(), Some(envelope), what);
                        }
                        Some(Some((call, part))) => self.stop_waiting(call, part, AttemptOutcome::Cancelled),
                        Some(None) => {}
                    }
                }
                Asked::Shed(id, come_back) => self.final_answer(forwarder, &id, Answer::Shed, come_back),
                Asked::BreakOff(id) => self.final_answer(forwarder, &id, Answer::BrokenOff, None),
                Asked::Wake(after) => {
                    let at = self.now() + after;
                    self.agenda.enter(at, Event::Alarm(forwarder, start));
                }
                Asked::Probe(target) => self.probe(forwarder, target),
                Asked::Tell(to, text) => self.send_note(forwarder, to, text),
                Asked::Fetch => {
                    let whole = self.listed.iter().enumerate().filter(|(_, s)| **s != EndpointState::Removed);
                    let changes = whole.map(|(n, s)| (TargetNo(n), *s)).collect();
                    let at = self.now() + self.scenario.list.delay_s.span(&mut self.chances.list);
                    let notice = Notice::List { whole: true, changes };
                    self.agenda.enter(at, Event::Notice(forwarder, start, notice));
                }
            }
        }
        for call in launched {
            self.launch(call);
        }
    }

    /// An envelope that this start of the forwarder was given.
    fn known(&mut self, forwarder: ForwarderNo, id: &MessageId) -> Option<EnvelopeNo> {
        let start = self.stations[forwarder.0].start;
        let given = |e: &EnvelopeNo| {
            self.envelopes.get(e.0).is_some_and(|e| e.forwarder == forwarder && e.start == start)
        };
        let envelope = envelope_no(id).filter(given);
        if envelope.is_none() {
            let what = format!("forwarder {} names {:?}, which it was not given", forwarder.0, id.0);
            self.oracles.fault(Rule::Interface, self.now(), None, what);
        }
        envelope
    }

    fn final_answer(
        &mut self,
        forwarder: ForwarderNo,
        id: &MessageId,
        answer: Answer,
        come_back: Option<Duration>,
    ) {
        let Some(envelope) = self.known(forwarder, id) else { return };
        let now = self.now();
        self.oracles.answered(now, envelope, answer);
        if self.envelopes[envelope.0].over {
            return;
        }
        self.close(envelope);
        let first_try = self.envelopes[envelope.0].first_try;
        if answer == Answer::Shed {
            self.account.ends.shed += 1;
            self.account.second(now).shed += 1;
            self.refused(first_try, come_back);
        } else {
            self.account.ends.broken_off += 1;
            self.account.second(now).broken_off += 1;
            self.try_over(first_try);
        }
    }

    fn send_note(&mut self, from: ForwarderNo, to: Option<PeerId>, text: Vec<u8>) {
        let notes = &self.scenario.notes;
        let cut: Vec<Vec<ForwarderNo>> = (self.met.keys())
            .filter_map(|n| match &self.scenario.troubles[*n].what {
                Trouble::CutOff { which } => Some(self.layout.which(which)),
                _ => None,
            })
            .collect();
        for n in (0..self.stations.len()).map(ForwarderNo).filter(|n| *n != from) {
            if !notes.allowed || to.is_some_and(|to| to.0 as usize != n.0) {
                continue;
            }
            let delay = notes.delay_ms.millis(&mut self.chances.network);
            let lost = notes.lost.strikes(&mut self.chances.network);
            let parted = cut.iter().any(|side| side.contains(&from) != side.contains(&n));
            if lost || parted {
                continue;
            }
            self.account.notes += 1;
            let start = self.stations[n.0].start;
            let notice = Notice::Note { from, text: text.clone() };
            let at = self.now() + delay;
            self.agenda.enter(at, Event::Notice(n, start, notice));
        }
    }

    // # Calls.

    fn dispatch(
        &mut self,
        forwarder: ForwarderNo,
        id: &MessageId,
        target: EndpointId,
        time_out: Duration,
        forming: &mut BTreeMap<TargetNo, RequestId>,
    ) -> Option<RequestId> {
        let now = self.now();
        let envelope = self.known(forwarder, id)?;
        let Some(target) = target_no(target).filter(|t| t.0 < self.partners.len()) else {
            let what = format!("sent to target {}, which no list has named", target.0);
            self.oracles.fault(Rule::Interface, now, Some(envelope), what);
            return None;
        };
        let e = &self.envelopes[envelope.0];
        let t = &self.tries[e.first_try.0];
        let destination = self.partners[target.0].plan.destination;
        if destination != t.destination {
            let what = format!("sent to target {} of another destination", target.0);
            self.oracles.fault(Rule::Interface, now, Some(envelope), what);
            return None;
        }
        let places = [Place::Destination(destination.0), Place::Target(target)];
        self.oracles.dispatched(now, envelope, target, places);
        self.account.dispatches.all += 1;
        self.account.second(now).dispatched += 1;
        let start = self.stations[forwarder.0].start;
        let batch = self.kind_of(destination).batch as usize;
        let joins = forming.get(&target).copied().filter(|c| self.calls[c.0].parts.len() < batch);
        let e = &mut self.envelopes[envelope.0];
        let no = e.dispatches.len();
        let fleet = &self.scenario.fleet;
        let free = joins.is_some() || self.stations[forwarder.0].calls_out < fleet.slots as usize;
        if e.over || no >= fleet.dispatch_cap as usize || !free {
            e.dispatches.push(Sent {
                target,
                at: now,
                call: None,
                outcome: Some(AttemptOutcome::NotSent),
                told: false,
            });
            self.account.dispatches.unsent += 1;
            let place = self.place_of(target);
            let over = self.envelopes[envelope.0].over;
            let notice = Notice::Ended { envelope, no, outcome: AttemptOutcome::NotSent, over, place };
            let at = now + fleet.tick.0;
            self.agenda.enter(at, Event::Notice(forwarder, start, notice));
            return None;
        }
        let call = joins.unwrap_or_else(|| {
            let call = RequestId(self.calls.len());
            self.calls.push(Call {
                forwarder,
                start,
                target,
                life: self.partners[target.0].life,
                parts: Vec::new(),
                waiting: Vec::new(),
                begun: now,
                void: false,
                connected: false,
                work: 0.0,
                served_from: None,
            });
            self.stations[forwarder.0].calls_out += 1;
            forming.insert(target, call);
            call
        });
        if self.partners[target.0].outages > 0 {
            self.down.dispatches += 1;
            self.down.first_lost += u64::from(no == 0);
            self.down.first_lost_to_known += u64::from(no == 0 && self.oracles.outage_is_known(target));
        }
        let part = self.calls[call.0].parts.len();
        self.calls[call.0].parts.push((envelope, no));
        self.calls[call.0].waiting.push(true);
        let e = &mut self.envelopes[envelope.0];
        e.dispatches.push(Sent { target, at: now, call: Some((call, part)), outcome: None, told: false });
        // A longer one would outlive what is owed.
        let time_out = time_out.min(e.outer_limit.saturating_sub(now));
        self.agenda.enter(now + time_out, Event::TimeOut(call, part));
        Some(call)
    }

    fn launch(&mut self, call: RequestId) {
        let now = self.now();
        let (forwarder, target) = (self.calls[call.0].forwarder, self.calls[call.0].target);
        let across = self.stations[forwarder.0].zone != self.partners[target.0].plan.zone;
        let way = one_way(self.scenario, across, &mut self.chances.network);
        let handshake = self.scenario.network.handshake_ms.millis(&mut self.chances.network);
        self.account.dispatches.calls += 1;
        let idle_from = now.saturating_sub(self.scenario.network.idle.0);
        let silent = self.stands(target, |t| matches!(t, Trouble::Silent { .. }));
        let refused = self.refuses_connections(target);
        let most = self.kind_of(self.partners[target.0].plan.destination).connections;
        let partner = &mut self.partners[target.0];
        partner.close_idle_before(idle_from);
        let kept = partner.idle.get_mut(&forwarder).and_then(Vec::pop);
        partner.on_the_way += 1;
        self.calls[call.0].life = partner.life;
        if kept.is_some() {
            self.calls[call.0].connected = true;
            self.agenda.enter(now + way, Event::Reach(call));
            return;
        }
        self.down.connections += u64::from(partner.outages > 0);
        let full = most.is_some_and(|most| partner.connections >= most);
        if refused || full {
            partner.on_the_way -= 1;
            self.agenda.enter(now + 2 * way, Event::NotConnected(call));
        } else if silent {
            partner.on_the_way -= 1;
            self.agenda.enter(now + self.scenario.network.connect_within.0, Event::NotConnected(call));
        } else {
            partner.connections += 1;
            self.calls[call.0].connected = true;
            self.account.new_connections += 1;
            self.agenda.enter(now + 3 * way + handshake, Event::Reach(call));
        }
    }

    /// An answer, or the end of its connection, has come back to the forwarder.
    pub(super) fn answer(&mut self, call: RequestId, outcome: AttemptOutcome) {
        let parts = 0..self.calls[call.0].parts.len();
        for part in parts {
            if self.calls[call.0].waiting[part] {
                self.settle(call, part, outcome);
            }
        }
    }

    /// The forwarder stops waiting for one envelope of a call, if it still does.
    pub(super) fn stop_waiting(&mut self, call: RequestId, part: usize, outcome: AttemptOutcome) {
        if !self.calls[call.0].waiting[part] {
            return;
        }
        self.settle(call, part, outcome);
        if !self.calls[call.0].waiting.contains(&true) {
            self.abandon(call);
        }
    }

    /// One dispatch has its outcome.
    fn settle(&mut self, call: RequestId, part: usize, outcome: AttemptOutcome) {
        let now = self.now();
        self.calls[call.0].waiting[part] = false;
        let (envelope, no) = self.calls[call.0].parts[part];
        let (forwarder, start, target) =
            (self.calls[call.0].forwarder, self.calls[call.0].start, self.calls[call.0].target);
        self.envelopes[envelope.0].dispatches[no].outcome = Some(outcome);
        let counts = &mut self.account.dispatches;
        match outcome {
            AttemptOutcome::Completed => counts.completed += 1,
            AttemptOutcome::Error => counts.errors += 1,
            AttemptOutcome::Rejected { .. } => counts.full += 1,
            AttemptOutcome::TimedOut => counts.timed_out += 1,
            AttemptOutcome::NoConnection => counts.no_connection += 1,
            AttemptOutcome::ConnectionReset => counts.broken += 1,
            AttemptOutcome::Cancelled => counts.called_off += 1,
            AttemptOutcome::NotSent | AttemptOutcome::Malformed => {}
        }
        if matches!(outcome, AttemptOutcome::Rejected { .. }) {
            self.account.second(now).refused += 1;
        }
        let mut over = self.envelopes[envelope.0].over;
        if outcome == AttemptOutcome::Completed && !over {
            over = true;
            let first_try = self.envelopes[envelope.0].first_try;
            self.oracles.answered(now, envelope, Answer::Completed);
            self.account.completed(self.scenario, now, first_try.0);
            self.close(envelope);
            self.try_over(first_try);
        }
        if !self.calls[call.0].waiting.contains(&true) {
            self.free_slot(call, outcome);
        }
        let place = self.place_of(target);
        self.tell(forwarder, start, Notice::Ended { envelope, no, outcome, over, place });
    }

    /// A call has all its outcomes: its slot is free, and its connection is kept where the last one was an
    /// answer.
    fn free_slot(&mut self, call: RequestId, outcome: AttemptOutcome) {
        let now = self.now();
        let c = &mut self.calls[call.0];
        let station = &mut self.stations[c.forwarder.0];
        station.calls_out = station.calls_out.saturating_sub(1);
        let until = now.min(self.scenario.lasts.0);
        self.account.slot_seconds += until.saturating_sub(c.begun).as_secs_f64();
        let answered = matches!(
            outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        let partner = &mut self.partners[c.target.0];
        if !std::mem::take(&mut c.connected) || c.life != partner.life {
            return;
        }
        if answered {
            partner.idle.entry(c.forwarder).or_default().push(now);
        } else {
            partner.connections = partner.connections.saturating_sub(1);
        }
    }

    fn probe(&mut self, forwarder: ForwarderNo, target: EndpointId) {
        let Some(target) = target_no(target).filter(|t| t.0 < self.partners.len()) else { return };
        self.account.probes += 1;
        let across = self.stations[forwarder.0].zone != self.partners[target.0].plan.zone;
        let way = one_way(self.scenario, across, &mut self.chances.network);
        let start = self.stations[forwarder.0].start;
        let at = self.now() + way;
        self.agenda.enter(at, Event::ProbeReaches(forwarder, start, target));
    }
}
