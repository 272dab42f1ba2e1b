//! What the baselines have in common: the messages in hand, the endpoints as the list has them, and the rules.
//! A baseline is a [`BaselinePolicy`] at this desk; it chooses an endpoint and says whether there is another time. The
//! desk lets nothing through that breaks a rule which one forwarder can keep by book-keeping alone (one
//! answer, no double effect, drains, order, waits); whether a returning destination is pushed over is the
//! habit's own affair.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState, Idempotency,
    MessageId, OrderingKey, PeerId, PolicyHost, PreviousAttempt, RequestId, Settings,
};

use crate::distribution::Chance;
use crate::policy::{ListLine, Policy, Submission, WorldView};

pub struct QueuedMessage {
    pub id: MessageId,
    pub category: usize,
    pub key: Option<OrderingKey>,
    pub destination: DestinationId,
    pub outer_limit: Duration,
    pub promised_by: Duration,
    pub dispatches: u32,
    pub not_before: Duration,
    out: BTreeSet<AttemptNumber>,
    /// Where each attempt went, when, and in which call.
    sent: Vec<(EndpointId, Duration, u64)>,
    may_have_run: Option<Duration>,
}

struct Left {
    call: u64,
    number: u64,
    key: Option<OrderingKey>,
}

struct BuiltInPolicy {
    destination: DestinationId,
    standing: EndpointState,
    apart: bool,
    batch: usize,
    wait_until: Duration,
}

/// What a habit may look at when it picks.
pub struct View<'v> {
    /// Endpoints that the rules let the message go to.
    pub able: &'v [EndpointId],
    /// Places left in calls that this turn has begun to fill.
    pub forming: &'v BTreeMap<EndpointId, usize>,
    pub now: Duration,
    pub sight: &'v dyn WorldView,
}

/// How a baseline differs from the others.
pub trait BaselinePolicy: Send {
    /// Which of the able endpoints gets the message now; none: it stays.
    fn pick(&mut self, envelope: &QueuedMessage, view: &View, chance: &mut Chance) -> Option<EndpointId>;
    /// A attempt has ended.
    fn ended(&mut self, target: EndpointId, outcome: AttemptOutcome, now: Duration);
    /// After how long a message whose attempt so ended may go again; none: never.
    fn again(
        &mut self,
        envelope: &QueuedMessage,
        outcome: AttemptOutcome,
        chance: &mut Chance,
    ) -> Option<Duration>;
    /// The order in which messages are taken up: first those with the least.
    fn urgency(&self, _envelope: &QueuedMessage) -> Duration {
        Duration::ZERO
    }
    fn time_out(&self, promised: Duration) -> Duration {
        promised
    }
    /// It looks again after so long while anything waits.
    fn looks_every(&self) -> Duration;
}

pub struct BaselineHost<H> {
    habit: H,
    chance: Chance,
    terms: Settings,
    held: BTreeMap<u64, QueuedMessage>,
    numbers: BTreeMap<MessageId, u64>,
    /// Dispatches that are out for messages that have left.
    left: BTreeMap<(MessageId, AttemptNumber), Left>,
    /// Held and not out, in the order in which they were taken.
    waiting: VecDeque<u64>,
    known: BTreeMap<EndpointId, BuiltInPolicy>,
    /// Endpoints of each destination, and those that have told a wait.
    by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    told_waits: BTreeSet<EndpointId>,
    /// Waits told by destinations whose endpoints share one.
    waits: BTreeMap<DestinationId, Duration>,
    lines: BTreeMap<OrderingKey, VecDeque<u64>>,
    rests: BTreeMap<OrderingKey, (Duration, u64)>,
    /// Calls out, with the attempts in each that have not ended.
    calls: BTreeMap<u64, u32>,
    call: u64,
    taken: u64,
    wake_at: Option<Duration>,
}

