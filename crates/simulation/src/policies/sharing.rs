//! A baseline whose circuit breakers use the outcomes that forwarders report to each other. Used to measure
//! the benefit of sharing; the daemon has no such exchange.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId, Settings};

use super::baseline_host::BaselineHost;
use super::baseline_policy::{backoff, random_endpoint, BaselinePolicy, PendingMessage, SelectionView};
use crate::distribution::RandomSource;
use crate::policy::Policy;

/// Number of failed attempts at an endpoint within [`FAILURE_WINDOW`], of all members, that open its circuit.
const FAILURES_TO_OPEN: usize = 3;
/// Delay from a failure or a half-open trial to the next trial.
const RECOVERY_DELAY: Duration = Duration::from_secs(5);
/// Time after which a failed attempt no longer counts towards [`FAILURES_TO_OPEN`].
const FAILURE_WINDOW: Duration = Duration::from_secs(50);
/// Time for which a circuit keeps its state after it has become half-open and its failures no longer count.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);
/// Maximum number of events kept for each endpoint; older events are dropped.
const MAX_KEPT_EVENTS: usize = 64;
/// Interval at which a forwarder with queued messages checks its circuits.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq, Eq)]
enum CircuitEvent {
    Failed,
    Succeeded,
    TrialStarted,
}

/// Identifier of a forwarder that takes part in a [`CircuitExchange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId(usize);

/// An event of a circuit, with its time and the member that reported it.
struct ReportedEvent {
    at: Duration,
    member: MemberId,
    event: CircuitEvent,
}

/// Decision of an endpoint's circuit on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitAdmission {
    /// The circuit is closed: attempts may be sent.
    Admit,
    /// The circuit is half-open: one attempt may be sent as a trial.
    HalfOpenTrial,
    /// The circuit is open: no attempt may be sent.
    Wait,
}

/// State of an endpoint's circuit at one member, computed from the events that have reached the member.
#[derive(Default)]
struct Circuit {
    /// Times of the failures within [`FAILURE_WINDOW`].
    failures: Vec<Duration>,
    open_until: Option<Duration>,
    last_event_at: Duration,
}

impl Circuit {
    fn apply(&mut self, at: Duration, event: CircuitEvent) {
        if self.is_expired(at) {
            self.close();
        }
        self.last_event_at = self.last_event_at.max(at);
        match event {
            CircuitEvent::Succeeded => self.close(),
            CircuitEvent::TrialStarted => self.open_until = Some(at + RECOVERY_DELAY),
            CircuitEvent::Failed => {
                self.failures.push(at);
                self.failures.retain(|failure| at.saturating_sub(*failure) <= FAILURE_WINDOW);
                if self.open_until.is_some() || self.failures.len() >= FAILURES_TO_OPEN {
                    self.open_until = self.open_until.max(Some(at + RECOVERY_DELAY));
                }
            }
        }
    }

    fn close(&mut self) {
        self.failures.clear();
        self.open_until = None;
    }

    fn is_expired(&self, now: Duration) -> bool {
        let effective_until = self.open_until.unwrap_or_default().max(self.last_event_at + FAILURE_WINDOW);
        now > effective_until + EXPIRY_MARGIN
    }

    fn admission(&self, now: Duration) -> CircuitAdmission {
        match self.open_until {
            Some(_) if self.is_expired(now) => CircuitAdmission::Admit,
            Some(until) if now < until => CircuitAdmission::Wait,
            Some(_) => CircuitAdmission::HalfOpenTrial,
            None => CircuitAdmission::Admit,
        }
    }
}

/// Exchange through which forwarders report circuit events of endpoints to each other, with a delay.
pub struct CircuitExchange {
    delay: Duration,
    members: usize,
    events: BTreeMap<EndpointId, VecDeque<ReportedEvent>>,
}

impl CircuitExchange {
    /// Creates an exchange whose events reach other members after `delay`.
    pub fn new(delay: Duration) -> CircuitExchange {
        CircuitExchange { delay, members: 0, events: BTreeMap::new() }
    }

    /// Adds a member and returns its identifier.
    pub fn join(&mut self) -> MemberId {
        let member = MemberId(self.members);
        self.members += 1;
        member
    }

