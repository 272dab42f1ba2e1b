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
use crate::fault::Fault;
use crate::invariants::{proves_unrun, Answer, MessageIndex, Place, Rule, SubmissionIndex};
use crate::layout::{one_way, DestinationIndex, EndpointIndex, ForwarderIndex};
use crate::policy::{ListLine, Policy, Submission, WorldView};
use crate::scenario::zone_name;
use crate::simulated_endpoint::RequestId;

/// What a forwarder is told at its next turn.
pub(crate) enum Notice {
    List { whole: bool, changes: Vec<(EndpointIndex, EndpointState)> },
    Submission(MessageIndex),
    Recall(MessageIndex),
    Ended { envelope: MessageIndex, no: usize, outcome: AttemptOutcome, over: bool, place: Place },
    Withdrawn(MessageIndex),
    Alarm,
    Note { from: ForwarderIndex, text: Vec<u8> },
    Probed { target: EndpointIndex, well: bool },
}

/// One hand-in to one forwarder, in the world's own book.
pub(crate) struct Envelope {
    pub id: MessageId,
    pub first_try: SubmissionIndex,
    pub forwarder: ForwarderIndex,
    pub start: u32,
    pub outer_limit: Duration,
    pub over: bool,
    pub dispatches: Vec<Sent>,
}

pub(crate) struct Sent {
    pub target: EndpointIndex,
    pub at: Duration,
    /// The call it went with, and its place in it; none where it never left.
    pub call: Option<(RequestId, usize)>,
    pub outcome: Option<AttemptOutcome>,
    /// The forwarder has heard the outcome, and its ledger with it.
    pub told: bool,
}

/// One call, with all that travels in it.
pub(crate) struct Call {
    pub forwarder: ForwarderIndex,
    pub start: u32,
    pub target: EndpointIndex,
    pub life: u32,
    pub parts: Vec<(MessageIndex, usize)>,
    /// Parts whose outcome the forwarder does not have yet.
    pub waiting: Vec<bool>,
    pub begun: Duration,
    /// Nobody waits for it, and the endpoint found out before it began.
    pub void: bool,
    /// Its connection counts at the endpoint.
    pub connected: bool,
    /// Seconds of work that it came to.
    pub work: f64,
    /// When its work was begun, once it was.
    pub served_from: Option<Duration>,
}

/// One forwarder, whichever start of it.
pub(crate) struct SimulatedForwarder {
    pub zone: u32,
    pub start: u32,
    policy: Option<Box<dyn Policy>>,
    inbox: VecDeque<Notice>,
    turn_at: Option<Duration>,
    pub calls_out: usize,
    /// Messages accepted and not over.
    pub open: usize,
    /// Not over, by id, in the order of hand-in; what a ledger would hold.
    owed: BTreeMap<usize, MessageIndex>,
    list_due: Duration,
}