impl<H: BaselinePolicy> BaselineHost<H> {
    pub fn open(terms: Settings, habit: H) -> BaselineHost<H> {
        BaselineHost {
            habit,
            chance: Chance::seed_from_u64(terms.seed),
            terms,
            held: BTreeMap::new(),
            numbers: BTreeMap::new(),
            left: BTreeMap::new(),
            waiting: VecDeque::new(),
            known: BTreeMap::new(),
            by_destination: BTreeMap::new(),
            told_waits: BTreeSet::new(),
            waits: BTreeMap::new(),
            lines: BTreeMap::new(),
            rests: BTreeMap::new(),
            calls: BTreeMap::new(),
            call: 0,
            taken: 0,
            wake_at: None,
        }
    }

    fn effect(&self, envelope: &QueuedMessage) -> Idempotency {
        self.terms.classes[envelope.category].idempotency.unwrap_or(Idempotency::NonIdempotent)
    }

    fn may_run_again(&self, envelope: &QueuedMessage, now: Duration) -> bool {
        match (self.effect(envelope), envelope.may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey { window, .. }, Some(first)) => now < first + window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    fn leave(&mut self, number: u64) -> Option<QueuedMessage> {
        let envelope = self.held.remove(&number)?;
        self.numbers.remove(&envelope.id);
        self.waiting.retain(|n| *n != number);
        for no in &envelope.out {
            let call = envelope.sent.get(no.0 as usize).map_or(0, |s| s.2);
            let left = Left { call, number, key: envelope.key };
            self.left.insert((envelope.id.clone(), *no), left);
        }
        self.leave_line(envelope.key, number);
        Some(envelope)
    }

    /// Takes a message out of its key's line once it is over and nothing is out for it.
    fn leave_line(&mut self, key: Option<OrderingKey>, number: u64) {
        let open = self.held.contains_key(&number) || self.left.values().any(|l| l.number == number);
        if let Some(line) = key.and_then(|k| self.lines.get_mut(&k)).filter(|_| !open) {
            line.retain(|n| *n != number);
        }
    }

    /// A key rests after an end that may still be running.
    fn rest(&mut self, key: Option<OrderingKey>, number: u64, outcome: AttemptOutcome, now: Duration) {
        let unsure = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = key.filter(|_| unsure) {
            self.rests.insert(key, (now + self.terms.ordering_hold_off.unwrap_or_default(), number));
        }
    }

    fn give_up(&mut self, number: u64, now: Duration, host: &mut dyn PolicyHost) {
        let Some(envelope) = self.leave(number) else { return };
        let harmless = self.may_run_again(&envelope, now) && envelope.out.is_empty();
        if harmless && now < envelope.outer_limit {
            let until = self.waits.get(&envelope.destination).copied().unwrap_or_default();
            let wait = self.terms.max_retry_after.map(|most| until.saturating_sub(now).min(most));
            host.reject(&envelope.id, wait.filter(|w| !w.is_zero()));
        } else {
            host.fail(&envelope.id);
        }
        for no in &envelope.out {
            host.cancel(&envelope.id, *no);
        }
    }

    fn key_free(&self, number: u64, envelope: &QueuedMessage, now: Duration) -> bool {
        let Some(key) = envelope.key else { return true };
        let first = self.lines.get(&key).and_then(|l| l.front()).is_none_or(|f| *f == number);
        let rest = self.rests.get(&key);
        first && rest.is_none_or(|(until, owner)| now >= *until || *owner == number)
    }

    /// One attempt of a call has ended.
    fn close_part(&mut self, call: u64) {
        if let Some(left) = self.calls.get_mut(&call) {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&call);
            }
        }
    }

    fn able(&self, envelope: &QueuedMessage, now: Duration) -> Vec<EndpointId> {
        let shared = self.waits.get(&envelope.destination).copied().unwrap_or_default();
        let open = |t: &BuiltInPolicy| {
            t.standing == EndpointState::Active && now >= if t.apart { t.wait_until } else { shared }
        };
        let targets = self.by_destination.get(&envelope.destination).into_iter().flatten();
        targets.filter(|id| self.known.get(id).is_some_and(open)).copied().collect()
    }

    fn next_wake(&self, now: Duration) -> Option<Duration> {
        let told = self.told_waits.iter().filter_map(|id| self.known.get(id)).map(|t| &t.wait_until);
        let waits = self.waits.values().chain(told).copied();
        let held = self.waiting.iter().filter_map(|n| self.held.get(n));
        let times = held.flat_map(|e| [e.outer_limit, e.not_before]);
        let rests = self.rests.values().map(|r| r.0);
        let look = (!self.waiting.is_empty()).then(|| now + self.habit.looks_every());
        waits.chain(times).chain(rests).chain(look).filter(|at| *at > now).min()
    }
}