    /// Returns the decision of an endpoint's circuit, computed from the events that have reached the member.
    pub fn admission(&self, endpoint: EndpointId, now: Duration, member: MemberId) -> CircuitAdmission {
        let Some(events) = self.events.get(&endpoint) else { return CircuitAdmission::Admit };
        let mut circuit = Circuit::default();
        for reported in events.iter().filter(|e| e.member == member || e.at + self.delay <= now) {
            circuit.apply(reported.at, reported.event);
        }
        circuit.admission(now)
    }

    /// Reports that a member has started a half-open trial.
    pub fn trial_started(&mut self, endpoint: EndpointId, now: Duration, member: MemberId) {
        self.report(endpoint, ReportedEvent { at: now, member, event: CircuitEvent::TrialStarted });
    }

    /// Reports the outcome of an attempt of a member; rejections and attempts that were not sent are ignored.
    pub fn attempt_finished(
        &mut self,
        endpoint: EndpointId,
        now: Duration,
        member: MemberId,
        outcome: AttemptOutcome,
    ) {
        let event = match outcome {
            AttemptOutcome::Completed => CircuitEvent::Succeeded,
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::NoConnection => CircuitEvent::Failed,
            AttemptOutcome::Rejected { .. }
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Malformed => return,
        };
        self.report(endpoint, ReportedEvent { at: now, member, event });
    }

    fn report(&mut self, endpoint: EndpointId, reported: ReportedEvent) {
        let events = self.events.entry(endpoint).or_default();
        // A success without earlier events has no effect on the circuit.
        if reported.event == CircuitEvent::Succeeded && events.is_empty() {
            return;
        }
        events.push_back(reported);
        if events.len() > MAX_KEPT_EVENTS {
            events.pop_front();
        }
    }
}

/// An exchange that the forwarders of one run share.
pub type SharedExchange = Arc<Mutex<CircuitExchange>>;

/// Creates the policy of a forwarder that joins an exchange. A forwarder that is the only member of its
/// exchange uses its own outcomes only.
pub fn open_sharing_policy(exchange: &SharedExchange, settings: Settings) -> Box<dyn Policy> {
    let member = lock(exchange).join();
    Box::new(BaselineHost::new(settings, SharingBreaker { exchange: exchange.clone(), member }))
}

/// Locks the exchange. A panic of another thread is ignored, because no event is ever added in part.
fn lock(exchange: &SharedExchange) -> MutexGuard<'_, CircuitExchange> {
    exchange.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends each message to a random endpoint with a closed circuit, or as a half-open trial if there is none.
/// Retries with backoff.
struct SharingBreaker {
    exchange: SharedExchange,
    member: MemberId,
}

impl BaselinePolicy for SharingBreaker {
    fn select(
        &mut self,
        _: &PendingMessage,
        view: &SelectionView,
        random: &mut RandomSource,
    ) -> Option<EndpointId> {
        let mut exchange = lock(&self.exchange);
        let admission = |endpoint: &EndpointId| exchange.admission(*endpoint, view.now, self.member);
        let closed: Vec<EndpointId> = (view.candidates.iter())
            .filter(|endpoint| admission(endpoint) == CircuitAdmission::Admit)
            .copied()
            .collect();
        if let Some(endpoint) = random_endpoint(&closed, random) {
            return Some(endpoint);
        }
        let is_half_open = |endpoint: &&EndpointId| admission(endpoint) == CircuitAdmission::HalfOpenTrial;
        let trial = view.candidates.iter().find(is_half_open).copied()?;
        exchange.trial_started(trial, view.now, self.member);
        Some(trial)
    }

    fn attempt_finished(&mut self, endpoint: EndpointId, outcome: AttemptOutcome, now: Duration) {
        lock(&self.exchange).attempt_finished(endpoint, now, self.member, outcome);
    }

    fn retry_after(
        &mut self,
        message: &PendingMessage,
        _: AttemptOutcome,
        random: &mut RandomSource,
    ) -> Option<Duration> {
        Some(backoff(message.attempts, random))
    }

    fn poll_interval(&self) -> Duration {
        POLL_INTERVAL
    }
}