impl SimulatedForwarder {
    pub fn new(zone: u32) -> SimulatedForwarder {
        SimulatedForwarder {
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
enum HostCommand {
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
struct CommandLog(Vec<HostCommand>);

impl PolicyHost for CommandLog {
    fn start_attempt(&mut self, envelope: &MessageId, target: EndpointId, spans: AttemptTimeouts) {
        self.0.push(HostCommand::Dispatch(envelope.clone(), target, spans.response_within));
    }
    fn cancel(&mut self, envelope: &MessageId, dispatch: AttemptNumber) {
        self.0.push(HostCommand::CallOff(envelope.clone(), dispatch));
    }
    fn reject(&mut self, envelope: &MessageId, come_back: Option<Duration>) {
        self.0.push(HostCommand::Shed(envelope.clone(), come_back));
    }
    fn fail(&mut self, envelope: &MessageId) {
        self.0.push(HostCommand::BreakOff(envelope.clone()));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(HostCommand::Wake(after));
    }
    fn start_health_check(&mut self, target: EndpointId) {
        self.0.push(HostCommand::Probe(target));
    }
    fn send_gossip(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.0.push(HostCommand::Tell(peer, note.to_vec()));
    }
    fn subscribe(&mut self, _on: bool) {}
    fn fetch_endpoint_list(&mut self) {
        self.0.push(HostCommand::Fetch);
    }
    fn log(&mut self, _line: &str) {}
}

/// Endpoints and destinations have numbers of their own outside; 0 is left free, as hosts may.
pub(crate) fn target_id(target: EndpointIndex) -> EndpointId {
    EndpointId(target.0 as u32 + 1)
}

fn target_no(id: EndpointId) -> Option<EndpointIndex> {
    id.0.checked_sub(1).map(|n| EndpointIndex(n as usize))
}

pub(crate) fn destination_id(destination: DestinationIndex) -> DestinationId {
    DestinationId(destination.0 as u64 + 1)
}

fn envelope_id(envelope: MessageIndex) -> MessageId {
    MessageId(Arc::from(format!("e{:08}", envelope.0)))
}

fn envelope_no(id: &MessageId) -> Option<MessageIndex> {
    id.0.strip_prefix('e').and_then(|n| n.parse().ok()).map(MessageIndex)
}

/// The true state, for the ceiling.
struct Eye<'w, 'a>(&'w World<'a>, ForwarderIndex);

impl WorldView for Eye<'_, '_> {
    fn would_take(&self, target: EndpointId, category: usize, before: u32) -> bool {
        target_no(target).is_some_and(|t| self.0.would_take(t, category, self.1, before))
    }
    fn burden(&self, target: EndpointId) -> f64 {
        let Some(simulated_endpoint) = target_no(target).and_then(|t| self.0.partners.get(t.0)) else {
            return f64::MAX;
        };
        let load =
            simulated_endpoint.busy + simulated_endpoint.queue.len() + simulated_endpoint.on_the_way as usize;
        load as f64 / simulated_endpoint.plan.workers as f64
    }
    fn slowness(&self, target: EndpointId) -> f64 {
        target_no(target).map_or(f64::MAX, |t| self.0.slowness(t))
    }
}

impl World<'_> {
    // # Starts and ends.

    pub(super) fn start(&mut self, forwarder: ForwarderIndex) {
        let now = self.now();
        let station = &mut self.stations[forwarder.0];
        station.start += 1;
        station.calls_out = 0;
        station.turn_at = None;
        let seed = self.chances.starts.random::<u64>() >> 1;
        let terms = self.scenario.terms(seed, station.zone);
        let mut wishes = CommandLog::default();
        let policy = (self.maker)(now, terms, &mut wishes);
        let station = &mut self.stations[forwarder.0];
        station.policy = Some(policy);
        let start = station.start;
        let owed: Vec<MessageIndex> = station.owed.values().copied().collect();
        self.carry_out(forwarder, wishes);
        let whole = self.listed.iter().enumerate().filter(|(_, s)| **s != EndpointState::Removed);
        let changes = whole.map(|(n, s)| (EndpointIndex(n), *s)).collect();
        self.tell(forwarder, start, Notice::List { whole: true, changes });
        for envelope in owed {
            self.envelopes[envelope.0].start = start;
            self.invariants.recalled(now, envelope);
            self.due(envelope);
            self.tell(forwarder, start, Notice::Recall(envelope));
        }
    }

    pub(super) fn kill(&mut self, forwarder: ForwarderIndex) {
        let ledger = self.scenario.fleet.ledger;
        let station = &mut self.stations[forwarder.0];
        if station.policy.take().is_none() {
            return;
        }
        station.start += 1;
        station.inbox.clear();
        station.turn_at = None;
        let owed: Vec<MessageIndex> = station.owed.values().copied().collect();
        if !ledger {
            station.owed.clear();
            station.open = 0;
        }
        self.invariants.killed(forwarder, ledger);
        let mine = |c: &Call| c.forwarder == forwarder && c.waiting.contains(&true);
        let calls: Vec<usize> = (0..self.calls.len()).filter(|n| mine(&self.calls[*n])).collect();
        for call in calls {
            self.calls[call].waiting.fill(false);
            self.abandon(RequestId(call));
        }
        self.stations[forwarder.0].calls_out = 0;
        for simulated_endpoint in &mut self.partners {
            if let Some(idle) = simulated_endpoint.idle.remove(&forwarder) {
                simulated_endpoint.connections =
                    simulated_endpoint.connections.saturating_sub(idle.len() as u32);
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
    pub(super) fn tell(&mut self, forwarder: ForwarderIndex, start: u32, notice: Notice) {
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
            self.schedule.enter(at, Event::Turn(forwarder, start));
        }
    }

    pub(super) fn list_due(
        &mut self,
        forwarder: ForwarderIndex,
        changes: Vec<(EndpointIndex, EndpointState)>,
    ) {
        let frozen = |n: &usize| matches!(self.scenario.troubles[*n].what, Fault::ListFrozen {});
        if self.met.keys().any(frozen) {
            self.frozen.push((forwarder, changes));
            return;
        }
        let start = self.stations[forwarder.0].start;
        self.tell(forwarder, start, Notice::List { whole: false, changes });
    }

    /// The list has changed; each forwarder hears of it after a delay of its own, in order.
    pub(super) fn list_changed(&mut self, changes: &[(EndpointIndex, EndpointState)]) {
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
            self.schedule.enter(due, Event::ListDue(ForwarderIndex(n), changes.to_vec()));
        }
    }

    pub(super) fn take(&mut self, first_try: SubmissionIndex, forwarder: ForwarderIndex) {
        let now = self.now();
        let envelope = MessageIndex(self.envelopes.len());
        let t = &self.tries[first_try.0];
        let outer_limit = t.first + self.scenario.categories[t.category].outer_limit.0;
        let start = self.stations[forwarder.0].start;
        self.invariants.taken(now, envelope, first_try, forwarder, t.category, t.key, outer_limit);
        let program = &self.scenario.programs[t.program];
        if let Some(after) = program.withdraws_after_s {
            let at = now + after.span(&mut self.chances.clients);
            self.schedule.enter(at, Event::Withdraw(envelope));
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

    /// Looks whether a message has its answer once the time for that is past.
    fn due(&mut self, envelope: MessageIndex) {
        let slack = self.scenario.fleet.answer_slack.0 + 2 * self.scenario.fleet.tick.0;
        let at = self.envelopes[envelope.0].outer_limit.max(self.now()) + slack;
        self.schedule.enter(at, Event::Overdue(envelope));
    }

    /// A message needs nothing more of its forwarder.
    fn close(&mut self, envelope: MessageIndex) {
        let e = &mut self.envelopes[envelope.0];
        if std::mem::replace(&mut e.over, true) {
            return;
        }
        let station = &mut self.stations[e.forwarder.0];
        station.open = station.open.saturating_sub(1);
        station.owed.remove(&envelope.0);
    }

    /// Withdrawn by its client, or given up on by it without an answer.
    pub(super) fn gone(&mut self, envelope: MessageIndex) {
        self.close(envelope);
        let e = &self.envelopes[envelope.0];
        let (forwarder, start, first_try) = (e.forwarder, e.start, e.first_try);
        self.tell(forwarder, start, Notice::Withdrawn(envelope));
        self.try_over(first_try);
    }

    // # Turns.

    pub(super) fn turn(&mut self, forwarder: ForwarderIndex, start: u32) {
        let now = self.now();
        let station = &mut self.stations[forwarder.0];
        if station.start != start {
            return;
        }
        station.turn_at = None;
        let Some(mut policy) = station.policy.take() else { return };
        let inbox = std::mem::take(&mut station.inbox);
        self.turns += 1;
        let mut wishes = CommandLog::default();
        for notice in inbox {
            self.hear(forwarder, notice, policy.as_mut(), &mut wishes);
        }
        policy.run_due_work(now, &Eye(self, forwarder), &mut wishes);
        self.stations[forwarder.0].policy = Some(policy);
        self.carry_out(forwarder, wishes);
    }

    fn hear(
        &mut self,
        forwarder: ForwarderIndex,
        notice: Notice,
        policy: &mut dyn Policy,
        host: &mut CommandLog,
    ) {
        let now = self.now();
        match notice {
            Notice::List { whole, changes } => {
                if whole {
                    // What a whole list does not name is gone.
                    let named: Vec<EndpointIndex> = changes.iter().map(|c| c.0).collect();
                    for n in (0..self.listed.len()).map(EndpointIndex).filter(|n| !named.contains(n)) {
                        self.invariants.listed(now, forwarder, n, EndpointState::Removed);
                    }
                }
                let mut lines = Vec::new();
                for (target, standing) in changes {
                    self.invariants.listed(now, forwarder, target, standing);
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
                self.invariants.told_end(now, envelope, no, outcome, place);
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
                        self.invariants.saw_trouble(forwarder, target);
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
                    self.invariants.saw_trouble(forwarder, target);
                }
                policy.health_checked(now, target_id(target), well);
            }
        }
    }

    fn list_line(&self, target: EndpointIndex, standing: EndpointState) -> ListLine {
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

    fn hand_in_of(&self, envelope: MessageIndex) -> Submission {
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

    fn carry_out(&mut self, forwarder: ForwarderIndex, wishes: CommandLog) {
        let mut forming: BTreeMap<EndpointIndex, RequestId> = BTreeMap::new();
        let mut launched: Vec<RequestId> = Vec::new();
        let start = self.stations[forwarder.0].start;
        for asked in wishes.0 {
            match asked {
                HostCommand::Dispatch(id, target, time_out) => {
                    let formed = self.dispatch(forwarder, &id, target, time_out, &mut forming);
                    launched.extend(formed.filter(|call| !launched.contains(call)));
                }
                HostCommand::CallOff(id, no) => {
                    let Some(envelope) = self.known(forwarder, &id) else { continue };
                    let sent = self.envelopes[envelope.0].dispatches.get(no.0 as usize);
                    match sent.map(|s| s.call) {
                        None => {
                            let what = format!("called off dispatch {} that was never made", no.0);
                            self.invariants.fault(Rule::Interface, self.now(), Some(envelope), what);
                        }
                        Some(Some((call, part))) => self.stop_waiting(call, part, AttemptOutcome::Cancelled),
                        Some(None) => {}
                    }
                }
                HostCommand::Shed(id, come_back) => {
                    self.final_answer(forwarder, &id, Answer::Shed, come_back)
                }
                HostCommand::BreakOff(id) => self.final_answer(forwarder, &id, Answer::BrokenOff, None),
                HostCommand::Wake(after) => {
                    let at = self.now() + after;
                    self.schedule.enter(at, Event::Alarm(forwarder, start));
                }
                HostCommand::Probe(target) => self.probe(forwarder, target),
                HostCommand::Tell(to, text) => self.send_note(forwarder, to, text),
                HostCommand::Fetch => {
                    let whole = self.listed.iter().enumerate().filter(|(_, s)| **s != EndpointState::Removed);
                    let changes = whole.map(|(n, s)| (EndpointIndex(n), *s)).collect();
                    let at = self.now() + self.scenario.list.delay_s.span(&mut self.chances.list);
                    let notice = Notice::List { whole: true, changes };
                    self.schedule.enter(at, Event::Notice(forwarder, start, notice));
                }
            }
        }
        for call in launched {
            self.launch(call);
        }
    }

    /// A message that this start of the forwarder was given.
    fn known(&mut self, forwarder: ForwarderIndex, id: &MessageId) -> Option<MessageIndex> {
        let start = self.stations[forwarder.0].start;
        let given = |e: &MessageIndex| {
            self.envelopes.get(e.0).is_some_and(|e| e.forwarder == forwarder && e.start == start)
        };
        let envelope = envelope_no(id).filter(given);
        if envelope.is_none() {
            let what = format!("forwarder {} names {:?}, which it was not given", forwarder.0, id.0);
            self.invariants.fault(Rule::Interface, self.now(), None, what);
        }
        envelope
    }

    fn final_answer(
        &mut self,
        forwarder: ForwarderIndex,
        id: &MessageId,
        answer: Answer,
        come_back: Option<Duration>,
    ) {
        let Some(envelope) = self.known(forwarder, id) else { return };
        let now = self.now();
        self.invariants.answered(now, envelope, answer);
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

    fn send_note(&mut self, from: ForwarderIndex, to: Option<PeerId>, text: Vec<u8>) {
        let notes = &self.scenario.notes;
        let cut: Vec<Vec<ForwarderIndex>> = (self.met.keys())
            .filter_map(|n| match &self.scenario.troubles[*n].what {
                Fault::CutOff { which } => Some(self.layout.which(which)),
                _ => None,
            })
            .collect();
        for n in (0..self.stations.len()).map(ForwarderIndex).filter(|n| *n != from) {
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
            self.schedule.enter(at, Event::Notice(n, start, notice));
        }
    }

    // # Calls.

    fn dispatch(
        &mut self,
        forwarder: ForwarderIndex,
        id: &MessageId,
        target: EndpointId,
        time_out: Duration,
        forming: &mut BTreeMap<EndpointIndex, RequestId>,
    ) -> Option<RequestId> {
        let now = self.now();
        let envelope = self.known(forwarder, id)?;
        let Some(target) = target_no(target).filter(|t| t.0 < self.partners.len()) else {
            let what = format!("sent to target {}, which no list has named", target.0);
            self.invariants.fault(Rule::Interface, now, Some(envelope), what);
            return None;
        };
        let e = &self.envelopes[envelope.0];
        let t = &self.tries[e.first_try.0];
        let destination = self.partners[target.0].plan.destination;
        if destination != t.destination {
            let what = format!("sent to target {} of another destination", target.0);
            self.invariants.fault(Rule::Interface, now, Some(envelope), what);
            return None;
        }
        let places = [Place::Destination(destination.0), Place::Target(target)];
        self.invariants.dispatched(now, envelope, target, places);
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
            self.schedule.enter(at, Event::Notice(forwarder, start, notice));
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
            self.down.first_lost_to_known += u64::from(no == 0 && self.invariants.outage_is_known(target));
        }
        let part = self.calls[call.0].parts.len();
        self.calls[call.0].parts.push((envelope, no));
        self.calls[call.0].waiting.push(true);
        let e = &mut self.envelopes[envelope.0];
        e.dispatches.push(Sent { target, at: now, call: Some((call, part)), outcome: None, told: false });
        // A longer one would outlive what is owed.
        let time_out = time_out.min(e.outer_limit.saturating_sub(now));
        self.schedule.enter(now + time_out, Event::TimeOut(call, part));
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
        let silent = self.stands(target, |t| matches!(t, Fault::Silent { .. }));
        let refused = self.refuses_connections(target);
        let most = self.kind_of(self.partners[target.0].plan.destination).connections;
        let simulated_endpoint = &mut self.partners[target.0];
        simulated_endpoint.close_idle_before(idle_from);
        let kept = simulated_endpoint.idle.get_mut(&forwarder).and_then(Vec::pop);
        simulated_endpoint.on_the_way += 1;
        self.calls[call.0].life = simulated_endpoint.life;
        if kept.is_some() {
            self.calls[call.0].connected = true;
            self.schedule.enter(now + way, Event::Reach(call));
            return;
        }
        self.down.connections += u64::from(simulated_endpoint.outages > 0);
        let full = most.is_some_and(|most| simulated_endpoint.connections >= most);
        if refused || full {
            simulated_endpoint.on_the_way -= 1;
            self.schedule.enter(now + 2 * way, Event::NotConnected(call));
        } else if silent {
            simulated_endpoint.on_the_way -= 1;
            self.schedule.enter(now + self.scenario.network.connect_within.0, Event::NotConnected(call));
        } else {
            simulated_endpoint.connections += 1;
            self.calls[call.0].connected = true;
            self.account.new_connections += 1;
            self.schedule.enter(now + 3 * way + handshake, Event::Reach(call));
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

    /// The forwarder stops waiting for one message of a call, if it still does.
    pub(super) fn stop_waiting(&mut self, call: RequestId, part: usize, outcome: AttemptOutcome) {
        if !self.calls[call.0].waiting[part] {
            return;
        }
        self.settle(call, part, outcome);
        if !self.calls[call.0].waiting.contains(&true) {
            self.abandon(call);
        }
    }

    /// One attempt has its outcome.
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
            self.invariants.answered(now, envelope, Answer::Completed);
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
        let simulated_endpoint = &mut self.partners[c.target.0];
        if !std::mem::take(&mut c.connected) || c.life != simulated_endpoint.life {
            return;
        }
        if answered {
            simulated_endpoint.idle.entry(c.forwarder).or_default().push(now);
        } else {
            simulated_endpoint.connections = simulated_endpoint.connections.saturating_sub(1);
        }
    }

    fn probe(&mut self, forwarder: ForwarderIndex, target: EndpointId) {
        let Some(target) = target_no(target).filter(|t| t.0 < self.partners.len()) else { return };
        self.account.probes += 1;
        let across = self.stations[forwarder.0].zone != self.partners[target.0].plan.zone;
        let way = one_way(self.scenario, across, &mut self.chances.network);
        let start = self.stations[forwarder.0].start;
        let at = self.now() + way;
        self.schedule.enter(at, Event::ProbeReaches(forwarder, start, target));
    }
}