impl<H: BaselinePolicy> Policy for BaselineHost<H> {
    fn list(&mut self, _now: Duration, whole: bool, lines: &[ListLine], _host: &mut dyn PolicyHost) {
        if whole {
            self.known.values_mut().for_each(|t| t.standing = EndpointState::Removed);
        }
        for line in lines {
            let kind = self.terms.endpoint_kinds.iter().find(|k| k.name == line.kind);
            let (apart, batch) = kind.map_or((false, None), |k| (k.circuit_per_endpoint, k.max_batch));
            let known = self.known.entry(line.target).or_insert(BuiltInPolicy {
                destination: line.destination,
                standing: line.standing,
                apart,
                batch: batch.unwrap_or(1).max(1) as usize,
                wait_until: Duration::ZERO,
            });
            known.standing = line.standing;
            self.by_destination.entry(known.destination).or_default().insert(line.target);
        }
    }

    fn submit(&mut self, _now: Duration, e: &Submission, host: &mut dyn PolicyHost) {
        let Some(category) = self.terms.classes.iter().position(|c| c.name == e.category) else {
            return host.fail(&e.id);
        };
        self.taken += 1;
        let number = self.taken;
        let terms = &self.terms.classes[category];
        let limit = terms.deadline.unwrap_or_default();
        let key = e.key.filter(|_| terms.ordered);
        if let Some(key) = key {
            self.lines.entry(key).or_default().push_back(number);
        }
        let held = QueuedMessage {
            id: e.id.clone(),
            category,
            key,
            destination: e.destination,
            outer_limit: e.outer_limit,
            promised_by: e.outer_limit.saturating_sub(limit) + terms.latency_objective.unwrap_or(limit),
            dispatches: 0,
            not_before: Duration::ZERO,
            out: BTreeSet::new(),
            sent: Vec::new(),
            may_have_run: None,
        };
        self.held.insert(number, held);
        self.numbers.insert(e.id.clone(), number);
        self.waiting.push_back(number);
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        past: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let Some(number) = self.numbers.get(id).copied() else { return };
        let rest = now + self.terms.ordering_hold_off.unwrap_or_default();
        let Some(envelope) = self.held.get_mut(&number) else { return };
        envelope.dispatches = past.len() as u32;
        envelope.sent = past.iter().map(|p| (p.endpoint, p.started_at, 0)).collect();
        envelope.may_have_run = past.iter().filter(|p| !p.proves_not_executed).map(|p| p.started_at).min();
        if let (Some(key), Some(_)) = (envelope.key, envelope.may_have_run) {
            self.rests.insert(key, (rest, number));
        }
        let again = self.held.get(&number).is_some_and(|e| self.may_run_again(e, now));
        if !again {
            self.give_up(number, now, host);
        }
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
        if let Some(left) = self.left.remove(&(id.clone(), no)) {
            self.close_part(left.call);
            self.rest(left.key, left.number, outcome, now);
            self.leave_line(left.key, left.number);
        }
        let Some(number) = self.numbers.get(id).copied() else { return };
        let Some(envelope) = self.held.get_mut(&number) else { return };
        envelope.out.remove(&no);
        let Some((target, sent, call)) = envelope.sent.get(no.0 as usize).copied() else { return };
        self.close_part(call);
        let Some(envelope) = self.held.get_mut(&number) else { return };
        if !outcome.proves_not_executed() {
            envelope.may_have_run = Some(envelope.may_have_run.map_or(sent, |first| first.min(sent)));
        }
        let key = envelope.key;
        self.rest(key, number, outcome, now);
        if let Some(known) = self.known.get_mut(&target) {
            if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
                let until = if known.apart {
                    self.told_waits.insert(target);
                    &mut known.wait_until
                } else {
                    self.waits.entry(known.destination).or_default()
                };
                *until = (*until).max(now + wait);
            }
        }
        self.habit.ended(target, outcome, now);
        if over {
            self.leave(number);
            return;
        }
        let cap = self.terms.max_attempts.unwrap_or(u64::MAX);
        let left = self.held.get(&number).filter(|e| u64::from(e.dispatches) < cap);
        let again = left.and_then(|e| self.habit.again(e, outcome, &mut self.chance));
        let Some(envelope) = self.held.get_mut(&number) else { return };
        match again {
            Some(after) => {
                envelope.not_before = now + after;
                self.waiting.push_back(number);
                if self.held.get(&number).is_some_and(|e| !self.may_run_again(e, now)) {
                    self.give_up(number, now, host);
                }
            }
            None => self.give_up(number, now, host),
        }
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        let Some(number) = self.numbers.get(id).copied() else { return };
        if let Some(envelope) = self.leave(number) {
            for no in &envelope.out {
                host.cancel(id, *no);
            }
        }
    }

    fn timer_fired(&mut self, _now: Duration) {
        self.wake_at = None;
    }

    fn health_checked(&mut self, _now: Duration, _target: EndpointId, _well: bool) {}

    fn gossip_received(&mut self, _now: Duration, _from: PeerId, _note: &[u8]) {}

    fn run_due_work(&mut self, now: Duration, sight: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.rests.retain(|_, (until, _)| *until > now);
        let past =
            |n: &u64| self.held.get(n).is_none_or(|e| now >= e.outer_limit || !self.may_run_again(e, now));
        let hopeless: Vec<u64> = self.waiting.iter().filter(|n| past(n)).copied().collect();
        for number in hopeless {
            self.give_up(number, now, host);
        }
        let room = self.terms.capacity.unwrap_or(u64::MAX) as usize;
        while self.held.len() >= room {
            let Some(last) = self.waiting.back().copied() else { break };
            self.give_up(last, now, host);
        }
        let slots = self.terms.max_in_flight.unwrap_or(u64::MAX) as usize;
        let mut order: Vec<(Duration, usize, u64)> = Vec::new();
        if self.calls.len() < slots {
            let urgency = |n: &u64| self.held.get(n).map_or(Duration::MAX, |e| self.habit.urgency(e));
            order = self.waiting.iter().enumerate().map(|(place, n)| (urgency(n), place, *n)).collect();
            order.sort();
        }
        // The call that this turn fills for each endpoint, and the places left in it.
        let mut numbers: BTreeMap<EndpointId, u64> = BTreeMap::new();
        let mut forming: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for (_, _, number) in order {
            let Some(envelope) = self.held.get(&number) else { continue };
            if now < envelope.not_before || !self.key_free(number, envelope, now) {
                continue;
            }
            let mut able = self.able(envelope, now);
            if self.calls.len() >= slots {
                able.retain(|t| forming.get(t).is_some_and(|places| *places > 0));
            }
            if able.is_empty() {
                continue;
            }
            let view = View { able: &able, forming: &forming, now, sight };
            let Some(target) = self.habit.pick(envelope, &view, &mut self.chance) else { continue };
            let promised = self.terms.classes[envelope.category].latency_objective.unwrap_or_default();
            let time_out = self.habit.time_out(promised).min(envelope.outer_limit - now);
            let Some(envelope) = self.held.get_mut(&number) else { continue };
            envelope.out.insert(AttemptNumber(envelope.dispatches));
            envelope.dispatches += 1;
            let places = forming.entry(target).or_default();
            if *places == 0 {
                self.call += 1;
                numbers.insert(target, self.call);
                *places = self.known.get(&target).map_or(1, |t| t.batch);
            }
            *places -= 1;
            let call = numbers.get(&target).copied().unwrap_or_default();
            *self.calls.entry(call).or_default() += 1;
            envelope.sent.push((target, now, call));
            let id = envelope.id.clone();
            self.waiting.retain(|n| *n != number);
            host.start_attempt(
                &id,
                target,
                AttemptTimeouts {
                    request: RequestId(call),
                    start_within: time_out,
                    response_within: time_out,
                },
            );
        }
        if let Some(at) = self.next_wake(now).filter(|at| self.wake_at.is_none_or(|w| *at < w || w <= now)) {
            self.wake_at = Some(at);
            host.set_timer(at - now);
        }
    }
}
