//! A slow model of what the delivery policy owes its host and the destinations. It shares no code with the delivery policy: it knows
//! what was given and asked through the public interface, walks all of it, and names each rule that was broken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState, EndpointUpdate,
    Idempotency, KeyScope, MessageId, PreviousAttempt, RequestId,
};

use crate::recorded_policy::Submission;

/// A wake is asked for no sooner than this.
const MIN_TIMER: Duration = Duration::from_millis(1);

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was broken.
    pub now: Duration,
    /// Which rule, by which message.
    pub what: String,
}

/// What the settings promise, in the form that rules need.
pub struct Rules {
    /// Effect and whether it is ordered, by the name of the class.
    pub classes: BTreeMap<String, (Idempotency, bool)>,
    pub max_in_flight: u64,
    pub capacity: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
}

/// An attempt that has no outcome yet.
struct AttemptSent {
    endpoint: EndpointId,
    /// How often the endpoint had moved when it was sent.
    moves: u64,
    at: Duration,
    request: RequestId,
}

/// A message that has no final answer yet, or still has an attempt out.
struct PendingMessage {
    number: u64,
    idempotency: Idempotency,
    key: Option<u64>,
    destination: DestinationId,
    deadline: Duration,
    attempts: u64,
    in_flight: BTreeMap<AttemptNumber, AttemptSent>,
    /// When the first attempt left that may have had an effect, and where the last such one went.
    possibly_executed: Option<(Duration, EndpointId)>,
    finished: bool,
}

impl PendingMessage {
    fn is_queued(&self) -> bool {
        !self.finished && self.in_flight.is_empty()
    }

    /// Until when a repeat is recognized as one, if it needs to be.
    fn key_valid_until(&self) -> Option<Duration> {
        match (self.idempotency, self.possibly_executed) {
            (Idempotency::WithKey { window, .. }, Some((first, _))) => Some(first + window),
            _ => None,
        }
    }
}

/// What the list given of an endpoint.
struct KnownEndpoint {
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
struct HoldOff {
    until: Duration,
    owner: u64,
}

pub struct Model {
    rules: Rules,
    pending: BTreeMap<MessageId, PendingMessage>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Endpoints named so far by a whole list.
    naming: Option<BTreeSet<EndpointId>>,
    hold_offs: BTreeMap<u64, HoldOff>,
    shutdown_deadline: Option<Duration>,
    submitted: u64,
    now: Duration,
    pub violations: Vec<Violation>,
}

impl Model {
    pub fn new(rules: Rules, now: Duration) -> Model {
        Model {
            rules,
            pending: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            naming: None,
            hold_offs: BTreeMap::new(),
            shutdown_deadline: None,
            submitted: 0,
            now,
            violations: Vec::new(),
        }
    }

    fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(Violation { now: self.now, what: what() });
        }
    }

    // # What the delivery policy is given.

    pub fn time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn begin_endpoint_list(&mut self, whole: bool) {
        self.naming = whole.then(BTreeSet::new);
    }

    pub fn endpoint_updated(&mut self, line: &EndpointUpdate) {
        let EndpointUpdate { endpoint, destination, state, kind, zone, .. } = *line;
        if let Some(named) = &mut self.naming {
            named.insert(endpoint);
        }
        let known = self.endpoints.entry(endpoint).or_insert_with(|| KnownEndpoint {
            destination,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            state,
            moves: 0,
            met: false,
            wait_until: Duration::ZERO,
        });
        // One that was gone may have been forgotten, and its waits with it.
        if known.destination != destination || known.kind != kind || known.state == EndpointState::Removed {
            known.moves += 1;
            known.met = false;
            known.wait_until = Duration::ZERO;
        }
        known.destination = destination;
        kind.clone_into(&mut known.kind);
        zone.clone_into(&mut known.zone);
        known.state = state;
    }

    pub fn finish_endpoint_list(&mut self) {
        let Some(named) = self.naming.take() else { return };
        for (_, known) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            known.state = EndpointState::Removed;
        }
    }

    pub fn abort_endpoint_list(&mut self) {
        self.naming = None;
    }

    pub fn submit(&mut self, message: &Submission) {
        self.submitted += 1;
        let unknown = (Idempotency::NonIdempotent, false);
        let (idempotency, ordered) = self.rules.classes.get(&message.class).copied().unwrap_or(unknown);
        let pending = PendingMessage {
            number: self.submitted,
            idempotency,
            key: message.key.map(|k| k.0).filter(|_| ordered),
            destination: message.destination,
            deadline: message.deadline,
            attempts: 0,
            in_flight: BTreeMap::new(),
            possibly_executed: None,
            finished: false,
        };
        self.pending.insert(message.id.clone(), pending);
    }

    pub fn restore(&mut self, id: &MessageId, previous: &[PreviousAttempt]) {
        let until = self.now + self.rules.ordering_hold_off;
        let Some(pending) = self.pending.get_mut(id) else { return };
        pending.attempts = previous.len() as u64;
        pending.possibly_executed = previous
            .iter()
            .filter(|p| !p.proves_not_executed)
            .map(|p| (p.started_at, p.endpoint))
            .min_by_key(|p| p.0);
        if let Some(key) = pending.key.filter(|_| pending.possibly_executed.is_some()) {
            self.hold_offs.insert(key, HoldOff { until, owner: pending.number });
        }
    }

    pub fn attempt_finished(
        &mut self,
        id: &MessageId,
        number: AttemptNumber,
        outcome: AttemptOutcome,
        finished: bool,
    ) {
        let until = self.now + self.rules.ordering_hold_off;
        let Some(pending) = self.pending.get_mut(id) else { return };
        let Some(sent) = pending.in_flight.remove(&number) else { return };
        pending.finished |= finished;
        if !outcome.proves_not_executed() {
            let first = pending.possibly_executed.map_or(sent.at, |(first, _)| first.min(sent.at));
            pending.possibly_executed = Some((first, sent.endpoint));
        }
        let unsure = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let Some(key) = pending.key.filter(|_| unsure) {
            self.hold_offs.insert(key, HoldOff { until, owner: pending.number });
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
        let Some(known) = self.endpoints.get_mut(&endpoint) else { return };
        if known.met && moves.is_none_or(|moves| moves == known.moves) {
            known.wait_until = known.wait_until.max(until);
        }
    }

    pub fn withdraw(&mut self, id: &MessageId) {
        self.end(id);
    }

    pub fn begin_shutdown(&mut self, by: Duration) {
        self.shutdown_deadline = Some(by);
    }

    fn end(&mut self, id: &MessageId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.finished = true;
        }
        self.close(id);
    }

    /// Forgets a message that is over and has nothing out.
    fn close(&mut self, id: &MessageId) {
        if self.pending.get(id).is_some_and(|o| o.finished && o.in_flight.is_empty()) {
            self.pending.remove(id);
        }
    }

    // # What the delivery policy asks for.

    pub fn attempt_started(&mut self, id: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let now = self.now;
        let mut broken = self.rules_broken_by_attempt(id, endpoint, timeouts);
        let Some(pending) = self.pending.get_mut(id) else { return };
        let known = self.endpoints.get_mut(&endpoint);
        let moves = known.map_or(0, |known| {
            known.met = true;
            known.moves
        });
        let number = AttemptNumber(pending.attempts as u32);
        pending.attempts += 1;
        pending.in_flight.insert(number, AttemptSent { endpoint, moves, at: now, request: timeouts.request });
        let calls: BTreeSet<RequestId> =
            self.pending.values().flat_map(|o| o.in_flight.values()).map(|s| s.request).collect();
        if calls.len() as u64 > self.rules.max_in_flight {
            broken.push("over its slots");
        }
        for what in broken {
            self.check(false, || format!("{:?} to {endpoint:?}: {what}", id.0));
        }
    }

    fn rules_broken_by_attempt(
        &self,
        id: &MessageId,
        endpoint: EndpointId,
        timeouts: AttemptTimeouts,
    ) -> Vec<&'static str> {
        let now = self.now;
        let Some(pending) = self.pending.get(id) else { return vec!["sent, and was not owed"] };
        let known = self.endpoints.get(&endpoint);
        let left = pending.deadline.saturating_sub(now);
        let leaves_in = self.shutdown_deadline.map_or(Duration::MAX, |by| by.saturating_sub(now));
        let rest = pending.key.and_then(|key| self.hold_offs.get(&key));
        let before = |other: &PendingMessage| {
            pending.key.is_some() && other.key == pending.key && other.number < pending.number
        };
        let rules = [
            (pending.is_queued(), "sent while out or over"),
            (pending.attempts < self.rules.max_attempts, "over its cap of dispatches"),
            (known.is_some_and(|t| t.state == EndpointState::Active), "its target is not active"),
            (
                known.is_some_and(|t| t.destination == pending.destination),
                "its target is another destination's",
            ),
            (known.is_none_or(|t| now >= t.wait_until), "its target asked to wait"),
            // Past its limit nothing is left, and one with no time to begin never leaves.
            (timeouts.response_within <= left, "it outlives its limit"),
            (timeouts.start_within <= timeouts.response_within.min(leaves_in), "it may begin too late"),
            (
                pending.idempotency != Idempotency::NonIdempotent || pending.possibly_executed.is_none(),
                "an effect may come twice",
            ),
            (
                pending.key_valid_until().is_none_or(|until| now + timeouts.start_within <= until),
                "its receipt runs out",
            ),
            (self.recognized(pending, endpoint), "a target of another zone would not know it again"),
            (!self.pending.values().any(before), "an earlier one of its key is not over"),
            (rest.is_none_or(|r| now >= r.until || r.owner == pending.number), "its key rests"),
        ];
        rules.into_iter().filter(|(holds, _)| !holds).map(|(_, what)| what).collect()
    }

    /// Whether the endpoint would know a message again that may have run elsewhere.
    fn recognized(&self, pending: &PendingMessage, endpoint: EndpointId) -> bool {
        let in_zone = matches!(pending.idempotency, Idempotency::WithKey { scope: KeyScope::Zone, .. });
        let Some((_, ran_at)) = pending.possibly_executed.filter(|_| in_zone) else { return true };
        let zone = |id| self.endpoints.get(&id).map(|t| &t.zone);
        ran_at == endpoint || zone(ran_at) == zone(endpoint)
    }

    pub fn cancelled(&mut self, id: &MessageId, number: AttemptNumber) {
        let in_flight = self.pending.get(id).is_some_and(|o| o.in_flight.contains_key(&number));
        self.check(in_flight, || format!("{:?}: dispatch {} called off, and was not out", id.0, number.0));
    }

    pub fn rejected(&mut self, id: &MessageId) {
        let now = self.now;
        let harmless = self.pending.get(id).is_some_and(|o| {
            let unrun = o.possibly_executed.is_none() && o.in_flight.is_empty();
            let repeatable = match o.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::WithKey { scope, .. } => {
                    scope == KeyScope::Region && o.key_valid_until().is_some_and(|until| now < until)
                }
                Idempotency::NonIdempotent => false,
            };
            (unrun || repeatable) && now < o.deadline
        });
        self.check(harmless, || format!("{:?}: shed, and handing it in again may do harm", id.0));
        self.answered(id);
    }

    pub fn failed(&mut self, id: &MessageId) {
        self.answered(id);
    }

    fn answered(&mut self, id: &MessageId) {
        let pending = self.pending.get(id).is_some_and(|o| !o.finished);
        self.check(pending, || format!("{:?}: answered, and no answer was owed", id.0));
        self.end(id);
    }

    /// The delivery policy has taken its turn; these timers are to come.
    pub fn work_done(&mut self, timers: &BTreeSet<Duration>) {
        let now = self.now;
        let open = self.pending.values().filter(|o| !o.finished).count() as u64;
        let is_queued: Vec<&PendingMessage> = self.pending.values().filter(|o| o.is_queued()).collect();
        let late = is_queued.iter().filter(|o| now >= o.deadline).count();
        let end = is_queued.iter().map(|o| o.deadline).min();
        let any_held = !is_queued.is_empty();
        let first = timers.first().copied();
        let woken = end.is_none_or(|end| first.is_some_and(|at| at <= end.max(now) + MIN_TIMER));
        self.check(late == 0, || format!("{late} held past their limit"));
        self.check(woken, || format!("no wake before {end:?}, the end of one held; first {first:?}"));
        self.check(open < self.rules.capacity.max(2) || !any_held, || {
            format!("{open} taken on, over its room")
        });
    }
}
