//! A baseline whose circuit breakers are fed by what its own forwarder sees, or by what all forwarders report to each
//! other. It measures what sharing would bring; the daemon does not use it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId, Settings};

use super::baseline_host::BaselineHost;
use super::baseline_policy::{any_endpoint, backoff, BaselinePolicy, PendingMessage, SelectionView};
use crate::distribution::RandomSource;
use crate::policy::Policy;

/// Failures within the window that open a circuit.
const FAILURES_TO_OPEN: usize = 3;
/// From a failure or a half-open trial to the next trial.
const RECOVERY_DELAY: Duration = Duration::from_secs(5);
/// Window in which failures count together.
const FAILURE_WINDOW: Duration = Duration::from_secs(50);
/// Time for which a circuit is kept beyond the time in which it can matter.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);
/// Events kept for each endpoint.
const MAX_KEPT_EVENTS: usize = 64;
/// How often a forwarder with queued messages looks at its circuits.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq, Eq)]
enum CircuitEvent {
    Failed,
    Succeeded,
    TrialStarted,
}

/// A forwarder that takes part in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId(usize);

/// An event, and which member reported it.
struct ReportedEvent {
    at: Duration,
    member: MemberId,
    event: CircuitEvent,
}

/// What an endpoint's circuit says to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitAdmission {
    /// The circuit is closed.
    Admit,
    /// The circuit is half-open: one attempt may be sent as a trial.
    HalfOpenTrial,
    /// The circuit is open.
    Wait,
}

/// The circuit of an endpoint, computed from the events that have reached a member.
#[derive(Default)]
struct Circuit {
    /// Failures within the window.
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
        let matters_until = self.open_until.unwrap_or_default().max(self.last_event_at + FAILURE_WINDOW);
        now > matters_until + EXPIRY_MARGIN
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

/// What members report to each other of the circuits of endpoints, with a delay.
pub struct CircuitExchange {
    delay: Duration,
    members: usize,
    events: BTreeMap<EndpointId, VecDeque<ReportedEvent>>,
}

impl CircuitExchange {
    /// An exchange whose events reach other members after this delay.
    pub fn new(delay: Duration) -> CircuitExchange {
        CircuitExchange { delay, members: 0, events: BTreeMap::new() }
    }

    /// Adds a member.
    pub fn join(&mut self) -> MemberId {
        let member = MemberId(self.members);
        self.members += 1;
        member
    }

    /// What the circuit of an endpoint says at one member, by the events that have reached it.
    pub fn admission(&self, endpoint: EndpointId, now: Duration, member: MemberId) -> CircuitAdmission {
        let Some(events) = self.events.get(&endpoint) else { return CircuitAdmission::Admit };
        let mut circuit = Circuit::default();
        for reported in events.iter().filter(|e| e.member == member || e.at + self.delay <= now) {
            circuit.apply(reported.at, reported.event);
        }
        circuit.admission(now)
    }

    /// A member has started a half-open trial.
    pub fn trial_started(&mut self, endpoint: EndpointId, now: Duration, member: MemberId) {
        self.report(endpoint, ReportedEvent { at: now, member, event: CircuitEvent::TrialStarted });
    }

    /// An attempt has ended at one member.
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
        // A success changes nothing where no failure is known.
        if reported.event == CircuitEvent::Succeeded && events.is_empty() {
            return;
        }
        events.push_back(reported);
        if events.len() > MAX_KEPT_EVENTS {
            events.pop_front();
        }
    }
}

/// An exchange that the forwarders of one run hold together.
pub type SharedExchange = Arc<Mutex<CircuitExchange>>;

/// Opens a forwarder whose circuits are fed by an exchange; with an exchange of its own it knows only what it saw
/// itself.
pub fn open_sharing_policy(exchange: &SharedExchange, settings: Settings) -> Box<dyn Policy> {
    let member = locked(exchange).join();
    Box::new(BaselineHost::new(settings, SharingBreaker { exchange: exchange.clone(), member }))
}

/// Locks the exchange. It stays sound when another thread panics, as each event is added whole.
fn locked(exchange: &SharedExchange) -> MutexGuard<'_, CircuitExchange> {
    exchange.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Any endpoint whose circuit is closed, else a half-open trial; retries with backoff.
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
        let mut exchange = locked(&self.exchange);
        let admission = |endpoint: &EndpointId| exchange.admission(*endpoint, view.now, self.member);
        let closed: Vec<EndpointId> = (view.candidates.iter())
            .filter(|endpoint| admission(endpoint) == CircuitAdmission::Admit)
            .copied()
            .collect();
        if let Some(endpoint) = any_endpoint(&closed, random) {
            return Some(endpoint);
        }
        let is_half_open = |endpoint: &&EndpointId| admission(endpoint) == CircuitAdmission::HalfOpenTrial;
        let trial = view.candidates.iter().find(is_half_open).copied()?;
        exchange.trial_started(trial, view.now, self.member);
        Some(trial)
    }

    fn attempt_finished(&mut self, endpoint: EndpointId, outcome: AttemptOutcome, now: Duration) {
        locked(&self.exchange).attempt_finished(endpoint, now, self.member, outcome);
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
