//! A slow model of what the delivery policy owes its host and the destinations. It shares no code with the delivery policy: it knows
//! what was told and asked through the public interface, walks all of it, and names each rule that was broken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState, EndpointUpdate,
    Idempotency, KeyScope, MessageId, PreviousAttempt, RequestId,
};

use crate::tee::Submission;

/// A wake is asked for no sooner than this.
const LEAST_WAKE: Duration = Duration::from_millis(1);

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub now: Duration,
    pub what: String,
}

/// What the terms promise, in the form that rules need.
pub struct Rules {
    /// Effect and whether it is ordered, by the name of the class.
    pub classes: BTreeMap<String, (Idempotency, bool)>,
    pub slots: u64,
    pub room: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
}

/// An attempt that has no outcome yet.
struct Sent {
    endpoint: EndpointId,
    /// How often the endpoint had moved when it was sent.
    moves: u64,
    at: Duration,
    call: RequestId,
}

/// A message that has no final answer yet, or still has an attempt out.
struct Owed {
    number: u64,
    idempotency: Idempotency,
    key: Option<u64>,
    destination: DestinationId,
    deadline: Duration,
    attempts: u64,
    out: BTreeMap<AttemptNumber, Sent>,
    /// When the first attempt left that may have had an effect, and where the last such one went.
    may_have_run: Option<(Duration, EndpointId)>,
    over: bool,
}

impl Owed {
    fn held(&self) -> bool {
        !self.over && self.out.is_empty()
    }

    /// Until when a repeat is recognized as one, if it needs to be.
    fn receipt_until(&self) -> Option<Duration> {
        match (self.idempotency, self.may_have_run) {
            (Idempotency::WithKey { window, .. }, Some((first, _))) => Some(first + window),
            _ => None,
        }
    }
}

/// What the list told of an endpoint.
struct Told {
    destination: DestinationId,
    kind: String,
    zone: String,
    state: EndpointState,
    moves: u64,
    /// Something was sent to it since it moved last.
    met: bool,
    wait_until: Duration,
}

/// The rest of a key after an attempt whose end is unsure, and the message that it does not hold for.
struct Rest {
    until: Duration,
    owner: u64,
}

pub struct Model {
    rules: Rules,
    owed: BTreeMap<MessageId, Owed>,
    endpoints: BTreeMap<EndpointId, Told>,
    /// Endpoints named so far by a whole list.
    naming: Option<BTreeSet<EndpointId>>,
    rests: BTreeMap<u64, Rest>,
    leaves_by: Option<Duration>,
    handed_in: u64,
    now: Duration,
    pub violations: Vec<Violation>,
}

impl Model {
    pub fn new(rules: Rules, now: Duration) -> Model {
        Model {
            rules,
            owed: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            naming: None,
            rests: BTreeMap::new(),
            leaves_by: None,
            handed_in: 0,
            now,
            violations: Vec::new(),
        }
    }

    fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(Violation { now: self.now, what: what() });
        }
    }

    // # What the delivery policy is told.

    pub fn time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.naming = whole.then(BTreeSet::new);
    }

    pub fn listed(&mut self, line: &EndpointUpdate) {
        let EndpointUpdate { endpoint, destination, state, kind, zone, .. } = *line;
        if let Some(named) = &mut self.naming {
            named.insert(endpoint);
        }
        let told = self.endpoints.entry(endpoint).or_insert_with(|| Told {
            destination,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            state,
            moves: 0,
            met: false,
            wait_until: Duration::ZERO,
        });
        // One that was gone may have been forgotten, and its waits with it.
        if told.destination != destination || told.kind != kind || told.state == EndpointState::Removed {
            told.moves += 1;
            told.met = false;
            told.wait_until = Duration::ZERO;
        }
        told.destination = destination;
        kind.clone_into(&mut told.kind);
        zone.clone_into(&mut told.zone);
        told.state = state;
    }

    pub fn finish_endpoint_list(&mut self) {
        let Some(named) = self.naming.take() else { return };
        for (_, told) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            told.state = EndpointState::Removed;
        }
    }

    pub fn abort_endpoint_list(&mut self) {
        self.naming = None;
    }

    pub fn submit(&mut self, message: &Submission) {
        self.handed_in += 1;
        let unknown = (Idempotency::NonIdempotent, false);
        let (idempotency, ordered) = self.rules.classes.get(&message.class).copied().unwrap_or(unknown);
        let owed = Owed {
            number: self.handed_in,
            idempotency,
            key: message.key.map(|k| k.0).filter(|_| ordered),
            destination: message.destination,
            deadline: message.deadline,
            attempts: 0,
            out: BTreeMap::new(),
            may_have_run: None,
            over: false,
        };
        self.owed.insert(message.id.clone(), owed);
    }

    pub fn restore(&mut self, id: &MessageId, past: &[PreviousAttempt]) {
        let until = self.now + self.rules.ordering_hold_off;
        let Some(owed) = self.owed.get_mut(id) else { return };
        owed.attempts = past.len() as u64;
        owed.may_have_run = past
            .iter()
            .filter(|p| !p.proves_not_executed)
            .map(|p| (p.started_at, p.endpoint))
            .min_by_key(|p| p.0);
        if let Some(key) = owed.key.filter(|_| owed.may_have_run.is_some()) {
            self.rests.insert(key, Rest { until, owner: owed.number });
        }
    }

    pub fn attempt_finished(
        &mut self,
        id: &MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
    ) {
        let until = self.now + self.rules.ordering_hold_off;
        let Some(owed) = self.owed.get_mut(id) else { return };
        let Some(sent) = owed.out.remove(&no) else { return };
        owed.over |= over;
        if !outcome.proves_not_executed() {
            let first = owed.may_have_run.map_or(sent.at, |(first, _)| first.min(sent.at));
            owed.may_have_run = Some((first, sent.endpoint));
        }
        let unsure = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = owed.key.filter(|_| unsure) {
            self.rests.insert(key, Rest { until, owner: owed.number });
        }
        self.close(id);
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            self.wait(sent.endpoint, Some(sent.moves), wait);
        }
    }

    pub fn retry_after_received(&mut self, endpoint: EndpointId, wait: Duration) {
        self.wait(endpoint, None, wait);
    }

    /// A wait holds for an endpoint that was sent something, and has not moved since that was sent.
    fn wait(&mut self, endpoint: EndpointId, moves: Option<u64>, wait: Duration) {
        let until = self.now + wait;
        let Some(told) = self.endpoints.get_mut(&endpoint) else { return };
        if told.met && moves.is_none_or(|moves| moves == told.moves) {
            told.wait_until = told.wait_until.max(until);
        }
    }

    pub fn withdraw(&mut self, id: &MessageId) {
        self.end(id);
    }

    pub fn leaving(&mut self, by: Duration) {
        self.leaves_by = Some(by);
    }

    fn end(&mut self, id: &MessageId) {
        if let Some(owed) = self.owed.get_mut(id) {
            owed.over = true;
        }
        self.close(id);
    }

    /// Forgets a message that is over and has nothing out.
    fn close(&mut self, id: &MessageId) {
        if self.owed.get(id).is_some_and(|o| o.over && o.out.is_empty()) {
            self.owed.remove(id);
        }
    }

    // # What the delivery policy asks for.

    pub fn dispatched(&mut self, id: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        let now = self.now;
        let mut broken = self.broken_by_dispatch(id, endpoint, spans);
        let Some(owed) = self.owed.get_mut(id) else { return };
        let told = self.endpoints.get_mut(&endpoint);
        let moves = told.map_or(0, |told| {
            told.met = true;
            told.moves
        });
        let no = AttemptNumber(owed.attempts as u32);
        owed.attempts += 1;
        owed.out.insert(no, Sent { endpoint, moves, at: now, call: spans.request });
        let calls: BTreeSet<RequestId> =
            self.owed.values().flat_map(|o| o.out.values()).map(|s| s.call).collect();
        if calls.len() as u64 > self.rules.slots {
            broken.push("over its slots");
        }
        for what in broken {
            self.check(false, || format!("{:?} to {endpoint:?}: {what}", id.0));
        }
    }

    fn broken_by_dispatch(
        &self,
        id: &MessageId,
        endpoint: EndpointId,
        spans: AttemptTimeouts,
    ) -> Vec<&'static str> {
        let now = self.now;
        let Some(owed) = self.owed.get(id) else { return vec!["sent, and was not owed"] };
        let told = self.endpoints.get(&endpoint);
        let left = owed.deadline.saturating_sub(now);
        let leaves_in = self.leaves_by.map_or(Duration::MAX, |by| by.saturating_sub(now));
        let rest = owed.key.and_then(|key| self.rests.get(&key));
        let before = |other: &Owed| owed.key.is_some() && other.key == owed.key && other.number < owed.number;
        let rules = [
            (owed.held(), "sent while out or over"),
            (owed.attempts < self.rules.max_attempts, "over its cap of dispatches"),
            (told.is_some_and(|t| t.state == EndpointState::Active), "its target is not active"),
            (told.is_some_and(|t| t.destination == owed.destination), "its target is another destination's"),
            (told.is_none_or(|t| now >= t.wait_until), "its target asked to wait"),
            // Past its limit nothing is left, and one with no time to begin never leaves.
            (spans.response_within <= left, "it outlives its limit"),
            (spans.start_within <= spans.response_within.min(leaves_in), "it may begin too late"),
            (
                owed.idempotency != Idempotency::NonIdempotent || owed.may_have_run.is_none(),
                "an effect may come twice",
            ),
            (
                owed.receipt_until().is_none_or(|until| now + spans.start_within <= until),
                "its receipt runs out",
            ),
            (self.recognized(owed, endpoint), "a target of another zone would not know it again"),
            (!self.owed.values().any(before), "an earlier one of its key is not over"),
            (rest.is_none_or(|r| now >= r.until || r.owner == owed.number), "its key rests"),
        ];
        rules.into_iter().filter(|(holds, _)| !holds).map(|(_, what)| what).collect()
    }

    /// Whether the endpoint would know a message again that may have run elsewhere.
    fn recognized(&self, owed: &Owed, endpoint: EndpointId) -> bool {
        let in_zone = matches!(owed.idempotency, Idempotency::WithKey { scope: KeyScope::Zone, .. });
        let Some((_, ran_at)) = owed.may_have_run.filter(|_| in_zone) else { return true };
        let zone = |id| self.endpoints.get(&id).map(|t| &t.zone);
        ran_at == endpoint || zone(ran_at) == zone(endpoint)
    }

    pub fn called_off(&mut self, id: &MessageId, no: AttemptNumber) {
        let out = self.owed.get(id).is_some_and(|o| o.out.contains_key(&no));
        self.check(out, || format!("{:?}: dispatch {} called off, and was not out", id.0, no.0));
    }

    pub fn shed(&mut self, id: &MessageId) {
        let now = self.now;
        let harmless = self.owed.get(id).is_some_and(|o| {
            let unrun = o.may_have_run.is_none() && o.out.is_empty();
            let repeatable = match o.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::WithKey { scope, .. } => {
                    scope == KeyScope::Region && o.receipt_until().is_some_and(|until| now < until)
                }
                Idempotency::NonIdempotent => false,
            };
            (unrun || repeatable) && now < o.deadline
        });
        self.check(harmless, || format!("{:?}: shed, and handing it in again may do harm", id.0));
        self.answered(id);
    }

    pub fn broken_off(&mut self, id: &MessageId) {
        self.answered(id);
    }

    fn answered(&mut self, id: &MessageId) {
        let owed = self.owed.get(id).is_some_and(|o| !o.over);
        self.check(owed, || format!("{:?}: answered, and no answer was owed", id.0));
        self.end(id);
    }

    /// The delivery policy has taken its turn; these alarms are to come.
    pub fn turned(&mut self, alarms: &BTreeSet<Duration>) {
        let now = self.now;
        let open = self.owed.values().filter(|o| !o.over).count() as u64;
        let held: Vec<&Owed> = self.owed.values().filter(|o| o.held()).collect();
        let late = held.iter().filter(|o| now >= o.deadline).count();
        let end = held.iter().map(|o| o.deadline).min();
        let any_held = !held.is_empty();
        let first = alarms.first().copied();
        let woken = end.is_none_or(|end| first.is_some_and(|at| at <= end.max(now) + LEAST_WAKE));
        self.check(late == 0, || format!("{late} held past their limit"));
        self.check(woken, || format!("no wake before {end:?}, the end of one held; first {first:?}"));
        self.check(open < self.rules.room.max(2) || !any_held, || format!("{open} taken on, over its room"));
    }
}
